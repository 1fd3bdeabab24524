package lacenode

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceunit"
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
			BootID:    boot,
			SinceBoot: time.Duration(t.Nano()),
		}
	}
}

// uptime returns the machine's clock as time since its start; none stands for the steady clock of the process.
func uptime(clock func() lacequota.Instant) func() laceunit.Uptime {
	if clock == nil {
		return nil
	}
	return func() laceunit.Uptime { return laceunit.Uptime(clock().SinceBoot) }
}
