package lacenode

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequota"
)

// bootFile names the time between two starts of the machine.
const bootFile = "/proc/sys/kernel/random/boot_id"

// bootClock returns the machine's clock, which runs on while it is suspended and while no process of it runs. The steady
// clock of the runtime stops in a suspension and says nothing across processes.
func bootClock(log *lacelog.Logger) func() lacequota.Instant {
	text, err := os.ReadFile(bootFile)
	if err != nil {
		log.Fault(err, "the machine's start can't be named; tokens of ended processes stay with them")
		return nil
	}
	boot := strings.TrimSpace(string(text))
	return func() lacequota.Instant {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			log.Fault(err, "the machine's clock can't be read")
			return lacequota.Instant{}
		}
		return lacequota.Instant{
			Boot:  boot,
			Since: time.Duration(t.Nano()),
		}
	}
}

// elapsedClock returns a clock that counts from now on with the machine's clock, so that it does not stand still while the
// machine is suspended. Without the machine's clock it is the runtime's.
func elapsedClock(boot func() lacequota.Instant) func() time.Time {
	if boot == nil {
		return time.Now
	}
	base, first := time.Now(), boot()
	return func() time.Time {
		i := boot()
		if i.Boot != first.Boot || i.Since < first.Since {
			return time.Now()
		}
		return base.Add(i.Since - first.Since)
	}
}
