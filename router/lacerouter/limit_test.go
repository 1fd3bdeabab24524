package lacerouter

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// Guards against instances that each apply the whole limit of a backend server, or ignore it: the limit is for all
// instances together. Also guards against a limit that is still applied after the server has lifted it.
func TestServerLimitIsSharedByAllInstances(t *testing.T) {
	t.Parallel()
	const (
		limit  = 2
		window = 4 * time.Second
	)
	tc := newTestCluster(t)
	routers, _ := tc.startFleet(3)
	var b billingTotals
	load := func(name string, until time.Time) {
		for i := 0; time.Now().Before(until); i++ {
			b.runChats(t, routers, fmt.Sprintf("%s-%d-", name, i), 12, 12, 4)
		}
	}
	tc.engines[0].SetFaults(laceemulator.ServerFaults{RateLimit: limit})
	began := time.Now()
	load("limited", began.Add(13*time.Second))
	if n := tc.arrivals[0].maxInWindow(window, began.Add(3*time.Second)); n > 6*limit+5 || n < limit {
		t.Errorf("an engine with a limit of %d requests per second got %d within %s", limit, n, window)
	}
	tc.engines[0].SetFaults(laceemulator.ServerFaults{})
	load("ending", time.Now().Add(4*time.Second))
	_, before := tc.arrivals[0].lastAndCount()
	load("free", time.Now().Add(2*time.Second))
	if _, n := tc.arrivals[0].lastAndCount(); n-before < 6*limit {
		t.Errorf("an engine without a limit got %d requests in 2 s", n-before)
	}
}
