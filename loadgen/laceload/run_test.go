package laceload

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceunit"
)

// Guards against a tool that does not see a broken promise, takes it for another one, or sees one that is none.
func TestBrokenPromises(t *testing.T) {
	for fault, count := range map[string]func(Violations) *int64{
		"cut":                func(b Violations) *int64 { return &b.Truncated },
		"crossed":            func(b Violations) *int64 { return &b.Mismatched },
		"unfinished":         func(b Violations) *int64 { return &b.Truncated },
		"miscounted":         func(b Violations) *int64 { return &b.Miscounted },
		"billed twice":       func(b Violations) *int64 { return &b.Misbilled },
		"billed never":       func(b Violations) *int64 { return &b.Unbilled },
		"not run but billed": func(b Violations) *int64 { return &b.NotRunButBilled },
		"not run but ran":    func(b Violations) *int64 { return &b.NotRunButRan },
		"ran twice":          func(b Violations) *int64 { return &b.DuplicateRuns },
		"never ran":          func(b Violations) *int64 { return &b.DoneWithoutRun },
	} {
		t.Run(fault, func(t *testing.T) {
			r := play(t, newFake(t, fault))
			if got := *count(r.Violations); got == 0 {
				t.Errorf("not reported: %+v", r.Violations)
			}
			if len(r.Examples) == 0 {
				t.Error("no example of a request that it happened to")
			}
		})
	}
}

// Guards against promises that are reported as broken although the fleet kept them.
func TestKeptPromises(t *testing.T) {
	for _, fault := range []string{"", "breaks once", "answer lost", "answers lost", "another instance", "spent", "lost, then refused"} {
		t.Run(fault, func(t *testing.T) {
			f := newFake(t, fault)
			f.other = string(newFake(t, "").address())
			r := play(t, f)
			if r.Violations.Any() {
				t.Errorf("reported %+v, %v", r.Violations, r.Examples)
			}
			if r.Requests.Sent == 0 || r.Billing.Verified == 0 || len(r.Unchecked) > 0 {
				t.Errorf("not checked: %+v, %v", r.Requests, r.Unchecked)
			}
		})
	}
}

// Guards against callers that change the request id on a retry, give up early, or stay at the instance that refused.
func TestRetries(t *testing.T) {
	f := newFake(t, "breaks once")
	r := play(t, f)
	if r.Requests.Done != r.Requests.Sent {
		t.Errorf("%d of %d done after one cut each", r.Requests.Done, r.Requests.Sent)
	}
	if int64(len(f.tries)) != r.Requests.Sent || r.Requests.Attempts <= r.Requests.Sent {
		t.Errorf("%d ids in %d attempts of %d requests", len(f.tries), r.Requests.Attempts, r.Requests.Sent)
	}
	other := newFake(t, "")
	f = newFake(t, "another instance")
	f.other = string(other.address())
	r = play(t, f)
	chats := r.Classes["chats"].Sent
	if int64(len(other.tries)) != chats || chats == 0 {
		t.Errorf("%d of %d chats came to the instance that the refusal named", len(other.tries), chats)
	}
}

// Guards against calls with a lost answer that are given up without asking for their state.
func TestLostAnswersAreAskedFor(t *testing.T) {
	r := play(t, newFake(t, "answers lost"))
	if r.Violations.Any() || r.Requests.Unknown > 0 || r.Requests.Done != r.Requests.Sent {
		t.Errorf("%+v", r.Requests)
	}
}

// Guards against refusals of accounts with enough left that are not counted, and true ones that are.
func TestFalseRefusals(t *testing.T) {
	r := play(t, newFake(t, "spent"))
	chats := r.Classes["chats"].Sent
	if r.FalseRefusals.Final != chats || r.FalseRefusals.AmpleBudget != chats || chats == 0 {
		t.Errorf("%+v of %d refused chats", r.FalseRefusals, chats)
	}
	r = play(t, newFake(t, "spent"), WithBalanceSource(&figures{
		paid: 1,
	}, 0))
	if r.FalseRefusals.Final != 0 {
		t.Errorf("%+v with nothing left", r.FalseRefusals)
	}
}

// figures are balances that some administration reports: first none settled, then so many tokens.
type figures struct {
	paid, settled laceunit.Tokens
	asked         bool
}

func (*figures) Name() string { return "figures" }

func (f *figures) Read(context.Context) (map[laceunit.BudgetID]Balance, error) {
	b := Balance{Paid: f.paid}
	if f.asked {
		b.Settled = f.settled
	}
	f.asked = true
	return map[laceunit.BudgetID]Balance{"a/b": b}, nil
}

// Guards against sums that are not compared: overspend, and a total that the callers' usage does not explain.
func TestBalances(t *testing.T) {
	usage := play(t, newFake(t, "")).Billing.Usage
	for _, c := range []struct {
		paid, settled, overspend, excess, shortfall laceunit.Tokens
	}{
		{paid: usage, settled: usage},
		{paid: usage - 1, settled: usage, overspend: 1},
		{paid: 2 * usage, settled: usage + 3, excess: 3},
		{paid: 2 * usage, settled: usage - 2, shortfall: 2},
	} {
		got := play(t, newFake(t, ""), WithBalanceSource(&figures{
			paid:    c.paid,
			settled: c.settled,
		}, 0), WithIDPrefix("same")).Violations
		want := Violations{
			Overspend: c.overspend,
			Excess:    c.excess,
			Shortfall: c.shortfall,
		}
		if got != want {
			t.Errorf("%+v: reported %+v", c, got)
		}
	}
}

// Guards against balances of an administration that are mixed up or missed.
func TestAdminBalances(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/budgets") || r.Header.Get("Authorization") != "Bearer t" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(`{"budgets":[{"id":"b","account":"a","paid":9,"settled":4,"outstanding":2,"left":3}]}`))
	}))
	defer s.Close()
	b := NewAdminBalanceSource(&laceadmin.Client{
		Addresses: []string{s.URL},
		Token:     "t",
		HTTP:      s.Client(),
	})
	got, err := b.Read(context.Background())
	if err != nil || len(got) != 1 || got["a/b"] != (Balance{Paid: 9, Settled: 4}) {
		t.Error(got, err)
	}
	s.Close()
	if _, err := b.Read(context.Background()); err == nil {
		t.Error("no answer was taken for balances")
	}
}

// Guards against unwanted changes of the table that people read.
func TestTable(t *testing.T) {
	r := Report{
		Workload: "small",
		Seed:     7,
		Seconds:  1.25,
		Requests: RequestCounts{
			Sent:            10,
			Done:            8,
			NotRun:          1,
			Unknown:         1,
			Attempts:        12,
			PeakConcurrency: 3,
		},
		Classes:    map[classID]ClassCounts{"chats": {Sent: 10, Done: 8}},
		Failures:   map[string]int64{"budget_spent/not_run": 1, "cut/unknown": 1},
		Violations: Violations{DuplicateRuns: 1},
		Billing:    Billing{Source: "callers", Usage: 100, Settled: 100, Paid: 1000, Verified: 10},
		Unchecked:  []string{"runs: the workload names no services"},
		Examples:   []string{"ran more than once: a/1"},
	}
	var b bytes.Buffer
	if err := r.Print(&b); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "table", b.Bytes())
}
