package lacenode

import (
	"testing"
	"time"

	"lacewingcove/lib/lacequota"
)

// Guards against a clock that stands still while the machine is suspended, and against one that is useless when the
// machine's clock can't be read.
func TestElapsedClockCountsSuspensions(t *testing.T) {
	machine := lacequota.Instant{
		BootID:    "b1",
		SinceBoot: time.Hour,
	}
	now := elapsedClock(func() lacequota.Instant { return machine })
	began := now()
	machine.SinceBoot += time.Minute
	if d := now().Sub(began); d != time.Minute {
		t.Errorf("%s have passed, not a minute", d)
	}
	machine = lacequota.Instant{}
	if d := time.Since(now()); d < 0 || d > time.Second {
		t.Errorf("without the machine's clock the time is off by %s", d)
	}
	if d := time.Since(elapsedClock(nil)()); d < 0 || d > time.Second {
		t.Errorf("without any clock of the machine the time is off by %s", d)
	}
}
