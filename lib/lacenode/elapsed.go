package lacenode

import (
	"time"

	"lacewingcove/lib/lacequota"
)

// elapsedClock returns a clock that starts at the current time and advances with the boot clock, so that it includes
// suspension of the machine. If the boot clock is nil or can't be read, it returns the time of the Go runtime.
func elapsedClock(bootClock func() lacequota.Instant) func() time.Time {
	if bootClock == nil {
		return time.Now
	}
	startTime, startInstant := time.Now(), bootClock()
	return func() time.Time {
		instant := bootClock()
		if instant.BootID != startInstant.BootID || instant.SinceBoot < startInstant.SinceBoot {
			return time.Now()
		}
		return startTime.Add(instant.SinceBoot - startInstant.SinceBoot)
	}
}
