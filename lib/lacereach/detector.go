package lacereach

import "time"

const (
	// firstProbes is how many servers are probed after a suspicion. If none answers, confirmProbes are probed at once: many
	// servers may have crashed, and others may be well.
	firstProbes   = 2
	confirmProbes = 8
	// confirmInterval is the least time between the first rounds of two suspicions, quietInterval the same while the only
	// evidence is that no server has written anything, which is usual while servers work on few requests.
	confirmInterval = 500 * time.Millisecond
	quietInterval   = time.Second
	// recoveryInterval is the interval of rounds of an isolated instance, recoveryProbes how many servers it probes then.
	recoveryInterval = 500 * time.Millisecond
	recoveryProbes   = 2
	// minAnswers is how many probes must be answered until an isolated instance uses the servers again. It doubles up to
	// maxAnswers with each isolation that begins within flapPeriod after the last one.
	minAnswers = 2
	maxAnswers = 8
	flapPeriod = 10 * time.Second
)

// Round is the result of probes of different servers: how many were answered, refused or reset, or not answered at all.
type Round struct {
	Answered int
	Refused  int
	Silent   int
}

// Detector decides whether an instance is isolated. Evidence from requests only raises a suspicion, which probes of
// several servers confirm or refute. The zero value is ready to use, for an instance that reaches the servers.
type Detector struct {
	isolated bool
	// silent is true if the instance is isolated and no probe was refused.
	silent bool
	// suspectedAt is the time of the first evidence that was not refuted; zero without a suspicion.
	suspectedAt time.Time
	// alone is true while no other instance can help.
	alone bool
	// unanswered is true if the first round of a suspicion was not answered.
	unanswered bool
	// failed is true if a connection has failed; otherwise the servers are only quiet.
	failed bool
	// probing is true during a round, which began at roundAt.
	probing bool
	roundAt time.Time
	// answeredAt is when a server last answered a request on a new connection.
	answeredAt time.Time
	// answers counts the answered probes of an isolated instance, required is how many are needed.
	answers  int
	required int
	leftAt   time.Time
}

// Failed records that a connection to a server could not be opened, or was lost.
func (d *Detector) Failed(now time.Time) {
	d.suspect(now)
	d.failed = true
}

// Quiet records that requests have waited for some time, and that no server has written anything since.
func (d *Detector) Quiet(since time.Time) { d.suspect(since) }

func (d *Detector) suspect(at time.Time) {
	if d.suspectedAt.IsZero() {
		d.suspectedAt = at
	}
}

// Answered records that a server has answered a request on a new connection, which refutes a suspicion. Answers on older
// ones do not, since these may live on while new ones are refused.
func (d *Detector) Answered(now time.Time) {
	d.answeredAt = now
	if !d.isolated && !d.probing {
		d.clear()
	}
}

// Begin returns how many different servers to probe now, given how many are known. Unless that is zero, Finish must
// follow.
func (d *Detector) Begin(now time.Time, servers int) int {
	if servers == 0 || !d.Due(now) {
		return 0
	}
	d.probing, d.roundAt = true, now
	switch {
	case d.isolated:
		return min(recoveryProbes, servers)
	case d.unanswered:
		return min(confirmProbes, servers)
	default:
		return min(firstProbes, servers)
	}
}

// Due reports whether it is time for a round of probes.
func (d *Detector) Due(now time.Time) bool {
	interval := confirmInterval
	switch {
	case d.probing:
		return false
	case d.isolated:
		interval = recoveryInterval
	case d.suspectedAt.IsZero() || d.alone:
		return false
	case d.unanswered:
		return true
	case !d.failed:
		interval = quietInterval
	}
	return d.roundAt.IsZero() || now.Sub(d.roundAt) >= interval
}

// Finish records the result of a round and reports whether it has changed the state.
func (d *Detector) Finish(now time.Time, r Round) bool {
	d.probing = false
	if d.isolated {
		return d.recover(now, r)
	}
	if r.Answered > 0 || !d.answeredAt.Before(d.roundAt) || r.Refused+r.Silent == 0 {
		d.clear()
		return false
	}
	if !d.unanswered {
		d.unanswered = true
		return false
	}
	d.isolated, d.silent, d.answers = true, r.Refused == 0, 0
	if d.required == 0 || now.Sub(d.leftAt) > flapPeriod {
		d.required = minAnswers
	} else {
		d.required = min(2*d.required, maxAnswers)
	}
	return true
}

// recover counts the answers to probes of an isolated instance. A server that has failed meanwhile does not undo the
// answers of others.
func (d *Detector) recover(now time.Time, r Round) bool {
	if r.Answered == 0 {
		d.answers = max(d.answers-1, 0)
		return false
	}
	d.answers++
	if d.answers < d.required && !d.alone {
		return false
	}
	d.isolated, d.silent, d.leftAt = false, false, now
	d.clear()
	return true
}

// clear drops a suspicion.
func (d *Detector) clear() { d.suspectedAt, d.failed, d.unanswered = time.Time{}, false, false }

// SetAlone sets whether no other instance can help. Then the instance does not become isolated, and it leaves the state with
// the first answer.
func (d *Detector) SetAlone(alone bool) { d.alone = alone }

// Isolated reports whether the instance reaches no server.
func (d *Detector) Isolated() bool { return d.isolated }

// Silent reports whether an isolated instance gets no answers at all, so that requests at servers hang too. Otherwise
// connections are refused, and open ones may be in order.
func (d *Detector) Silent() bool { return d.silent }

// Suspected reports whether the instance is isolated, or may be.
func (d *Detector) Suspected() bool { return d.isolated || !d.suspectedAt.IsZero() }

// Since returns the time of the first evidence of the current suspicion or isolation; zero without one.
func (d *Detector) Since() time.Time { return d.suspectedAt }
