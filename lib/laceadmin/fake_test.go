package laceadmin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// fakePlatform is an in-memory key-value store; onWrite returns the error of the n-th write and whether it is applied.
type fakePlatform struct {
	laceplatform.Store
	mu       sync.Mutex
	values   map[laceplatform.Key]laceplatform.Entry
	revision laceplatform.Revision
	writes   int
	onWrite  func(n int) (applied bool, err error)
}

func (p *fakePlatform) Get(_ context.Context, k laceplatform.Key) (laceplatform.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.values[k]; ok {
		return e, nil
	}
	return laceplatform.Entry{}, laceplatform.ErrMissing
}

func (p *fakePlatform) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	applied, err := true, error(nil)
	if p.onWrite != nil {
		applied, err = p.onWrite(p.writes)
	}
	if applied && p.values[s.Key].Revision != s.Expect {
		return 0, laceplatform.ErrConflict
	}
	if applied {
		p.revision++
		p.values[s.Key] = laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: p.revision}
	}
	return p.revision, err
}

func (p *fakePlatform) Delete(_ context.Context, k laceplatform.Key, _ laceplatform.Revision) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.values, k)
	return nil
}

// fakeLedger credits top-ups once per id; onAppend is called with each record before it is applied, and its error is
// returned after the record has been applied.
type fakeLedger struct {
	credited map[laceunit.TopUpID]laceunit.Tokens
	onAppend func(laceledger.Record) error
}

func (l *fakeLedger) Append(_ context.Context, r laceledger.Record, _ laceledger.Urgency) (laceledger.Verdict, error) {
	err := l.onAppend(r)
	t, ok := r.(laceledger.TopUp)
	if !ok {
		return laceledger.Verdict{Result: laceledger.Accepted, Granted: 40}, err
	}
	if _, known := l.credited[t.ID]; known {
		return laceledger.Verdict{Result: laceledger.Repeated}, err
	}
	l.credited[t.ID] = t.Tokens
	return laceledger.Verdict{Result: laceledger.Accepted}, err
}

func (l *fakeLedger) Balance(_ context.Context, b laceunit.BudgetID) (laceledger.Balance, error) {
	if b != "bakery" {
		return laceledger.Balance{}, laceplatform.ErrMissing
	}
	return laceledger.Balance{
		Budget: b, Account: "bakery", Paid: 100, Settled: 20, Outstanding: 50,
		Grants: []laceledger.Grant{{ID: "g", Holder: laceunit.Holder{Instance: "i", Incarnation: 1 << 60}, Tokens: 50}},
	}, nil
}

func (l *fakeLedger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	b, err := l.Balance(ctx, "bakery")
	return []laceledger.Balance{b}, err
}

// fakeFleet records the calls that it receives.
type fakeFleet struct {
	fenced  []laceunit.Holder
	drained int
}

func (f *fakeFleet) Instances(context.Context) ([]Member, error) {
	return []Member{{Holder: laceunit.Holder{Instance: "i", Incarnation: 7}, State: "live"}}, nil
}

func (f *fakeFleet) Fence(_ context.Context, h laceunit.Holder) error {
	f.fenced = append(f.fenced, h)
	return nil
}

func (f *fakeFleet) Drain(context.Context) error {
	f.drained++
	return nil
}

type fixture struct {
	platform *fakePlatform
	ledger   *fakeLedger
	fleet    *fakeFleet
	address  string
	operator *Client
	reader   *Client
}

const operatorsYAML = `operators:
  chief:
    token: ` + chiefHash + `
    may: [accounts, servers, models, services, routing, limits, audit, budgets, members]
  reader:
    token: ` + readerHash + `
    may: [limits]
`

// The SHA-256 hashes of "chief-token" and "reader-token".
const (
	chiefHash  = "34de40759bbd2b4cb0b539586af070be7421942ea61117bb25054ac85f8e479a"
	readerHash = "ba5005a40cf5212e4ac0190104cc127edab013294bb71279a975b27a80982d45"
)

// newFixture serves the API with the sample document samples/coop.yaml.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		platform: &fakePlatform{values: map[laceplatform.Key]laceplatform.Entry{}},
		ledger: &fakeLedger{
			credited: map[laceunit.TopUpID]laceunit.Tokens{},
			onAppend: func(laceledger.Record) error { return nil },
		},
		fleet: &fakeFleet{},
	}
	path := filepath.Join(t.TempDir(), "operators.yaml")
	if err := os.WriteFile(path, []byte(operatorsYAML), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := NewOperators(path)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(NewServer(Deps{
		Configuration: laceconfig.NewStore(f.platform), Ledger: f.ledger, Members: f.fleet, Drainer: f.fleet,
		AuditLog: NewAuditLog(f.platform), Operators: o,
		Now: func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
	}))
	t.Cleanup(server.Close)
	f.address = server.URL
	f.operator = &Client{Addresses: []string{server.URL}, Token: "chief-token", HTTP: http.DefaultClient}
	f.reader = &Client{Addresses: []string{server.URL}, Token: "reader-token", HTTP: http.DefaultClient}
	text, err := os.ReadFile(filepath.Join("..", "..", "samples", "coop.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = f.operator.Apply(context.Background(), Proposal{ID: "seed", Text: string(text)}); err != nil {
		t.Fatal(err)
	}
	f.platform.writes = 0
	return f
}
