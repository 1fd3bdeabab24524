package lacelimit

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// saturatedUse is the measured fraction of the link's rate from which the link counts as saturated: packets then wait
	// behind others for longer than on a link with room.
	saturatedUse = 0.85
	// minObservation is the shortest time over which use is measured. One large message on a link with room, such as a
	// configuration of 90 KB at 10 Mbit/s, does not reach saturatedUse within it.
	minObservation = 200 * time.Millisecond
	// meanUseWeight is the weight of the newest measurement in the moving average of use, which follows within a second.
	meanUseWeight = 0.2
	// observationLifetime is how long a measurement holds. Calls that time out within it were delayed by the use that it
	// measured, as their time limits are shorter.
	observationLifetime = time.Second
)

// direction is one direction of a link.
type direction int

const (
	directionIn direction = iota
	directionOut
	directionCount
)

// volume is a number of bytes in each direction.
type volume [directionCount]float64

// LinkTraffic is the total number of bytes that an instance has transferred, by direction.
type LinkTraffic struct {
	// In and Out include control traffic, ControlIn and ControlOut are that part of them.
	In, Out               laceunit.Bytes
	ControlIn, ControlOut laceunit.Bytes
}

// utilization measures how much of a link is in use. It doesn't consider the latency of the instance's own calls, since
// calls are slow or time out for many reasons other than a saturated link. What arrives is what the link has passed, so
// that a queue at the sending side shows only as use near the link's rate.
type utilization struct {
	// use is the fraction of the link's rate that was in use between the last two observations, control the part of it
	// that was control traffic.
	use, control volume

	// mean is the moving average of use.
	mean volume

	observedAt     time.Time
	last           LinkTraffic
	saturatedUntil time.Time
}

// observe updates the measurement and reports whether a new one was made.
func (u *utilization) observe(now time.Time, rate float64, t LinkTraffic) bool {
	if u.observedAt.IsZero() || rate <= 0 {
		u.observedAt, u.last = now, t
		return false
	}
	elapsed := now.Sub(u.observedAt)
	if elapsed < minObservation {
		return false
	}
	capacity := rate * elapsed.Seconds()
	u.use = volume{float64(t.In-u.last.In) / capacity, float64(t.Out-u.last.Out) / capacity}
	u.control = volume{
		float64(t.ControlIn-u.last.ControlIn) / capacity,
		float64(t.ControlOut-u.last.ControlOut) / capacity,
	}
	for d := range directionCount {
		u.mean[d] += meanUseWeight * (u.use[d] - u.mean[d])
	}
	u.observedAt, u.last = now, t
	if u.fraction() >= saturatedUse {
		u.saturatedUntil = now.Add(observationLifetime)
	}
	return true
}

// fraction returns the use of the busier direction.
func (u *utilization) fraction() float64 { return max(u.use[directionIn], u.use[directionOut]) }
