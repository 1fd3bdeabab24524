package laceledger

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Entry is one element of a shard's log.
type Entry struct {
	Sequence laceunit.Sequence
	// Appender and Tag identify the append, so that an appender recognises its own entry after a lost answer.
	Appender laceunit.Holder
	Tag      uint64
	// At is the appender's wall clock in Unix seconds.
	At int64
	// Forget is part of the entry because instances with other retention settings must reach the same state.
	Cutoff  Cutoff
	Records []Record
}

// Cutoff holds the times, in Unix seconds, before which ended requests are forgotten.
type Cutoff struct {
	Idempotent    int64
	NonIdempotent int64
}

func (c Cutoff) of(class int) int64 {
	if class == classIdempotent {
		return c.Idempotent
	}
	return c.NonIdempotent
}

func (c Cutoff) later(o Cutoff) Cutoff {
	return Cutoff{
		Idempotent:    max(c.Idempotent, o.Idempotent),
		NonIdempotent: max(c.NonIdempotent, o.NonIdempotent),
	}
}

// Retain says how long ended requests are remembered.
type Retention struct {
	Idempotent    time.Duration
	NonIdempotent time.Duration
}

// DefaultRetain returns the windows that the caller page states.
func DefaultRetention() Retention {
	return Retention{
		Idempotent:    time.Hour,
		NonIdempotent: 24 * time.Hour,
	}
}

// Cutoff returns the times before which requests are forgotten at a Unix time.
func (r Retention) Cutoff(at int64) Cutoff {
	return Cutoff{
		Idempotent:    at - int64(r.Idempotent/time.Second),
		NonIdempotent: at - int64(r.NonIdempotent/time.Second),
	}
}
