package lacelimit

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// utilization measures how much of a link is in use. It doesn't consider the latency of the instance's own calls, since
// calls are slow or time out for many reasons other than a saturated link.
type utilization struct {
	// fraction is the fraction of the link's rate that was in use between the last two observations.
	fraction float64

	observedAt time.Time
	in, out    laceunit.Bytes
}

func (u *utilization) observe(now time.Time, rate float64, in, out laceunit.Bytes) {
	if elapsed := now.Sub(u.observedAt).Seconds(); !u.observedAt.IsZero() && elapsed > 0 && rate > 0 {
		u.fraction = float64(max(in-u.in, out-u.out)) / elapsed / rate
	}
	u.observedAt, u.in, u.out = now, in, out
}
