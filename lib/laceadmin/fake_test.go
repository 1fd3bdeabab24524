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

// platform is a key-value service in memory; script decides the error of the n-th write and whether it takes effect.
type platform struct {
	laceplatform.Store
	mu       sync.Mutex
	values   map[laceplatform.Key]laceplatform.Entry
	revision laceplatform.Revision
	writes   int
	script   func(n int) (done bool, err error)
}

func (p *platform) Get(_ context.Context, k laceplatform.Key) (laceplatform.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.values[k]; ok {
		return e, nil
	}
	return laceplatform.Entry{}, laceplatform.ErrMissing
}

func (p *platform) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	done, err := true, error(nil)
	if p.script != nil {
		done, err = p.script(p.writes)
	}
	if done && p.values[s.Key].Revision != s.Expect {
		return 0, laceplatform.ErrConflict
	}
	if done {
		p.revision++
		p.values[s.Key] = laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: p.revision}
	}
	return p.revision, err
}

func (p *platform) Delete(_ context.Context, k laceplatform.Key, _ laceplatform.Revision) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.values, k)
	return nil
}

// ledger credits top-ups once per id; before is told of each record and may fail it after it took effect.
type ledger struct {
	paid   map[laceunit.TopUpID]laceunit.Tokens
	before func(laceledger.Record) error
}

func (l *ledger) Append(_ context.Context, r laceledger.Record, _ laceledger.Urgency) (laceledger.Verdict, error) {
	err := l.before(r)
	t, ok := r.(laceledger.TopUp)
	if !ok {
		return laceledger.Verdict{Result: laceledger.Accepted, Granted: 40}, err
	}
	if _, known := l.paid[t.ID]; known {
		return laceledger.Verdict{Result: laceledger.Repeated}, err
	}
	l.paid[t.ID] = t.Tokens
	return laceledger.Verdict{Result: laceledger.Accepted}, err
}

func (l *ledger) Balance(_ context.Context, b laceunit.BudgetID) (laceledger.Balance, error) {
	if b != "bakery" {
		return laceledger.Balance{}, laceplatform.ErrMissing
	}
	return laceledger.Balance{
		Budget: b, Account: "bakery", Paid: 100, Settled: 20, Outstanding: 50,
		Grants: []laceledger.Grant{{ID: "g", Holder: laceunit.Holder{Instance: "i", Incarnation: 1 << 60}, Tokens: 50}},
	}, nil
}

func (l *ledger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	b, err := l.Balance(ctx, "bakery")
	return []laceledger.Balance{b}, err
}

// fleet records what it is told to do.
type fleet struct {
	fenced  []laceunit.Holder
	drained int
}

func (f *fleet) Instances(context.Context) ([]Member, error) {
	return []Member{{Holder: laceunit.Holder{Instance: "i", Incarnation: 7}, State: "live"}}, nil
}

func (f *fleet) Fence(_ context.Context, h laceunit.Holder) error {
	f.fenced = append(f.fenced, h)
	return nil
}

func (f *fleet) Drain(context.Context) error {
	f.drained++
	return nil
}

type fixture struct {
	platform *platform
	ledger   *ledger
	fleet    *fleet
	address  string
	operator *Client
	reader   *Client
}

const operators = `operators:
  chief:
    token: ` + chiefHash + `
    may: [accounts, servers, models, services, routing, limits, audit, budgets, members]
  reader:
    token: ` + readerHash + `
    may: [limits]
`

// The hashes of "chief-token" and "reader-token".
const (
	chiefHash  = "34de40759bbd2b4cb0b539586af070be7421942ea61117bb25054ac85f8e479a"
	readerHash = "ba5005a40cf5212e4ac0190104cc127edab013294bb71279a975b27a80982d45"
)

// newFixture serves the API over the co-operative's sample document.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	r := &fixture{
		platform: &platform{values: map[laceplatform.Key]laceplatform.Entry{}},
		ledger:   &ledger{paid: map[laceunit.TopUpID]laceunit.Tokens{}, before: func(laceledger.Record) error { return nil }},
		fleet:    &fleet{},
	}
	path := filepath.Join(t.TempDir(), "operators.yaml")
	if err := os.WriteFile(path, []byte(operators), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := NewOperators(path)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(NewServer(Deps{
		Configuration: laceconfig.NewStore(r.platform), Ledger: r.ledger, Members: r.fleet, Drainer: r.fleet,
		AuditLog: NewAuditLog(r.platform), Operators: o,
		Now: func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
	}))
	t.Cleanup(server.Close)
	r.address = server.URL
	r.operator = &Client{Addresses: []string{server.URL}, Token: "chief-token", HTTP: http.DefaultClient}
	r.reader = &Client{Addresses: []string{server.URL}, Token: "reader-token", HTTP: http.DefaultClient}
	text, err := os.ReadFile(filepath.Join("..", "..", "samples", "coop.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = r.operator.Apply(context.Background(), Proposal{ID: "seed", Text: string(text)}); err != nil {
		t.Fatal(err)
	}
	r.platform.writes = 0
	return r
}
