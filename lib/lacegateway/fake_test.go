package lacegateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	testKey    = "key-of-acme"
	testBudget = laceunit.BudgetID("acme/main")
	testTopUp  = laceunit.Tokens(100000)
)

// memoryLedger is an in-memory ledger with injectable append errors.
type memoryLedger struct {
	mu    sync.Mutex
	state laceledger.State
	// appendErr is returned without an append; unacknowledgedErr is returned after the append.
	appendErr         error
	unacknowledgedErr error
	// urgencies are the urgencies of the last append of each record type.
	urgencies map[string]laceledger.Urgency
}

func (l *memoryLedger) setErrors(appendErr, unacknowledgedErr error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendErr, l.unacknowledgedErr = appendErr, unacknowledgedErr
}

func (l *memoryLedger) Append(_ context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.urgencies == nil {
		l.urgencies = map[string]laceledger.Urgency{}
	}
	l.urgencies[fmt.Sprintf("%T", record)] = urgency
	if l.appendErr != nil {
		return laceledger.Verdict{}, l.appendErr
	}
	entry, verdicts := l.state.Propose([]laceledger.Record{record}, 1, laceledger.Cutoff{})
	if len(entry.Records) > 0 {
		if err := l.state.Apply(entry); err != nil {
			return laceledger.Verdict{}, err
		}
	}
	return verdicts[0], l.unacknowledgedErr
}

func (l *memoryLedger) Balance(_ context.Context, budget laceunit.BudgetID) (laceledger.Balance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.state.Balance(budget)
	if !ok {
		return b, laceplatform.ErrMissing
	}
	return b, nil
}

func (l *memoryLedger) Balances(context.Context) ([]laceledger.Balance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Balances(), nil
}

func (l *memoryLedger) Find(_ context.Context, _ laceunit.BudgetID, request laceledger.Request) (laceledger.RequestState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.state.Find(request)
	if !ok {
		return e, laceplatform.ErrMissing
	}
	return e, nil
}

// fakeBackend generates words and counts how often each request was run.
type fakeBackend struct {
	mu   sync.Mutex
	runs map[lacebackend.ScopedRequestID]int
	// err, if set, is returned by Generate and Invoke; the run is counted nevertheless.
	err error
	// hideRuns makes lookups report that the request is absent.
	hideRuns bool
	// unblock, if set, blocks streams after their first chunk until it is closed.
	unblock chan struct{}
	// started, if set, receives a value for the first run.
	started chan struct{}
}

func (b *fakeBackend) count(request lacebackend.ScopedRequestID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[request]
}

func (b *fakeBackend) recordRun(request lacebackend.ScopedRequestID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[request]++
	select {
	case b.started <- struct{}{}:
	default:
	}
	return b.err
}

type fakeStream struct {
	ctx     context.Context
	unblock chan struct{}
	next    int
	max     int
}

func (s *fakeStream) Next() (lacebackend.Chunk, error) {
	if s.unblock != nil && s.next == 1 {
		select {
		case <-s.unblock:
		case <-s.ctx.Done():
			return lacebackend.Chunk{}, s.ctx.Err()
		}
	}
	s.next++
	switch {
	case s.next <= s.max:
		return lacebackend.Chunk{
			Index: s.next - 1,
			Text:  "word ",
		}, nil
	case s.next == s.max+1:
		return lacebackend.Chunk{
			Index:        s.max,
			End:          true,
			OutputTokens: laceunit.Tokens(s.max),
			PromptTokens: 4,
		}, nil
	}
	return lacebackend.Chunk{}, io.EOF
}

func (s *fakeStream) Close() error { return nil }

func (b *fakeBackend) Generate(ctx context.Context, _ laceunit.Address, call lacebackend.GenerateRequest) (lacebackend.Stream, error) {
	if err := b.recordRun(call.RequestID); err != nil {
		return nil, err
	}
	return &fakeStream{
		ctx:     ctx,
		unblock: b.unblock,
		next:    call.FirstChunk,
		max:     int(call.MaxTokens),
	}, nil
}

func (b *fakeBackend) Cancel(context.Context, laceunit.Address, lacebackend.ScopedRequestID, laceunit.AttemptID) error {
	return nil
}

func (b *fakeBackend) Lookup(_ context.Context, _ laceunit.Address, request lacebackend.ScopedRequestID) (lacebackend.Status, error) {
	if b.count(request) > 0 && !b.hideRuns {
		return lacebackend.Status{State: lacebackend.StateDone}, nil
	}
	return lacebackend.Status{State: lacebackend.StateAbsent}, nil
}

func (b *fakeBackend) Invoke(_ context.Context, _ laceunit.Address, in lacebackend.InvokeRequest) (lacebackend.Reply, error) {
	if err := b.recordRun(in.RequestID); err != nil {
		return lacebackend.Reply{}, err
	}
	return lacebackend.Reply{
		Status: http.StatusCreated,
		Header: http.Header{"Content-Type": {"text/plain"}},
		Body:   []byte("order taken: " + string(in.Body)),
	}, nil
}

