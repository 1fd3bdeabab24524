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

// orderResponse is one response to a caller who placed an order.
type orderResponse struct {
	status int
	body   string
	errorDetail
}

// orderRecorder records the responses to all callers by order.
type orderRecorder struct {
	mu        sync.Mutex
	responses map[string][]orderResponse
}

func (o *orderRecorder) place(r *router, id string) orderResponse {
	status, body := r.placeOrder(id)
	response := orderResponse{
		status:      status,
		body:        body,
		errorDetail: decodeError(body),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.responses == nil {
		o.responses = map[string][]orderResponse{}
	}
	o.responses[id] = append(o.responses[id], response)
	return response
}

// placeAll places the same n orders at every router, rounds times each, all concurrently.
func (o *orderRecorder) placeAll(routers []*router, prefix string, n, rounds int) {
	var workers sync.WaitGroup
	for range rounds {
		for i := range n {
			for _, r := range routers {
				workers.Go(func() { o.place(r, fmt.Sprint(prefix, "-", i)) })
			}
		}
	}
	workers.Wait()
}

// retryAll retries every order until it succeeds; an order with an unknown outcome may succeed without a body.
func (o *orderRecorder) retryAll(t *testing.T, routers []*router) {
	t.Helper()
	var workers sync.WaitGroup
	// The goroutines below modify the map.
	for _, id := range slices.Collect(maps.Keys(o.responses)) {
		workers.Go(func() {
			var last orderResponse
			if !retry(routers, 0, func(r *router) bool {
				last = o.place(r, id)
				return isSuccess(last.status)
			}) {
				t.Errorf("%s: never succeeded, last response %+v", id, last)
			}
		})
	}
	workers.Wait()
}

func isSuccess(status int) bool { return status == http.StatusOK || status == http.StatusNoContent }

// check compares the responses with the runs of the service.
func (o *orderRecorder) check(tc *testCluster) {
	tc.t.Helper()
	runs, logged := tc.orderRuns(), false
	for id, responses := range o.responses {
		var body string
		allNotRun, succeeded := true, false
		for _, c := range responses {
			switch {
			case c.status == http.StatusOK && body != "" && c.body != body:
				tc.t.Errorf("%s: responses %q and %q", id, body, c.body)
			case c.status == http.StatusOK:
				body = c.body
			}
			succeeded = succeeded || isSuccess(c.status)
			allNotRun = allNotRun && c.Outcome == lacefault.NotRun
		}
		switch {
		case runs[id] > 1:
			tc.t.Errorf("%s: ran %d times", id, runs[id])
		case allNotRun && runs[id] > 0:
			tc.t.Errorf("%s: ran, but every response was not_run", id)
		case succeeded && runs[id] == 0:
			tc.t.Errorf("%s: succeeded, but did not run", id)
		}
		if tc.t.Failed() && !logged {
			logged = true
			tc.t.Logf("%s: %d runs, responses %+v", id, runs[id], responses)
		}
	}
}

// startOutage makes the platform fail for all routers and waits until they run orders in outage mode.
func (tc *testCluster) startOutage(routers []*router, probe string) {
	tc.t.Helper()
	tc.platform.SetFaults(laceemulator.PlatformFaults{Down: true})
	i := 0
	tc.waitFor("orders run in the outage", func() bool {
		i++
		status, _ := routers[i%len(routers)].placeOrder(fmt.Sprint(probe, "-", i))
		return status == http.StatusOK
	})
}

// Guards against an order that runs twice when callers retry it at other instances while it still runs, while responses
// to platform writes are lost, the platform is slow, and the instance that runs the order is killed.
func TestRetriedOrdersRunOnce(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	routers, _ := tc.startFleet(3)
	tc.platform.SetFaults(laceemulator.PlatformFaults{LossRate: 0.2, Latency: 20 * time.Millisecond})
	tc.orderService.SetFaults(laceemulator.ServerFaults{Latency: 300 * time.Millisecond})
	var o orderRecorder
	o.placeAll(routers, "running", 8, 2)
	ended := runSchedule([]scheduledFault{{
		delay: 150 * time.Millisecond,
		apply: func() { routers[0].signal(syscall.SIGKILL) },
	}})
	o.placeAll(routers[:1], "killed", 8, 1)
	<-ended
	o.placeAll(routers[1:], "killed", 8, 1)
	tc.platform.SetFaults(laceemulator.PlatformFaults{})
	o.retryAll(t, routers[1:])
	o.check(tc)
	for i := range 8 {
		if n := tc.orderRuns()[fmt.Sprint("killed-", i)]; n != 1 {
			t.Errorf("killed-%d ran %d times", i, n)
		}
	}
}

// Guards against orders that run at two instances, or not at their home instance, while the platform is down for all
// instances, and against orders that run again after the outage, in the next one, or after their home instance was
// killed.
func TestOrdersInOutagesRunOnce(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	routers, _ := tc.startFleet(3)
	var o orderRecorder
	o.placeAll(routers, "before", 6, 1)
	tc.startOutage(routers, "probe")
	o.placeAll(routers, "before", 6, 1)
	o.placeAll(routers, "outage", 12, 2)
	for id, responses := range o.responses {
		if !strings.HasPrefix(id, "outage") {
			continue
		}
		homes := map[string]bool{}
		for _, c := range responses {
			if c.Code == lacefault.WrongInstance {
				homes[c.Instance] = true
			}
		}
		if len(homes) != 1 || homes[""] {
			t.Errorf("%s: redirected to home instances %v", id, homes)
		}
	}
	tc.platform.SetFaults(laceemulator.PlatformFaults{})
	o.retryAll(t, routers)
	tc.startOutage(routers, "again")
	o.placeAll(routers, "outage", 12, 1)
	o.placeAll(routers, "second", 12, 1)
	routers[0].signal(syscall.SIGKILL)
	o.placeAll(routers[1:], "second", 12, 1)
	tc.platform.SetFaults(laceemulator.PlatformFaults{})
	// Only a newer process at the same address proves that the killed home instance has ended; until then its orders
	// are refused.
	routers[0] = tc.restart(routers[0])
	o.retryAll(t, routers)
	o.check(tc)
}

// Guards against orders that run twice when one instance is partitioned from the platform, with and without a partition
// between the instances in one or both directions, and when the platform fails for all instances during such a
// partition.
func TestOrdersInPartitionsRunOnce(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	routers, proxies := tc.startFleet(3)
	partition := func(blocked ...direction) {
		for _, p := range proxies {
			p.setBlocked(blocked...)
		}
	}
	requestsCut := laceemulator.PlatformFaults{
		Partitions: map[string]laceemulator.Partition{"router-1": laceemulator.DropRequests},
	}
	responsesCut := laceemulator.PlatformFaults{
		Partitions: map[string]laceemulator.Partition{"router-1": laceemulator.DropResponses},
	}
	var o orderRecorder
	round := func(name string, f laceemulator.PlatformFaults, blocked ...direction) {
		tc.platform.SetFaults(f)
		partition(blocked...)
		o.placeAll(routers, name, 6, 1)
	}
	round("warm", laceemulator.PlatformFaults{})
	round("partition", laceemulator.PlatformFaults{}, requestDirection, responseDirection)
	round("deafpeers", laceemulator.PlatformFaults{}, responseDirection)
	round("alone", requestsCut)
	round("deaf", responsesCut)
	round("isolated", requestsCut, requestDirection)
	round("down", laceemulator.PlatformFaults{Down: true}, responseDirection)
	round("mixed", responsesCut, responseDirection)
	tc.platform.SetFaults(laceemulator.PlatformFaults{})
	partition()
	o.retryAll(t, routers)
	o.check(tc)
}
