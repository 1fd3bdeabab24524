package laceunit

import "time"

// Uptime is a point in time, given as the time since the machine booted, including suspension. Zero means unset.
type Uptime time.Duration

// Sub returns the time from earlier to u.
func (u Uptime) Sub(earlier Uptime) time.Duration { return time.Duration(u - earlier) }

// Add returns the point in time d after u.
func (u Uptime) Add(d time.Duration) Uptime { return u + Uptime(d) }
