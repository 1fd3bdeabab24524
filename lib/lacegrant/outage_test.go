package lacegrant

import (
	"testing"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Guards against a grant that is so small at the beginning of a platform outage that it cannot serve a steady request
// rate for five minutes.
func TestOfflineAllowanceCoversOutage(t *testing.T) {
	const (
		ceiling = laceunit.Tokens(100)
		used    = laceunit.Tokens(80)
		outage  = 5 * time.Minute
	)
	w := NewWallet(laceunit.Holder{Instance: "i", Incarnation: 1}, DefaultPolicy(laceunit.ConsistencyAvailable))
	now, available := time.Unix(0, 0), laceunit.Tokens(1_000_000_000)
	shortest := time.Duration(1 << 62)
	for second := range 1200 {
		now = now.Add(time.Second)
		r, ok := w.Reserve(now, testBudget, ceiling)
		if open, needed := w.PrepareOpen(now, testBudget, ceiling, !ok, nil); needed {
			available -= open.Tokens
			w.ApplyOpenVerdict(open, laceledger.Verdict{
				Result:    laceledger.Accepted,
				Granted:   open.Tokens,
				Offline:   open.Offline,
				Available: available,
			})
		}
		if ok {
			w.Settle(r, used)
		}
		if second < 300 {
			continue
		}
		_, offline := w.Available(testBudget)
		shortest = min(shortest, time.Duration(offline/used)*time.Second)
	}
	if shortest < outage {
		t.Errorf("at one request per second the offline allowance lasts only %v in the worst case", shortest)
	}
}