func (b *fakeBackend) Load(context.Context, laceunit.Address) (lacebackend.Load, error) {
	return lacebackend.Load{}, errors.New("not reported")
}

func (b *fakeBackend) Events(context.Context, laceunit.Address, uint64) (lacebackend.CacheEventPage, error) {
	return lacebackend.CacheEventPage{}, errors.New("not reported")
}

// fakeDeps implements the configuration, the membership, the journal, the picker and the limiter.
type fakeDeps struct {
	document *laceconfig.Document
	verdict  lacemember.Verdict
	stale    bool
	joining  bool

	mu      sync.Mutex
	copies  []laceledger.Offline
	noPeers bool
}

func (f *fakeDeps) Current() *laceconfig.Document     { return f.document }
func (f *fakeDeps) Fresh() bool                       { return !f.stale }
func (f *fakeDeps) RedirectAddress() laceunit.Address { return "http://127.0.0.1:1" }

func (f *fakeDeps) Addresses() ([]AddressEntry, time.Duration) { return nil, time.Second }

func (f *fakeDeps) Authorize(request laceledger.Request, idempotent bool) lacemember.Decision {
	if _, found := f.Find(request); found && !idempotent {
		return lacemember.Decision{Verdict: lacemember.AlreadyStarted}
	}
	return lacemember.Decision{Verdict: f.verdict}
}

func (f *fakeDeps) Enabled() bool { return !f.joining }

func (f *fakeDeps) Abandon(request laceledger.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = slices.DeleteFunc(f.copies, func(c laceledger.Offline) bool { return c.Request == request })
}

func (f *fakeDeps) Copy(_ context.Context, entry laceledger.Offline, _ lacemember.Decision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noPeers {
		return errors.New("no other instance is reachable")
	}
	for _, c := range f.copies {
		if c.Request == entry.Request && c.Attempt != entry.Attempt {
			return lacejournal.ErrAlreadyStarted
		}
	}
	f.copies = append(f.copies, entry)
	return nil
}

func (f *fakeDeps) Find(request laceledger.Request) (laceledger.Offline, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.copies) - 1; i >= 0; i-- {
		if f.copies[i].Request == request {
			return f.copies[i], true
		}
	}
	return laceledger.Offline{}, false
}

func (f *fakeDeps) Pick(context.Context, PickRequest) (PickResult, *lacefault.Fault) {
	return PickResult{
		Server:  "s1",
		Address: "http://127.0.0.1:2",
		Done:    func(AttemptResult) {},
	}, nil
}

func (f *fakeDeps) Admit(context.Context, AdmissionRequest) (func(laceunit.Tokens), *lacefault.Fault) {
	return func(laceunit.Tokens) {}, nil
}

// fixture is a gateway with fake dependencies.
type fixture struct {
	ledger  *memoryLedger
	backend *fakeBackend
	deps    *fakeDeps
	wallet  *lacegrant.Service
	gateway *Gateway
}

func newFixture() *fixture {
	sum := sha256.Sum256([]byte(testKey))
	f := &fixture{
		ledger:  &memoryLedger{},
		backend: &fakeBackend{runs: map[lacebackend.ScopedRequestID]int{}},
		deps: &fakeDeps{
			verdict: lacemember.Online,
			document: &laceconfig.Document{
				Accounts: map[laceunit.AccountID]laceconfig.Account{
					"acme": {
						Keys:    []laceconfig.Key{{Hash: hex.EncodeToString(sum[:])}},
						Budgets: []laceunit.BudgetID{"main"},
					},
				},
				Models:   map[laceunit.ModelID]laceconfig.Model{"m": {ContextWindow: 1000, MaxOutput: 50}},
				Services: map[laceunit.ServiceID]laceconfig.Service{"orders": {Price: 10, SupportsLookup: true}},
			},
		},
	}
	_, _ = f.ledger.Append(context.Background(), laceledger.TopUp{
		Budget:  testBudget,
		Account: "acme",
		ID:      "t",
		Tokens:  testTopUp,
	}, laceledger.UrgencyImmediate)
	holder := laceunit.Holder{Instance: "i1", Incarnation: 1}
	f.wallet = lacegrant.NewService(lacegrant.NewWallet(holder, lacegrant.DefaultPolicy(laceunit.ConsistencyAvailable)), f.ledger)
	f.gateway = New(Deps{
		Configuration: f.deps,
		Wallet:        f.wallet,
		Ledger:        f.ledger,
		Picker:        f.deps,
		Backend:       f.backend,
		Membership:    f.deps,
		Journal:       f.deps,
		Limiter:       f.deps,
	}, WithHolder(holder))
	return f
}

func newRequest(method, path, id, body string) *http.Request {
	r, _ := http.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	if id != "" {
		r.Header.Set(headerIdempotencyKey, id)
	}
	return r
}
