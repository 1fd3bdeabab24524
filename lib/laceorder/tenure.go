package laceorder

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Timing holds the bounds that the rule for servers without fencing rests on.
type Timing struct {
	// TTL is the lease's time to live on the platform's clock.
	TTL time.Duration
	// Drift is how far any clock may run fast or slow, as a share of the time that passes.
	ClockDrift float64
	// Pause is the longest time that the process may stand still between a check and what follows it.
	MaxPause time.Duration
	// Delivery bounds the time from the sending of an order until the server has carried it out or never will. It is
	// also the deadline of a call; a server gives a call up when its connection ends. It must stay below half of TTL,
	// since renewals wait for a call under way.
	DeliveryTimeout time.Duration
}

// DefaultTiming returns the timing that a Service has without options.
func DefaultTiming() Timing {
	return Timing{
		TTL:             10 * time.Second,
		ClockDrift:      0.01,
		MaxPause:        3 * time.Second,
		DeliveryTimeout: 2 * time.Second,
	}
}

// Window returns for how long after the sending of a renewal an order may still be sent to a server that ignores
// fencing tokens. An order that passes the check leaves the process at most Pause later, and by then a fast platform
// clock must not have ended the lease even when the own clock is slow.
func (t Timing) SendWindow() time.Duration {
	left := float64(t.TTL)/(1+t.ClockDrift) - float64(t.MaxPause)
	return max(0, time.Duration(left*(1-t.ClockDrift)))
}

// Quiet returns for how long a holder waits until no order that was sent before can still take effect, on a fast clock.
func (t Timing) DrainPeriod() time.Duration {
	return time.Duration(float64(t.DeliveryTimeout) * (1 + t.ClockDrift))
}

// Tenure is what an instance knows of its hold on the lease; the zero value holds nothing.
type LeaseState struct {
	Timing Timing

	fence   laceunit.Fence
	won     time.Time
	renewed time.Time
}

// Won notes that the lease's key was written. The lease counts from before it was asked for.
func (t *LeaseState) MarkAcquired(asked, now time.Time, fence laceunit.Fence) {
	t.fence, t.won, t.renewed = fence, now, asked
}

// Renewed notes a renewal by the time before it was sent.
func (t *LeaseState) MarkRenewed(sent time.Time) {
	if sent.After(t.renewed) {
		t.renewed = sent
	}
}

// Lost notes that the lease is gone.
func (t *LeaseState) MarkLost() { t.fence = 0 }

// Fence returns the fencing token; zero means that nothing is held.
func (t *LeaseState) Fence() laceunit.Fence { return t.fence }

// Holds reports whether the lease can still be held. It decides for servers that check the token, where a mistake
// costs a refused order.
func (t *LeaseState) HoldsLease(now time.Time) bool {
	return t.fence != 0 && now.Before(t.renewed.Add(t.Timing.TTL))
}

// MaySend reports whether an order may go out now.
func (t *LeaseState) MaySend(now time.Time, fencing bool) bool {
	if fencing {
		return t.HoldsLease(now)
	}
	return t.Drained(now) && now.Before(t.renewed.Add(t.Timing.SendWindow()))
}

// Settled reports whether no order of an earlier holder can still take effect, so that a server without fencing can
// be read back.
func (t *LeaseState) Drained(now time.Time) bool {
	return t.HoldsLease(now) && !now.Before(t.won.Add(t.Timing.DrainPeriod()))
}
