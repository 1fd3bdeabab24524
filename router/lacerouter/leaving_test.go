package lacerouter

import (
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// leaveWithin is the time after which a leaving backend server gets no new work.
const leaveWithin = 3 * time.Second

// Guards against work that is sent to a backend server more than 3 s after the instance list or the document says that
// it is leaving, on any instance, and against a leaving server whose requests are cut.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*world, *router){
		"list": func(w *world, _ *router) {
			entry := w.list.Visible()[0]
			entry.State = laceemulator.StateLeaving
			w.list.Set(entry)
		},
		"document": func(w *world, r *router) {
			conflicts := 0
			w.edit(r, "leave", leaving, &conflicts)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			routers, _ := w.fleet(3)
			wait := streams(routers[0], 8, 200)
			_, before := w.arrived[0].since()
			if before == 0 {
				t.Fatal("no work at the server before it leaves")
			}
			leave(w, routers[2])
			at := time.Now()
			var b bill
			var load sync.WaitGroup
			load.Go(func() {
				for time.Since(at) < 2*leaveWithin {
					b.load(t, routers, "leave"+time.Since(at).String(), 12, 12, 8)
				}
			})
			for id, a := range wait() {
				if !a.whole || a.text != want(id, 200) {
					t.Errorf("%s: cut, fault %q", id, a.fault)
				}
			}
			load.Wait()
			if last, n := w.arrived[0].since(); last.Sub(at) > leaveWithin {
				t.Errorf("new work %v after the server was leaving; %d before, %d in all", last.Sub(at), before, n)
			}
			if last, _ := w.arrived[1].since(); last.Sub(at) < leaveWithin {
				t.Errorf("no work at the other server after %v", leaveWithin)
			}
		})
	}
}

// leaving marks the first engine of a document as leaving.
func leaving(text string) string {
	return strings.Replace(text, "leaving: false", "leaving: true", 1)
}
