package lacerouter

import (
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// Guards against answers that are passed on as whole though they were late, crossed, cut or of another length, and
// against bills for them, while engines fail in every way, the platform loses answers and a router is killed.
func TestWholeAnswersFromFailingEngines(t *testing.T) {
	t.Parallel()
	const chats, most = 120, 64
	w := newWorld(t)
	w.audit()
	routers, _ := w.fleet(3)
	b := bill{tokens: w.settle().Settled}
	for _, e := range w.engines {
		e.SetFaults(laceemulator.ServerFaults{
			RejectionRate:   0.1,
			DelayRate:       0.1,
			Delay:           300 * time.Millisecond,
			MisrouteRate:    0.1,
			TruncationRate:  0.1,
			LengthErrorRate: 0.1,
		})
	}
	w.platform.SetFaults(laceemulator.PlatformFaults{LossRate: 0.1})
	ended := play([]step{
		{after: 1500 * time.Millisecond, do: func() { w.engines[0].SetFaults(laceemulator.ServerFaults{Down: true}) }},
		{after: 500 * time.Millisecond, do: func() { routers[1].signal(syscall.SIGKILL) }},
		{after: 500 * time.Millisecond, do: func() { w.engines[0].SetFaults(laceemulator.ServerFaults{MisrouteRate: 0.3, LengthErrorRate: 0.3}) }},
	})
	b.load(t, routers, "chat", chats, 12, most)
	<-ended
	w.platform.SetFaults(laceemulator.PlatformFaults{})
	if b.whole != chats {
		t.Errorf("%d of %d chats whole", b.whole, chats)
	}
	w.rest(&b, testPaid)
}
