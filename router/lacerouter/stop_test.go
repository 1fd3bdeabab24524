package lacerouter

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// Guards against a graceful shutdown that truncates streams, interrupts orders, does not bill them or does not return
// grants when it happens under load while the platform is slow and its responses are lost.
func TestStopUnderLoadOnSlowPlatform(t *testing.T) {
	t.Parallel()
	const n, maxTokens = 8, 200
	tc := newTestCluster(t)
	tc.startLedgerAudit()
	routers, _ := tc.startFleet(2)
	first, second := routers[0], routers[1]
	b := billingTotals{tokens: tc.waitUntilSettled().Settled}
	tc.platform.SetFaults(laceemulator.PlatformFaults{Latency: 500 * time.Millisecond, LossRate: 0.1})
	wait := openStreams(first, n, maxTokens)
	var o orderRecorder
	var load sync.WaitGroup
	load.Go(func() { b.runChats(t, routers, "load", 16, 8, 16) })
	load.Go(func() { o.placeAll(routers, "stop", 3, 1) })
	first.signal(syscall.SIGTERM)
	for id, c := range wait() {
		if !c.complete || c.text != expectedText(id, maxTokens) {
			t.Errorf("%s: truncated, error %q", id, c.errorText)
		}
		b.mu.Lock()
		b.tokens += c.usage
		b.mu.Unlock()
	}
	load.Wait()
	<-first.exited
	if code := first.cmd.ProcessState.ExitCode(); code != exitOK {
		t.Errorf("exit code %d", code)
	}
	tc.platform.SetFaults(laceemulator.PlatformFaults{})
	o.retryAll(t, []*router{second})
	o.check(tc)
	const price = 20
	for id, runs := range tc.orderRuns() {
		if _, ok := o.responses[id]; ok && runs > 0 {
			b.tokens += price
		}
	}
	tc.checkBilling(&b, testPaidTokens)
	for _, g := range tc.balance().Grants {
		if g.Holder.Instance == laceunit.InstanceID(first.name) && g.Tokens > 0 {
			t.Errorf("grant not returned: %+v", g)
		}
	}
}
