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
	Forget  Cutoff
	Records []Record
}

// Cutoff holds the times, in Unix seconds, before which ended requests are forgotten.
type Cutoff struct {
	Idempotent int64
	Other      int64
}

func (c Cutoff) of(class int) int64 {
	if class == classIdempotent {
		return c.Idempotent
	}
	return c.Other
}

func (c Cutoff) later(o Cutoff) Cutoff {
	return Cutoff{
		Idempotent: max(c.Idempotent, o.Idempotent),
		Other:      max(c.Other, o.Other),
	}
}

// Retain says how long ended requests are remembered.
type Retain struct {
	Idempotent time.Duration
	Other      time.Duration
}

// DefaultRetain returns the windows that the caller page states.
func DefaultRetain() Retain {
	return Retain{
		Idempotent: time.Hour,
		Other:      24 * time.Hour,
	}
}

// Cutoff returns the times before which requests are forgotten at a Unix time.
func (r Retain) Cutoff(at int64) Cutoff {
	return Cutoff{
		Idempotent: at - int64(r.Idempotent/time.Second),
		Other:      at - int64(r.Other/time.Second),
	}
}
