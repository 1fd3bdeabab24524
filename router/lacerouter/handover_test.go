package lacerouter

import (
	"fmt"
	"syscall"
	"testing"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// Guards against an instance without tokens that refuses work in an outage while another one has some, and against
// handed-over tokens whose spend is lost or billed twice when the giver dies before the platform is back.
func TestTokensAreHandedOverInAnOutage(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	giver, receiver := w.start("router-1"), w.start("router-2")
	w.start("router-3")
	const most = 40
	var billed laceunit.Tokens
	for i := range 4 {
		id := fmt.Sprint("before-", i)
		a := giver.chat(id, most, nil)
		if !a.whole {
			t.Fatalf("%s: %d %s", id, a.status, a.fault)
		}
		billed += a.usage
	}
	for _, g := range w.balance().Grants {
		if g.Holder.Instance != "router-1" {
			t.Fatalf("a grant of %s", g.Holder)
		}
	}
	w.platform.SetFaults(laceemulator.PlatformFaults{Down: true})
	for i := range 3 {
		id := fmt.Sprint("outage-", i)
		// Until the outage is noticed the work is refused as not run.
		var a answer
		w.until(id+" answered", func() bool {
			a = receiver.chat(id, most, nil)
			return a.whole
		})
		if a.text != want(id, most) {
			t.Fatalf("%s: %q", id, a.text)
		}
		billed += a.usage
	}
	giver.signal(syscall.SIGKILL)
	<-giver.ended
	w.platform.SetFaults(laceemulator.PlatformFaults{})
	w.until("the spend of the outage in the ledger", func() bool { return w.balance().Settled >= billed })
	w.until("the grant of the dead giver released", func() bool {
		for _, g := range w.balance().Grants {
			if g.Holder.Instance == "router-1" {
				return false
			}
		}
		return true
	})
	w.settledOnce(billed)
}
