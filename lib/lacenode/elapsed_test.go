package lacenode

import (
	"testing"
	"time"

	"lacewingcove/lib/lacequota"
)

// Guards against a clock that stops while the machine is suspended, and against one that is wrong when the boot clock
// can't be read.
func TestElapsedClockCountsSuspensions(t *testing.T) {
	bootInstant := lacequota.Instant{
		BootID:    "b1",
		SinceBoot: time.Hour,
	}
	now := elapsedClock(func() lacequota.Instant { return bootInstant })
	start := now()
	bootInstant.SinceBoot += time.Minute
	if d := now().Sub(start); d != time.Minute {
		t.Errorf("elapsed time is %s, want 1m", d)
	}
	bootInstant = lacequota.Instant{}
	if d := time.Since(now()); d < 0 || d > time.Second {
		t.Errorf("with an unreadable boot clock the time is off by %s", d)
	}
	if d := time.Since(elapsedClock(nil)()); d < 0 || d > time.Second {
		t.Errorf("without a boot clock the time is off by %s", d)
	}
}
