package lacerelay

import (
	"sync"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// maxExcusedSilence is how long a server may answer nothing at all before its time-outs count against it although
	// the link is saturated. A queue on the link delays answers of all servers for less than that, since callers with a
	// time limit of 1.5 s are gone by then; only a server that has failed is silent for longer.
	maxExcusedSilence = 2 * time.Second
	// maxSilentServers bounds the number of tracked servers; time-outs of further ones count against them.
	maxSilentServers = 4096
)

// Values of the metric label for time-outs that are attributed to the instance's own link.
const (
	excusedHandshake = "handshake"
	excusedAnswer    = "answer"
	excusedRepeat    = "repeat"
)

// silence tracks since when servers have answered nothing while the instance's link was saturated. The zero value is
// ready to use.
type silence struct {
	mu    sync.Mutex
	since map[laceunit.ServerID]time.Time
}

// excuses reports whether a time-out of a server that was last heard from at some time is attributed to the link.
func (s *silence) excuses(now time.Time, server laceunit.ServerID, heard time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[server]
	if !ok {
		if len(s.since) >= maxSilentServers {
			return false
		}
		if s.since == nil {
			s.since = map[laceunit.ServerID]time.Time{}
		}
		since = heard
		s.since[server] = heard
	}
	return now.Sub(since) < maxExcusedSilence
}

// end records that a server has answered.
func (s *silence) end(server laceunit.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, server)
}

// excused reports whether the time-out of an attempt is attributed to the instance's own link rather than to the server:
// the link is saturated, and the server has answered other requests lately. Otherwise a saturated link ejects one sound
// server after the other, and what is sent to a second server uses the link twice.
func (r *Relay) excused(j *job, server laceunit.ServerID, heard time.Time, cause string) bool {
	now := time.Now()
	if r.options.Link == nil || !r.options.Link.Saturated(now) || !r.silence.excuses(now, server, heard) {
		return false
	}
	r.options.Metrics.countExcused(j, cause)
	return true
}
