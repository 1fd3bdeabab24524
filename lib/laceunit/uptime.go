package laceunit

import "time"

// Uptime is a moment as the time since the machine's start, with the time in which it was suspended. Zero is no moment.
type Uptime time.Duration

// Sub returns the time between two moments.
func (u Uptime) Sub(earlier Uptime) time.Duration { return time.Duration(u - earlier) }

// Add returns the moment a time later.
func (u Uptime) Add(d time.Duration) Uptime { return u + Uptime(d) }
