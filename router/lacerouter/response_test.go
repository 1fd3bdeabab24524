package lacerouter

import (
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// Guards against responses that are delivered as complete, or billed, although they were late, belonged to another
// request, were truncated or had a wrong length, while engines fail in every way, responses of the platform are lost
// and a router is killed.
func TestResponsesOfFailingEnginesAreComplete(t *testing.T) {
	t.Parallel()
	const chats, maxTokens = 120, 64
	tc := newTestCluster(t)
	tc.startLedgerAudit()
	routers, _ := tc.startFleet(3)
	b := billingTotals{tokens: tc.waitUntilSettled().Settled}
	for _, e := range tc.engines {
		e.SetFaults(laceemulator.ServerFaults{
			RejectionRate:   0.1,
			DelayRate:       0.1,
			Delay:           300 * time.Millisecond,
			MisrouteRate:    0.1,
			TruncationRate:  0.1,
			LengthErrorRate: 0.1,
		})
	}
	tc.platform.SetFaults(laceemulator.PlatformFaults{LossRate: 0.1})
	ended := runSchedule([]scheduledFault{
		{
			delay: 1500 * time.Millisecond,
			apply: func() { tc.engines[0].SetFaults(laceemulator.ServerFaults{Down: true}) },
		},
		{delay: 500 * time.Millisecond, apply: func() { routers[1].signal(syscall.SIGKILL) }},
		{delay: 500 * time.Millisecond, apply: func() { tc.engines[0].SetFaults(laceemulator.ServerFaults{MisrouteRate: 0.3, LengthErrorRate: 0.3}) }},
	})
	b.runChats(t, routers, "chat", chats, 12, maxTokens)
	<-ended
	tc.platform.SetFaults(laceemulator.PlatformFaults{})
	if b.completed != chats {
		t.Errorf("%d of %d chats complete", b.completed, chats)
	}
	tc.checkBilling(&b, testPaidTokens)
}
