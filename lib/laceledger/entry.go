package laceledger

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Entry is one entry of a shard's log.
type Entry struct {
	Sequence laceunit.Sequence
	// Appender and Tag identify the append, so that an appender recognizes its own entry after a lost response.
	Appender laceunit.Holder
	Tag      uint64
	// At is the appender's wall clock in Unix seconds.
	At int64
	// Cutoff is part of the entry because replicas with different retention settings must reach the same state.
	Cutoff  Cutoff
	Records []Record
}

// Cutoff holds, for each retention class, the Unix time in seconds before which ended requests have expired.
type Cutoff struct {
	Idempotent    int64
	NonIdempotent int64
}

func (c Cutoff) forClass(class int) int64 {
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

// Retention holds, for each retention class, how long ended requests are retained.
type Retention struct {
	Idempotent    time.Duration
	NonIdempotent time.Duration
}

// DefaultRetention returns the retention that is documented for callers.
func DefaultRetention() Retention {
	return Retention{
		Idempotent:    time.Hour,
		NonIdempotent: 24 * time.Hour,
	}
}

// Cutoff returns the cutoff at a Unix time in seconds.
func (r Retention) Cutoff(at int64) Cutoff {
	return Cutoff{
		Idempotent:    at - int64(r.Idempotent/time.Second),
		NonIdempotent: at - int64(r.NonIdempotent/time.Second),
	}
}
