package lacerouter

import (
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// maxLeaveDelay is the maximum time until a leaving backend server gets no new requests.
const maxLeaveDelay = 3 * time.Second

// Guards against an instance that sends new requests to a backend server more than 3 s after the instance list or the
// document marks the server as leaving, and against aborted requests at a leaving server.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*testCluster, *router){
		"list": func(tc *testCluster, _ *router) {
			entry := tc.instanceList.Visible()[0]
			entry.State = laceemulator.StateLeaving
			tc.instanceList.Set(entry)
		},
		"document": func(tc *testCluster, r *router) {
			conflicts := 0
			tc.editConfiguration(r, "leave", markLeaving, &conflicts)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc := newTestCluster(t)
			routers, _ := tc.startFleet(3)
			wait := openStreams(routers[0], 8, 200)
			_, before := tc.arrivals[0].lastAndCount()
			if before == 0 {
				t.Fatal("no requests at the server before it leaves")
			}
			leave(tc, routers[2])
			at := time.Now()
			var b billingTotals
			var load sync.WaitGroup
			load.Go(func() {
				for time.Since(at) < 2*maxLeaveDelay {
					b.runChats(t, routers, "leave"+time.Since(at).String(), 12, 12, 8)
				}
			})
			for id, c := range wait() {
				if !c.complete || c.text != expectedText(id, 200) {
					t.Errorf("%s: truncated, error %q", id, c.errorText)
				}
			}
			load.Wait()
			if last, n := tc.arrivals[0].lastAndCount(); last.Sub(at) > maxLeaveDelay {
				t.Errorf("new request %v after the server was leaving; %d before, %d in total", last.Sub(at), before, n)
			}
			if last, _ := tc.arrivals[1].lastAndCount(); last.Sub(at) < maxLeaveDelay {
				t.Errorf("no requests at the other server after %v", maxLeaveDelay)
			}
		})
	}
}

// markLeaving marks the first engine of a document as leaving.
func markLeaving(text string) string {
	return strings.Replace(text, "leaving: false", "leaving: true", 1)
}
