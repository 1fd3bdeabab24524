package lacegrant

import (
	"testing"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Guards against a grant that is so small when a platform outage begins that steady work ends before five minutes.
func TestOfflinePartCoversAnOutage(t *testing.T) {
	const (
		ceiling = laceunit.Tokens(100)
		used    = laceunit.Tokens(80)
		outage  = 5 * time.Minute
	)
	w := NewWallet(laceunit.Holder{Instance: "i", Incarnation: 1}, DefaultPolicy(laceunit.ConsistencyAvailable))
	now, left := time.Unix(0, 0), laceunit.Tokens(1_000_000_000)
	least := time.Duration(1 << 62)
	for second := range 1200 {
		now = now.Add(time.Second)
		r, ok := w.Reserve(now, testBudget, ceiling)
		if open, need := w.PrepareOpen(now, testBudget, ceiling, !ok, nil); need {
			left -= open.Tokens
			w.ApplyOpenVerdict(open, laceledger.Verdict{
				Result:    laceledger.Accepted,
				Granted:   open.Tokens,
				Offline:   open.Offline,
				Available: left,
			})
		}
		if ok {
			w.Settle(r, used)
		}
		if second < 300 {
			continue
		}
		_, offline := w.Available(testBudget)
		least = min(least, time.Duration(offline/used)*time.Second)
	}
	if least < outage {
		t.Errorf("at one request a second the offline part lasts only %v at its smallest", least)
	}
}
