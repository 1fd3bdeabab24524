package lacelimit

import (
	"slices"
	"time"
)

const (
	// reservationGrace is how late a caller may retry and still find its reservation: a round trip and the scheduling
	// delay on a busy machine.
	reservationGrace = 300 * time.Millisecond
	// maxReservations bounds the number of reservations; further callers get a retry time without a reservation.
	maxReservations = 1024
)

// reservation is capacity reserved for a refused request at the retry time that its caller got.
type reservation struct {
	dueAt time.Time
	key   uint64
	class class
	cost  volume
	// repeated reports whether the request was refused again although it had a reservation.
	repeated bool
}

// reservations are the reservations whose callers may still retry, with statistics on past ones.
type reservations struct {
	pending []reservation
	// reserved is the number of reserved bytes of each class.
	reserved [classCount]volume
	// claimed and expired count the recent reservations whose callers retried and those whose callers did not.
	claimed, expired decayingSum
}

func (r *reservations) add(x reservation) {
	if len(r.pending) < maxReservations {
		r.pending = append(r.pending, x)
		r.release(x, -1)
	}
}

// expire drops the reservations whose callers have not retried in time.
func (r *reservations) expire(now time.Time) {
	r.pending = slices.DeleteFunc(r.pending, func(x reservation) bool {
		expired := now.Sub(x.dueAt) > reservationGrace
		if expired {
			r.release(x, 1)
			r.expired.add(now, 1)
		}
		return expired
	})
}

// findDue returns the index of the reservation of a request whose retry time has come, negative if there is none.
func (r *reservations) findDue(now time.Time, key uint64) int {
	return slices.IndexFunc(r.pending, func(x reservation) bool { return x.key == key && !now.Before(x.dueAt) })
}

// claim drops the reservation at an index, whose caller has retried; a negative index is ignored.
func (r *reservations) claim(now time.Time, i int) {
	if i < 0 {
		return
	}
	r.release(r.pending[i], 1)
	r.pending = slices.Delete(r.pending, i, i+1)
	r.claimed.add(now, 1)
}

// release subtracts the bytes of a reservation, times a factor, from the reserved ones.
func (r *reservations) release(x reservation, factor float64) {
	for d := range directionCount {
		r.reserved[x.class][d] -= factor * x.cost[d]
	}
}

// expectedBytes estimates how many of the bytes that a class and higher ones have reserved will be claimed, by the
// fraction of reservations that were claimed recently.
func (r *reservations) expectedBytes(now time.Time, d direction, c class) float64 {
	sum := 0.0
	for _, bytes := range r.reserved[:c+1] {
		sum += max(bytes[d], 0)
	}
	return sum * r.claimedFraction(now)
}

// claimedFraction returns the fraction of the recent reservations whose callers retried, 1 if there were none.
func (r *reservations) claimedFraction(now time.Time) float64 {
	claimed, expired := r.claimed.value(now), r.expired.value(now)
	return (claimed + 1) / (claimed + expired + 1)
}

// dueBytes returns the reserved bytes of a class and higher ones whose retry time has come, or whose callers were
// refused again at an earlier retry.
func (r *reservations) dueBytes(now time.Time, d direction, c class) float64 {
	sum := 0.0
	for _, x := range r.pending {
		if x.class <= c && (x.repeated || !now.Before(x.dueAt)) {
			sum += x.cost[d]
		}
	}
	return sum
}
