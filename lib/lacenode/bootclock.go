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

// bootIDFile contains a random ID that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// newBootClock returns the machine's boot clock, which includes suspension and is shared by all processes. The
// monotonic clock of the Go runtime stops during suspension and can't be compared between processes. It returns nil if
// the boot ID can't be read.
func newBootClock(log *lacelog.Logger) func() lacequota.Instant {
	content, err := os.ReadFile(bootIDFile)
	if err != nil {
		log.Error(err, "failed to read the boot ID; tokens of ended processes are not reclaimed")
		return nil
	}
	bootID := strings.TrimSpace(string(content))
	return func() lacequota.Instant {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			log.Error(err, "failed to read the boot clock")
			return lacequota.Instant{}
		}
		return lacequota.Instant{
			BootID:    bootID,
			SinceBoot: time.Duration(t.Nano()),
		}
	}
}

// uptimeClock returns the boot clock as time since boot; nil selects the monotonic clock of the process.
func uptimeClock(bootClock func() lacequota.Instant) func() laceunit.Uptime {
	if bootClock == nil {
		return nil
	}
	return func() laceunit.Uptime { return laceunit.Uptime(bootClock().SinceBoot) }
}
