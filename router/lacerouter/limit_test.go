package lacerouter

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// Guards against a limit that each instance keeps, or ignores, by itself: a backend server names one sum over all instances.
// It also guards against a limit that goes on after its end.
func TestALimitIsOneSumOverAllInstances(t *testing.T) {
	t.Parallel()
	const (
		limit  = 2
		window = 4 * time.Second
	)
	w := newWorld(t)
	routers, _ := w.fleet(3)
	var b bill
	load := func(name string, until time.Time) {
		for i := 0; time.Now().Before(until); i++ {
			b.load(t, routers, fmt.Sprintf("%s-%d-", name, i), 12, 12, 4)
		}
	}
	w.engines[0].SetFaults(laceemulator.ServerFaults{RateLimit: limit})
	began := time.Now()
	load("limited", began.Add(13*time.Second))
	if n := w.arrived[0].most(window, began.Add(3*time.Second)); n > 6*limit+5 || n < limit {
		t.Errorf("an engine that takes %d requests a second got %d within %s", limit, n, window)
	}
	w.engines[0].SetFaults(laceemulator.ServerFaults{})
	load("ending", time.Now().Add(4*time.Second))
	_, before := w.arrived[0].since()
	load("free", time.Now().Add(2*time.Second))
	if _, n := w.arrived[0].since(); n-before < 6*limit {
		t.Errorf("an engine whose limit has ended got %d requests in 2 s", n-before)
	}
}
