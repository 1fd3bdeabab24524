package laceorder

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Timing holds the time bounds under which orders of different lease holders do not interleave at a server that does
// not check fencing tokens.
type Timing struct {
	// TTL is the time to live of the lease on the platform's clock.
	TTL time.Duration
	// ClockDrift is the maximum rate error of any clock, as a fraction of the elapsed time.
	ClockDrift float64
	// MaxPause is the longest time that the process may be paused between a check and the action that follows it.
	MaxPause time.Duration
	// DeliveryTimeout is the longest time from sending an order until the server has applied it or never will. It is
	// also the timeout of a call; a server abandons a call when its connection closes. It must be less than half of
	// TTL, since renewals wait for a call in flight.
	DeliveryTimeout time.Duration
}

// DefaultTiming returns the default timing of a Service.
func DefaultTiming() Timing {
	return Timing{
		TTL:             10 * time.Second,
		ClockDrift:      0.01,
		MaxPause:        3 * time.Second,
		DeliveryTimeout: 2 * time.Second,
	}
}

// SendWindow returns how long after the start of a renewal request an order may be sent to a server that does not check
// fencing tokens. An order that passes the check leaves the process at most MaxPause later. By then the lease must not
// have expired, even with a fast platform clock and a slow local clock.
func (t Timing) SendWindow() time.Duration {
	window := float64(t.TTL)/(1+t.ClockDrift) - float64(t.MaxPause)
	return max(0, time.Duration(window*(1-t.ClockDrift)))
}

// DrainPeriod returns how long a holder must wait until no order that was sent before can still take effect. It allows
// for a fast local clock.
func (t Timing) DrainPeriod() time.Duration {
	return time.Duration(float64(t.DeliveryTimeout) * (1 + t.ClockDrift))
}

// LeaseState is an instance's local view of the lease. The zero value does not hold the lease.
type LeaseState struct {
	Timing Timing

	// fence is the fencing token; zero means that the lease is not held.
	fence      laceunit.Fence
	acquiredAt time.Time
	// renewedAt is the time at which the last successful acquisition or renewal was requested.
	renewedAt time.Time
}

// MarkAcquired records that the lease's key was written. The lease is assumed to start when it was requested.
func (s *LeaseState) MarkAcquired(requestedAt, now time.Time, fence laceunit.Fence) {
	s.fence, s.acquiredAt, s.renewedAt = fence, now, requestedAt
}

// MarkRenewed records a renewal, given the time before its request was sent.
func (s *LeaseState) MarkRenewed(requestedAt time.Time) {
	if requestedAt.After(s.renewedAt) {
		s.renewedAt = requestedAt
	}
}

// MarkLost records that the lease is lost.
func (s *LeaseState) MarkLost() { s.fence = 0 }

// Fence returns the fencing token; zero means that the lease is not held.
func (s *LeaseState) Fence() laceunit.Fence { return s.fence }

// HoldsLease reports whether the lease may still be held. This is sufficient for servers that check the fencing token:
// if it is wrong, the order is only rejected.
func (s *LeaseState) HoldsLease(now time.Time) bool {
	return s.fence != 0 && now.Before(s.renewedAt.Add(s.Timing.TTL))
}

// MaySend reports whether an order may be sent now; fencing is true if the server checks fencing tokens.
func (s *LeaseState) MaySend(now time.Time, fencing bool) bool {
	if fencing {
		return s.HoldsLease(now)
	}
	return s.Drained(now) && now.Before(s.renewedAt.Add(s.Timing.SendWindow()))
}

// Drained reports whether no order of an earlier holder can still take effect, so that the state of a server without
// fencing can be read.
func (s *LeaseState) Drained(now time.Time) bool {
	return s.HoldsLease(now) && !now.Before(s.acquiredAt.Add(s.Timing.DrainPeriod()))
}
