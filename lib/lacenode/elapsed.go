package lacenode

import (
	"time"

	"lacewingcove/lib/lacequota"
)

// elapsedClock returns a clock that counts from now on with the machine's clock, so that it does not stand still while the
// machine is suspended. Without the machine's clock it is the runtime's.
func elapsedClock(boot func() lacequota.Instant) func() time.Time {
	if boot == nil {
		return time.Now
	}
	base, first := time.Now(), boot()
	return func() time.Time {
		i := boot()
		if i.BootID != first.BootID || i.SinceBoot < first.SinceBoot {
			return time.Now()
		}
		return base.Add(i.SinceBoot - first.SinceBoot)
	}
}
