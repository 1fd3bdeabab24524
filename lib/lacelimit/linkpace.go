package lacelimit

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// slowCall is how long a call to the store takes at most while control has room; the store answers in milliseconds.
	slowCall = 100 * time.Millisecond
	// slowLooks is how many looks in a row have to find slow calls before the rate is lowered.
	slowLooks = 2
	// busyPart is the part of the link that has to be in use for slow calls to mean a full link.
	busyPart = 0.5
	// lowerFactor and raiseStep change the rate for each look; lowering is fast because control waits meanwhile.
	lowerFactor = 0.8
	raiseStep   = 0.02
	// leastPart is the part of the rate that is always admitted.
	leastPart = 0.1
)

// pace lowers the admitted rate while the instance's own calls are slow on a link in use. The configured rate may be more
// than what the link carries.
type pace struct {
	// cut is the part of the rate that is not admitted.
	cut float64
	// use is the part of the link in use at the last look.
	use float64

	at      time.Time
	in, out laceunit.Bytes
	// slow counts the looks in a row with slow calls on a link in use.
	slow int
}

func (p *pace) observe(now time.Time, rate float64, in, out laceunit.Bytes, call time.Duration) {
	elapsed := now.Sub(p.at).Seconds()
	known := !p.at.IsZero() && elapsed > 0 && rate > 0
	if known {
		p.use = float64(max(in-p.in, out-p.out)) / elapsed / rate
	}
	p.at, p.in, p.out = now, in, out
	switch {
	case !known || call <= 0:
		// Nothing is known of the delay.
	case call <= slowCall:
		p.slow = 0
		p.cut = max(p.cut-raiseStep, 0)
	case p.use <= busyPart:
		// The store is slow, not the link.
		p.slow = 0
	default:
		if p.slow++; p.slow >= slowLooks {
			p.cut = min(1-(1-p.cut)*lowerFactor, 1-leastPart)
		}
	}
}
