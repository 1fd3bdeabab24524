package lacecontrol

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceorder"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// memoryStore is an in-memory key-value store with compare-and-swap.
type memoryStore struct {
	laceplatform.Store
	mu       sync.Mutex
	values   map[laceplatform.Key]laceplatform.Entry
	revision laceplatform.Revision
}

func (p *memoryStore) Get(_ context.Context, k laceplatform.Key) (laceplatform.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.values[k]; ok {
		return e, nil
	}
	return laceplatform.Entry{}, laceplatform.ErrMissing
}

func (p *memoryStore) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values[s.Key].Revision != s.Expect {
		return 0, laceplatform.ErrConflict
	}
	p.revision++
	p.values[s.Key] = laceplatform.Entry{Key: s.Key, Value: s.Value, Revision: p.revision}
	return p.revision, nil
}

func (p *memoryStore) Delete(context.Context, laceplatform.Key, laceplatform.Revision) error {
	return nil
}

// fakeBackend fakes the ledger, the membership, the drain and the orders to model engines. The next lostResponses
// calls of Append fail with an unknown outcome.
type fakeBackend struct {
	lostResponses int
}

func (b *fakeBackend) Append(context.Context, laceledger.Record, laceledger.Urgency) (laceledger.Verdict, error) {
	if b.lostResponses > 0 {
		b.lostResponses--
		return laceledger.Verdict{}, laceplatform.ErrUnknown
	}
	return laceledger.Verdict{Result: laceledger.Accepted, Granted: 30}, nil
}

func (b *fakeBackend) Balance(context.Context, laceunit.BudgetID) (laceledger.Balance, error) {
	h := laceunit.Holder{Instance: "router-1", Incarnation: 42}
	return laceledger.Balance{
		Budget: "bakery", Account: "bakery", Paid: 1000, Settled: 200, Outstanding: 300,
		Grants: []laceledger.Grant{{ID: "g1", Holder: h, Tokens: 300, Offline: 180, Witnesses: []laceunit.Holder{h}}},
	}, nil
}

func (b *fakeBackend) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	x, err := b.Balance(ctx, "")
	return []laceledger.Balance{x}, err
}

func (b *fakeBackend) Instances(context.Context) ([]laceadmin.Member, error) {
	return []laceadmin.Member{{
		Holder: laceunit.Holder{Instance: "router-1", Incarnation: 42}, Address: "127.0.0.1:8081",
		Place: laceunit.Place{Region: "coop", Zone: "coop-a"}, State: "live",
	}}, nil
}

func (b *fakeBackend) Fence(context.Context, laceunit.Holder) error { return nil }
func (b *fakeBackend) Drain(context.Context) error                  { return nil }

// fixture is an admin API server with an empty configuration document, and a directory with an operator's files.
type fixture struct {
	dir     string
	address string
	backend *fakeBackend
}

