package lacerouter

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// Guards against a planned stop that cuts streams or orders, loses bills or leaves grants behind when it happens under
// load while the platform is slow and loses answers.
func TestStopUnderLoadOnSlowPlatform(t *testing.T) {
	t.Parallel()
	const n, most = 8, 200
	w := newWorld(t)
	w.audit()
	routers, _ := w.fleet(2)
	first, second := routers[0], routers[1]
	b := bill{tokens: w.settle().Settled}
	w.platform.SetFaults(laceemulator.PlatformFaults{Latency: 500 * time.Millisecond, LossRate: 0.1})
	wait := streams(first, n, most)
	var o orderBook
	var load sync.WaitGroup
	load.Go(func() { b.load(t, routers, "load", 16, 8, 16) })
	load.Go(func() { o.placeAll(routers, "stop", 3, 1) })
	first.signal(syscall.SIGTERM)
	for id, a := range wait() {
		if !a.whole || a.text != want(id, most) {
			t.Errorf("%s: cut, fault %q", id, a.fault)
		}
		b.mu.Lock()
		b.tokens += a.usage
		b.mu.Unlock()
	}
	load.Wait()
	<-first.ended
	if code := first.process.ProcessState.ExitCode(); code != exitOK {
		t.Errorf("exit code %d", code)
	}
	w.platform.SetFaults(laceemulator.PlatformFaults{})
	o.finish(t, []*router{second})
	o.check(w)
	const price = 20
	for id, runs := range w.runs() {
		if _, ok := o.calls[id]; ok && runs > 0 {
			b.tokens += price
		}
	}
	w.rest(&b, testPaid)
	for _, g := range w.balance().Grants {
		if g.Holder.Instance == laceunit.InstanceID(first.name) && g.Tokens > 0 {
			t.Errorf("grant left behind: %+v", g)
		}
	}
}
