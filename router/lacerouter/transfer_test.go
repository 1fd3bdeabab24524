package lacerouter

import (
	"fmt"
	"syscall"
	"testing"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// Guards against an instance without tokens that refuses work in an outage although another one has tokens, and against
// transferred tokens whose spend is lost or billed twice when the donor is killed before the platform recovers.
func TestTokensAreTransferredInOutage(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	donor, receiver := tc.start("router-1"), tc.start("router-2")
	tc.start("router-3")
	const maxTokens = 40
	var billed laceunit.Tokens
	for i := range 4 {
		id := fmt.Sprint("before-", i)
		c := donor.chat(id, maxTokens, nil)
		if !c.complete {
			t.Fatalf("%s: %d %s", id, c.status, c.errorText)
		}
		billed += c.usage
	}
	for _, g := range tc.balance().Grants {
		if g.Holder.Instance != "router-1" {
			t.Fatalf("a grant of %s", g.Holder)
		}
	}
	tc.platform.SetFaults(laceemulator.PlatformFaults{Down: true})
	for i := range 3 {
		id := fmt.Sprint("outage-", i)
		// Until the outage is detected, the request is refused as not run.
		var c chatResponse
		tc.waitFor(id+" answered", func() bool {
			c = receiver.chat(id, maxTokens, nil)
			return c.complete
		})
		if c.text != expectedText(id, maxTokens) {
			t.Fatalf("%s: %q", id, c.text)
		}
		billed += c.usage
	}
	donor.signal(syscall.SIGKILL)
	<-donor.exited
	tc.platform.SetFaults(laceemulator.PlatformFaults{})
	tc.waitFor("the spend of the outage in the ledger", func() bool { return tc.balance().Settled >= billed })
	tc.waitFor("the grant of the killed donor released", func() bool {
		for _, g := range tc.balance().Grants {
			if g.Holder.Instance == "router-1" {
				return false
			}
		}
		return true
	})
	tc.checkBilledOnce(billed)
}
