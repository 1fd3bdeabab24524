package lacelimit

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// pace measures how much of a link is in use. How long the instance's own calls take is not asked: calls are slow and given up for
// many reasons other than a full link.
type pace struct {
	// use is the part of the link in use at the last look.
	use float64

	at      time.Time
	in, out laceunit.Bytes
}

func (p *pace) observe(now time.Time, rate float64, in, out laceunit.Bytes) {
	if elapsed := now.Sub(p.at).Seconds(); !p.at.IsZero() && elapsed > 0 && rate > 0 {
		p.use = float64(max(in-p.in, out-p.out)) / elapsed / rate
	}
	p.at, p.in, p.out = now, in, out
}
