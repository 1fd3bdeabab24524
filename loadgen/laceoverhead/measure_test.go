package laceoverhead

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceworkload"
)

const ordersWorkload = `
name: orders
accounts: {a: {key: k, budgets: [{name: b, paid: 1000}]}}
classes:
  orders: {kind: service, rate: 1, service: orders, path: /restock, price: 1, accounts: [{account: a, weight: 1}]}
  quotes: {kind: service, rate: 1, service: orders, path: /quotes, price: 1, idempotent: true, accounts: [{account: a, weight: 1}]}
`

func serve(t *testing.T, h http.Handler) laceunit.Address {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return laceunit.Address(strings.TrimPrefix(s.URL, "http://"))
}

// Guards against rejected calls that are measured as fast ones, kinds of calls that are skipped, and pairs that are not
// counted.
func TestRejectedCallsAreNotMeasured(t *testing.T) {
	w, err := laceworkload.Decode([]byte(ordersWorkload))
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int64
	instance := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Lace-Outcome", "done")
		if calls.Add(1)%2 == 0 {
			w.Header().Set("Lace-Outcome", "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"error":{"code":"overloaded","outcome":"not_run"}}`))
		}
	}
	m, err := New(Options{
		Workload: w,
		Seed:     1,
		Instance: serve(t, http.HandlerFunc(instance)),
		Service:  serve(t, laceemulator.NewService(laceemulator.ServiceOptions{}).Handler()),
		Pairs:    10,
	})
	if err != nil {
		t.Fatal(err)
	}
	r, err := m.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Calls) != 2 || r.Calls[0].Idempotent || !r.Calls[1].Idempotent {
		t.Fatalf("%+v", r.Calls)
	}
	for _, c := range r.Calls {
		if c.Failed != (10+warmupPairs)/2 || c.Pairs != 10/2 || !strings.Contains(c.LastError, "overloaded") {
			t.Errorf("%+v", c)
		}
		if c.Direct.P50 <= 0 || c.Overhead != c.Routed.sub(c.Direct) {
			t.Errorf("%+v", c)
		}
	}
}

// Guards against percentiles in another unit and CPU times that can't be read.
func TestPercentilesAndCPUTime(t *testing.T) {
	if p := percentiles([]time.Duration{
		2 * time.Millisecond, 2 * time.Millisecond,
	}); p != (Percentiles{P50: 2, P95: 2, P99: 2}) {
		t.Errorf("%+v", p)
	}
	if _, err := cpuTime(os.Getpid()); err != nil {
		t.Error(err)
	}
	if d, err := cpuTime(0); d != 0 || err != nil {
		t.Error(d, err)
	}
}
