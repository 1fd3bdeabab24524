package laceload

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceunit"
)

// Guards against violations that are not reported, or that are reported as another kind.
func TestViolationsAreReported(t *testing.T) {
	for fault, count := range map[string]func(Violations) *int64{
		"cut":                func(v Violations) *int64 { return &v.Truncated },
		"crossed":            func(v Violations) *int64 { return &v.Mismatched },
		"unfinished":         func(v Violations) *int64 { return &v.Truncated },
		"miscounted":         func(v Violations) *int64 { return &v.Miscounted },
		"billed twice":       func(v Violations) *int64 { return &v.Misbilled },
		"billed never":       func(v Violations) *int64 { return &v.Unbilled },
		"not run but billed": func(v Violations) *int64 { return &v.NotRunButBilled },
		"not run but ran":    func(v Violations) *int64 { return &v.NotRunButRan },
		"ran twice":          func(v Violations) *int64 { return &v.DuplicateRuns },
		"never ran":          func(v Violations) *int64 { return &v.DoneWithoutRun },
	} {
		t.Run(fault, func(t *testing.T) {
			r := runSmall(t, newFakeFleet(t, fault))
			if got := *count(r.Violations); got == 0 {
				t.Errorf("violation not reported: %+v", r.Violations)
			}
			if len(r.Examples) == 0 {
				t.Error("no example of a request with the violation")
			}
		})
	}
}

// Guards against violations that are reported although the fleet kept its guarantees.
func TestNoFalseViolations(t *testing.T) {
	for _, fault := range []string{
		"", "interrupted once", "first response lost", "all responses lost", "redirected once", "spent",
		"response lost, then refused",
	} {
		t.Run(fault, func(t *testing.T) {
			f := newFakeFleet(t, fault)
			f.redirect = string(newFakeFleet(t, "").address())
			r := runSmall(t, f)
			if r.Violations.Any() {
				t.Errorf("reported %+v, %v", r.Violations, r.Examples)
			}
			if r.Requests.Sent == 0 || r.Billing.Verified == 0 || len(r.Unchecked) > 0 {
				t.Errorf("not checked: %+v, %v", r.Requests, r.Unchecked)
			}
		})
	}
}

// Guards against callers that change the request id on a retry, give up early, or ignore the instance in a refusal.
func TestRetries(t *testing.T) {
	f := newFakeFleet(t, "interrupted once")
	r := runSmall(t, f)
	if r.Requests.Done != r.Requests.Sent {
		t.Errorf("%d of %d done after one interrupted response each", r.Requests.Done, r.Requests.Sent)
	}
	if int64(len(f.attempts)) != r.Requests.Sent || r.Requests.Attempts <= r.Requests.Sent {
		t.Errorf("%d ids in %d attempts of %d requests", len(f.attempts), r.Requests.Attempts, r.Requests.Sent)
	}
	other := newFakeFleet(t, "")
	f = newFakeFleet(t, "redirected once")
	f.redirect = string(other.address())
	r = runSmall(t, f)
	chats := r.Classes["chats"].Sent
	if int64(len(other.attempts)) != chats || chats == 0 {
		t.Errorf("%d of %d chats were retried at the instance in the refusal", len(other.attempts), chats)
	}
}

// Guards against calls that are given up without an answered status query after their responses were lost, also if the
// query takes longer than outcomes are asked for.
func TestLostResponsesAreResolved(t *testing.T) {
	for _, delay := range []time.Duration{0, 60 * time.Millisecond} {
		f := newFakeFleet(t, "all responses lost")
		f.statusDelay = delay
		r := runSmall(t, f)
		if r.Violations.Any() || r.Requests.Unknown > 0 || r.Requests.Done != r.Requests.Sent {
			t.Errorf("status queries take %v: %+v", delay, r.Requests)
		}
	}
}

// Guards against false refusals that are not counted, and justified refusals that are.
func TestFalseRefusals(t *testing.T) {
	r := runSmall(t, newFakeFleet(t, "spent"))
	chats := r.Classes["chats"].Sent
	if r.FalseRefusals.Final != chats || r.FalseRefusals.AmpleBudget != chats || chats == 0 {
		t.Errorf("%+v of %d refused chats", r.FalseRefusals, chats)
	}
	r = runSmall(t, newFakeFleet(t, "spent"), WithBalanceSource(&fakeBalances{
		paid: 1,
	}, 0))
	if r.FalseRefusals.Final != 0 {
		t.Errorf("%+v for an exhausted budget", r.FalseRefusals)
	}
}

// fakeBalances reports nothing settled on the first read, and the settled tokens on later reads.
type fakeBalances struct {
	paid, settled laceunit.Tokens
	readBefore    bool
}

func (*fakeBalances) Name() string { return "figures" }

func (f *fakeBalances) Read(context.Context) (map[laceunit.BudgetID]Balance, error) {
	b := Balance{Paid: f.paid}
	if f.readBefore {
		b.Settled = f.settled
	}
	f.readBefore = true
	return map[laceunit.BudgetID]Balance{"a/b": b}, nil
}

// Guards against balances that are not checked: overspend, and a settled amount that differs from the callers' usage.
func TestBalances(t *testing.T) {
	usage := runSmall(t, newFakeFleet(t, "")).Billing.Usage
	for _, c := range []struct {
		paid, settled, overspend, excess, shortfall laceunit.Tokens
	}{
		{paid: usage, settled: usage},
		{paid: usage - 1, settled: usage, overspend: 1},
		{paid: 2 * usage, settled: usage + 3, excess: 3},
		{paid: 2 * usage, settled: usage - 2, shortfall: 2},
	} {
		got := runSmall(t, newFakeFleet(t, ""), WithBalanceSource(&fakeBalances{
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

// Guards against balances of the administration API that are mixed up or missing, and against errors that are ignored.
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
		t.Error("balances without a response")
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