// Do implements laceadmin.Orders.
func (b *fakeBackend) Do(context.Context, laceorder.Job) error { return nil }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	r := &fixture{dir: t.TempDir(), backend: &fakeBackend{}}
	r.write(t, "token", "chief-token\n")
	r.write(t, "operators.yaml", "operators: {chief: {token: "+laceadmin.Hash("chief-token")+
		", may: [accounts, servers, models, services, routing, limits, audit, budgets, members]}}")
	o, err := laceadmin.NewOperators(filepath.Join(r.dir, "operators.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	p := &memoryStore{values: map[laceplatform.Key]laceplatform.Entry{}}
	server := httptest.NewServer(laceadmin.NewServer(laceadmin.Deps{
		Configuration: laceconfig.NewStore(p), Ledger: r.backend, Members: r.backend, Drainer: r.backend, Orders: r.backend,
		AuditLog: laceadmin.NewAuditLog(p), Operators: o,
		Now: func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
	}))
	t.Cleanup(server.Close)
	r.address = server.Listener.Addr().String()
	return r
}

func (r *fixture) write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

var randomText = regexp.MustCompile(`(lace-|ctl-|summer:|summer\n\+? +hash: )[A-Za-z0-9_-]+`)

// runCommand runs a command line and returns its exit code and its output, with random and temporary values replaced
// by fixed text.
func (r *fixture) runCommand(line ...string) (exitCode, string) {
	var out bytes.Buffer
	code := run(context.Background(), environment{
		stdin: strings.NewReader(""), stdout: &out, stderr: &out,
		getenv: func(name string) string {
			return map[string]string{"LACECTL_ADDRESS": r.address, "LACECTL_TOKEN_FILE": filepath.Join(r.dir, "token")}[name]
		},
	}, line)
	text := strings.NewReplacer(r.dir+string(filepath.Separator), "", r.address, "ADDRESS").Replace(out.String())
	return code, randomText.ReplaceAllString(text, "${1}FRESH")
}

// Guards against unintended changes of the output or exit code of a command.
func TestCommands(t *testing.T) {
	r := newFixture(t)
	limits := r.write(t, "limits.yaml", "limits:\n  waiting: 7\n")
	stale := r.write(t, "stale.yaml", "limits:\n  waiting: 9\n")
	broken := r.write(t, "broken.yaml", "limits:\n  waiting: -1\nmodel: {}\n")
	coop := filepath.Join("..", "..", "samples", "coop.yaml")
	var all strings.Builder
	for _, x := range []struct {
		want exitCode
		line string
	}{
		{want: exitOK, line: "help"},
		{want: exitUsage, line: "config explode"},
		{want: exitOK, line: "config apply -help"},
		{want: exitUsage, line: "config apply"},
		{want: exitUsage, line: "config show -output xml"},
		{want: exitOK, line: "config validate " + coop},
		{want: exitFailed, line: "config validate " + broken},
		{want: exitOK, line: "config apply -id first -output json " + coop + " -dry"},
		{want: exitOK, line: "config history"},
		{want: exitOK, line: "config apply -id first " + coop},
		{want: exitOK, line: "config apply -id first " + coop},
		{want: exitConflict, line: "config apply -id first " + limits},
		{want: exitConflict, line: "config apply " + stale},
		{want: exitFailed, line: "config plan " + broken},
		{want: exitOK, line: "config history"},
		{want: exitOK, line: "accounts rotate bakery -name summer -dry"},
		{want: exitOK, line: "accounts rotate bakery -name summer -drop main"},
		{want: exitFailed, line: "accounts rotate nobody -name summer"},
		{want: exitOK, line: "config history -full -limit 1"},
		{want: exitOK, line: "accounts list"},
		{want: exitOK, line: "servers list"},
		{want: exitOK, line: "servers order assistant-1 version -model assistant-small -version 3 -dry"},
		{want: exitOK, line: "servers order assistant-1 version -model assistant-small -version 3 -id order-1"},
		{want: exitConflict, line: "servers order assistant-1 role -role prefill -id order-1"},
		{want: exitFailed, line: "servers order assistant-1 role -model assistant-small"},
		{want: exitFailed, line: "servers order nowhere load -model assistant-small"},
		{want: exitOK, line: "members list"},
		{want: exitOK, line: "members fence router-1 42 -id fence-1"},
		{want: exitUsage, line: "members fence router-1 first"},
		{want: exitOK, line: "budgets list"},
		{want: exitOK, line: "budgets show bakery"},
		{want: exitOK, line: "budgets top-up bakery 500 -id invoice-1"},
		{want: exitConflict, line: "budgets top-up bakery 501 -id invoice-1"},
		{want: exitUsage, line: "budgets top-up bakery many"},
		{want: exitFailed, line: "budgets top-up absent 5"},
		{want: exitOK, line: "grants list -output json"},
		{want: exitOK, line: "grants release bakery g1 -id release-1"},
		{want: exitOK, line: "drain -id drain-1"},
		{want: exitUsage, line: "drain -address a:1,b:2"},
		{want: exitUnavailable, line: "config show -address 127.0.0.1:1"},
		{want: exitOK, line: "budgets list -address 127.0.0.1:1," + r.address},
		{want: exitOK, line: "check " + filepath.Join("..", "..", "samples", "router.yaml")},
		{want: exitFailed, line: "check " + broken},
	} {
		code, text := r.runCommand(strings.Fields(x.line)...)
		line := strings.NewReplacer(r.dir+string(filepath.Separator), "", r.address, "ADDRESS").Replace(x.line)
		if code != x.want {
			t.Errorf("lacectl %s: exit code %d, want %d\n%s", line, code, x.want, text)
		}
		fmt.Fprintf(&all, "$ lacectl %s\n%s[%d]\n\n", line, text, code)
	}
	goldie.New(t).Assert(t, "commands", []byte(all.String()))
}

// Guards against a change whose response is lost being reported as failed, or being retried under a different ID.
func TestLostResponseIsRetried(t *testing.T) {
	r := newFixture(t)
	if code, text := r.runCommand("config", "apply", filepath.Join("..", "..", "samples", "coop.yaml")); code != exitOK {
		t.Fatal(text)
	}
	r.backend.lostResponses = 2
	if code, text := r.runCommand("budgets", "top-up", "bakery", "5"); code != exitOK {
		t.Fatal(text)
	}
	r.backend.lostResponses = 9
	code, text := r.runCommand("budgets", "top-up", "bakery", "5", "-id", "mine")
	if code != exitUnavailable || !strings.Contains(text, "repeat with -id mine") || r.backend.lostResponses != 9-maxAttempts {
		t.Fatalf("exit code %d, %d responses left to lose: %s", code, r.backend.lostResponses, text)
	}
}

// Guards against config apply rejecting the edited output of config show, and against applying an edit before printing
// its differences.
func TestShowEditApply(t *testing.T) {
	r := newFixture(t)
	if code, text := r.runCommand("config", "apply", filepath.Join("..", "..", "samples", "coop.yaml")); code != exitOK {
		t.Fatal(text)
	}
	_, shown := r.runCommand("config", "show")
	edited := r.write(t, "edited.yaml", strings.Replace(shown, "waiting: 512", "waiting: 3", 1))
	code, text := r.runCommand("config", "apply", edited)
	if code != exitOK || !strings.Contains(text, "-waiting: 512\n+waiting: 3\n") {
		t.Fatalf("exit code %d: %s", code, text)
	}
	if code, text = r.runCommand("config", "apply", edited); code != exitOK || !strings.Contains(text, "no change against version 2") {
		t.Fatalf("exit code %d: %s", code, text)
	}
}
