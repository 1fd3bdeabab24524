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
	testPaid   = laceunit.Tokens(100000)
)

// memoryLedger is a ledger in memory whose platform can be taken away.
type memoryLedger struct {
	mu    sync.Mutex
	state laceledger.State
	// fail is returned instead of appending; lose is returned after appending.
	fail error
	lose error
	// urgencies are those of the appended records, by kind of record.
	urgencies map[string]laceledger.Urgency
}

func (l *memoryLedger) set(fail, lose error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail, l.lose = fail, lose
}

func (l *memoryLedger) Append(_ context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.urgencies == nil {
		l.urgencies = map[string]laceledger.Urgency{}
	}
	l.urgencies[fmt.Sprintf("%T", record)] = urgency
	if l.fail != nil {
		return laceledger.Verdict{}, l.fail
	}
	entry, verdicts := l.state.Propose([]laceledger.Record{record}, 1, laceledger.Cutoff{})
	if len(entry.Records) > 0 {
		if err := l.state.Apply(entry); err != nil {
			return laceledger.Verdict{}, err
		}
	}
	return verdicts[0], l.lose
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

// fakeBackend answers generate with words and counts how often each service request ran.
type fakeBackend struct {
	mu   sync.Mutex
	runs map[lacebackend.ScopedRequestID]int
	// fault replaces the answer of the next calls.
	fault error
	// blind makes lookups find nothing.
	blind bool
	// hold blocks streams after their first chunk until it is closed.
	hold chan struct{}
}

func (b *fakeBackend) count(request lacebackend.ScopedRequestID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[request]
}

func (b *fakeBackend) ran(request lacebackend.ScopedRequestID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[request]++
	return b.fault
}

type fakeStream struct {
	ctx  context.Context
	hold chan struct{}
	next int
	max  int
}

func (s *fakeStream) Next() (lacebackend.Chunk, error) {
	if s.hold != nil && s.next == 1 {
		select {
		case <-s.hold:
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
	if err := b.ran(call.RequestID); err != nil {
		return nil, err
	}
	return &fakeStream{
		ctx:  ctx,
		hold: b.hold,
		next: call.FirstChunk,
		max:  int(call.MaxTokens),
	}, nil
}

func (b *fakeBackend) Cancel(context.Context, laceunit.Address, lacebackend.ScopedRequestID, laceunit.AttemptID) error {
	return nil
}

func (b *fakeBackend) Lookup(_ context.Context, _ laceunit.Address, request lacebackend.ScopedRequestID) (lacebackend.Status, error) {
	if b.count(request) > 0 && !b.blind {
		return lacebackend.Status{State: lacebackend.StateDone}, nil
	}
	return lacebackend.Status{State: lacebackend.StateAbsent}, nil
}

func (b *fakeBackend) Invoke(_ context.Context, _ laceunit.Address, in lacebackend.InvokeRequest) (lacebackend.Reply, error) {
	if err := b.ran(in.RequestID); err != nil {
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

// fakeWorld stands in for the configuration, the membership, the journal, the picker and the limiter.
type fakeWorld struct {
	document *laceconfig.Document
	verdict  lacemember.Verdict
	stale    bool
	joining  bool

	mu     sync.Mutex
	copies []laceledger.Offline
	alone  bool
}

func (f *fakeWorld) Current() *laceconfig.Document     { return f.document }
func (f *fakeWorld) Fresh() bool                       { return !f.stale }
func (f *fakeWorld) RedirectAddress() laceunit.Address { return "http://127.0.0.1:1" }

func (f *fakeWorld) Addresses() ([]AddressEntry, time.Duration) { return nil, time.Second }

func (f *fakeWorld) Authorize(request laceledger.Request, idempotent bool) lacemember.Decision {
	if _, known := f.Find(request); known && !idempotent {
		return lacemember.Decision{Verdict: lacemember.AlreadyStarted}
	}
	return lacemember.Decision{Verdict: f.verdict}
}

func (f *fakeWorld) Enabled() bool { return !f.joining }

func (f *fakeWorld) Abandon(request laceledger.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = slices.DeleteFunc(f.copies, func(c laceledger.Offline) bool { return c.Request == request })
}

func (f *fakeWorld) Copy(_ context.Context, entry laceledger.Offline, _ lacemember.Decision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.alone {
		return errors.New("no other instance within reach")
	}
	for _, c := range f.copies {
		if c.Request == entry.Request && c.Attempt != entry.Attempt {
			return lacejournal.ErrAlreadyStarted
		}
	}
	f.copies = append(f.copies, entry)
	return nil
}

func (f *fakeWorld) Find(request laceledger.Request) (laceledger.Offline, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.copies) - 1; i >= 0; i-- {
		if f.copies[i].Request == request {
			return f.copies[i], true
		}
	}
	return laceledger.Offline{}, false
}

func (f *fakeWorld) Pick(context.Context, PickRequest) (PickResult, *lacefault.Fault) {
	return PickResult{
		Server:  "s1",
		Address: "http://127.0.0.1:2",
		Done:    func(AttemptResult) {},
	}, nil
}

func (f *fakeWorld) Admit(context.Context, AdmissionRequest) (func(laceunit.Tokens), *lacefault.Fault) {
	return func(laceunit.Tokens) {}, nil
}

// fixture is a gateway over fakes.
type fixture struct {
	ledger  *memoryLedger
	backend *fakeBackend
	world   *fakeWorld
	wallet  *lacegrant.Service
	gateway *Gateway
}

func newFixture() *fixture {
	sum := sha256.Sum256([]byte(testKey))
	f := &fixture{
		ledger:  &memoryLedger{},
		backend: &fakeBackend{runs: map[lacebackend.ScopedRequestID]int{}},
		world: &fakeWorld{
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
		Tokens:  testPaid,
	}, laceledger.UrgencyImmediate)
	holder := laceunit.Holder{Instance: "i1", Incarnation: 1}
	f.wallet = lacegrant.NewService(lacegrant.NewWallet(holder, lacegrant.DefaultPolicy(laceunit.ConsistencyAvailable)), f.ledger)
	f.gateway = New(Deps{
		Configuration: f.world,
		Wallet:        f.wallet,
		Ledger:        f.ledger,
		Picker:        f.world,
		Backend:       f.backend,
		Membership:    f.world,
		Journal:       f.world,
		Limiter:       f.world,
	}, WithHolder(holder))
	return f
}

func request(method, path, id, body string) *http.Request {
	r, _ := http.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	if id != "" {
		r.Header.Set(headerRequest, id)
	}
	return r
}
