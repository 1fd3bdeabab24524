package lacerouter

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacefault"
)

// orderCall is one answer to a caller who placed an order.
type orderCall struct {
	status int
	body   string
	refusal
}

// orderBook collects the answers of all callers by order.
type orderBook struct {
	mu    sync.Mutex
	calls map[string][]orderCall
}

func (o *orderBook) place(r *router, id string) orderCall {
	status, body := r.order(id)
	c := orderCall{
		status:  status,
		body:    body,
		refusal: refused(body),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[string][]orderCall{}
	}
	o.calls[id] = append(o.calls[id], c)
	return c
}

// placeAll places n orders at every router at once, rounds times.
func (o *orderBook) placeAll(routers []*router, prefix string, n, rounds int) {
	var all sync.WaitGroup
	for range rounds {
		for i := range n {
			for _, r := range routers {
				all.Go(func() { o.place(r, fmt.Sprint(prefix, "-", i)) })
			}
		}
	}
	all.Wait()
}

// finish retries every order until it is answered; those whose outcome stays unknown may end that way.
func (o *orderBook) finish(t *testing.T, routers []*router) {
	t.Helper()
	var all sync.WaitGroup
	// The calls below add to the map.
	for _, id := range slices.Collect(maps.Keys(o.calls)) {
		all.Go(func() {
			var last orderCall
			if !tries(routers, 0, func(r *router) bool {
				last = o.place(r, id)
				return answered(last.status)
			}) {
				t.Errorf("%s: not answered in the end, last %+v", id, last)
			}
		})
	}
	all.Wait()
}

func answered(status int) bool { return status == http.StatusOK || status == http.StatusNoContent }

// check compares the answers with what the service has run.
func (o *orderBook) check(w *world) {
	w.t.Helper()
	runs, logged := w.runs(), false
	for id, calls := range o.calls {
		var body string
		certain, done := true, false
		for _, c := range calls {
			switch {
			case c.status == http.StatusOK && body != "" && c.body != body:
				w.t.Errorf("%s: answered %q and %q", id, body, c.body)
			case c.status == http.StatusOK:
				body = c.body
			}
			done = done || answered(c.status)
			certain = certain && c.Outcome == lacefault.NotRun
		}
		switch {
		case runs[id] > 1:
			w.t.Errorf("%s: ran %d times", id, runs[id])
		case certain && runs[id] > 0:
			w.t.Errorf("%s: ran, but every answer was not_run", id)
		case done && runs[id] == 0:
			w.t.Errorf("%s: answered, but did not run", id)
		}
		if w.t.Failed() && !logged {
			logged = true
			w.t.Logf("%s: %d runs, answers %+v", id, runs[id], calls)
		}
	}
}

// outage takes the platform away from all routers and waits until they work in outage mode.
func (w *world) outage(routers []*router, probe string) {
	w.t.Helper()
	w.platform.SetFaults(laceemulator.PlatformFaults{Down: true})
	i := 0
	w.until("orders run in the outage", func() bool {
		i++
		status, _ := routers[i%len(routers)].order(fmt.Sprint(probe, "-", i))
		return status == http.StatusOK
	})
}

// Guards against an order that runs again when callers retry it at other instances while it still runs, when the
// answers of platform writes are lost, the platform is slow, and its instance is killed.
func TestRetriedOrdersRunOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	routers, _ := w.fleet(3)
	w.platform.SetFaults(laceemulator.PlatformFaults{LossRate: 0.2, Latency: 20 * time.Millisecond})
	w.orders.SetFaults(laceemulator.ServerFaults{Latency: 300 * time.Millisecond})
	var o orderBook
	o.placeAll(routers, "running", 8, 2)
	ended := play([]step{{after: 150 * time.Millisecond, do: func() { routers[0].signal(syscall.SIGKILL) }}})
	o.placeAll(routers[:1], "killed", 8, 1)
	<-ended
	o.placeAll(routers[1:], "killed", 8, 1)
	w.platform.SetFaults(laceemulator.PlatformFaults{})
	o.finish(t, routers[1:])
	o.check(w)
	for i := range 8 {
		if n := w.runs()[fmt.Sprint("killed-", i)]; n != 1 {
			t.Errorf("killed-%d ran %d times", i, n)
		}
	}
}

// Guards against orders that run at two instances, or at another than their home, while the platform is down for all,
// and against orders that run again after the outage, in the next outage, or after their home was killed in it.
func TestOrdersInOutagesRunOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	routers, _ := w.fleet(3)
	var o orderBook
	o.placeAll(routers, "before", 6, 1)
	w.outage(routers, "probe")
	o.placeAll(routers, "before", 6, 1)
	o.placeAll(routers, "outage", 12, 2)
	for id, calls := range o.calls {
		if !strings.HasPrefix(id, "outage") {
			continue
		}
		homes := map[string]bool{}
		for _, c := range calls {
			if c.Code == lacefault.WrongInstance {
				homes[c.Instance] = true
			}
		}
		if len(homes) != 1 || homes[""] {
			t.Errorf("%s: homes named %v", id, homes)
		}
	}
	w.platform.SetFaults(laceemulator.PlatformFaults{})
	o.finish(t, routers)
	w.outage(routers, "again")
	o.placeAll(routers, "outage", 12, 1)
	o.placeAll(routers, "second", 12, 1)
	routers[0].signal(syscall.SIGKILL)
	o.placeAll(routers[1:], "second", 12, 1)
	w.platform.SetFaults(laceemulator.PlatformFaults{})
	// Only a newer process at the same address proves that the killed home is gone; until then its orders are refused.
	routers[0] = w.restart(routers[0])
	o.finish(t, routers)
	o.check(w)
}

// Guards against orders that run twice when one instance is cut off from the platform, with and without a partition
// between the instances in one direction or both, and when the platform fails for all during such a partition.
func TestOrdersInPartitionsRunOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	routers, relays := w.fleet(3)
	partition := func(cut ...direction) {
		for _, r := range relays {
			r.set(cut...)
		}
	}
	alone := laceemulator.PlatformFaults{Partitions: map[string]laceemulator.Partition{"router-1": laceemulator.DropRequests}}
	deaf := laceemulator.PlatformFaults{Partitions: map[string]laceemulator.Partition{"router-1": laceemulator.DropResponses}}
	var o orderBook
	round := func(name string, f laceemulator.PlatformFaults, cut ...direction) {
		w.platform.SetFaults(f)
		partition(cut...)
		o.placeAll(routers, name, 6, 1)
	}
	round("warm", laceemulator.PlatformFaults{})
	round("partition", laceemulator.PlatformFaults{}, requests, answers)
	round("deafpeers", laceemulator.PlatformFaults{}, answers)
	round("alone", alone)
	round("deaf", deaf)
	round("isolated", alone, requests)
	round("down", laceemulator.PlatformFaults{Down: true}, answers)
	round("mixed", deaf, answers)
	w.platform.SetFaults(laceemulator.PlatformFaults{})
	partition()
	o.finish(t, routers)
	o.check(w)
}
