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
	// maxExcusedHandshakes is the same for handshakes, in which two of 1.5 s may be delayed one after the other.
	maxExcusedHandshakes = 4 * time.Second
	// maxSilentServers bounds the number of tracked silences; time-outs of further ones count against them.
	maxSilentServers = 4096
)

// Values of the metric label for time-outs that are attributed to the instance's own link.
const (
	excusedHandshake = "handshake"
	excusedAnswer    = "answer"
	excusedRepeat    = "repeat"
)

// minExcusedTimeouts is the number of time-outs from which a silent server is blamed, however long it is silent: a server
// that gets few requests may be silent for long with two delayed ones.
const minExcusedTimeouts = 3

// maxExcusedGap is the time without a time-out after which the next one of a server begins a new silence: the server got
// no request in the meantime that it could have answered.
const maxExcusedGap = 4 * time.Second

// silence tracks since when servers have answered nothing while the instance's link was saturated. Handshakes and
// responses count separately, since a server that has failed may still answer handshakes. The zero value is ready to
// use.
type silence struct {
	mu      sync.Mutex
	servers map[silentServer]silentPeriod
}

// silentServer is a server that has not answered handshakes, or not responded.
type silentServer struct {
	server    laceunit.ServerID
	handshake bool
}

type silentPeriod struct {
	since, last time.Time
	timeouts    int
}

// excuses reports whether a time-out of a server that was last heard from at some time is attributed to the link.
func (s *silence) excuses(now time.Time, x silentServer, heard time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.servers[x]
	if !ok && len(s.servers) >= maxSilentServers {
		return false
	}
	if s.servers == nil {
		s.servers = map[silentServer]silentPeriod{}
	}
	if !ok || now.Sub(p.last) > maxExcusedGap {
		p = silentPeriod{since: heard}
	}
	p.last = now
	p.timeouts++
	s.servers[x] = p
	limit := maxExcusedSilence
	if x.handshake {
		limit = maxExcusedHandshakes
	}
	return now.Sub(p.since) < limit || p.timeouts < minExcusedTimeouts
}

// end records that a server has responded.
func (s *silence) end(server laceunit.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, silentServer{server: server})
	delete(s.servers, silentServer{
		server:    server,
		handshake: true,
	})
}

// endHandshake records that a server has answered a handshake, or that a connection to it is open.
func (s *silence) endHandshake(server laceunit.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, silentServer{
		server:    server,
		handshake: true,
	})
}

// excused reports whether the time-out of an attempt is attributed to the instance's own link rather than to the server:
// the link is saturated, and the server has answered other requests lately. Otherwise a saturated link ejects one sound
// server after the other, and what is sent to a second server uses the link twice.
func (r *Relay) excused(j *job, server laceunit.ServerID, heard time.Time, cause string) bool {
	now := time.Now()
	x := silentServer{
		server:    server,
		handshake: cause == excusedHandshake,
	}
	if !r.linkSaturated(now) || !r.silence.excuses(now, x, heard) {
		return false
	}
	r.options.Metrics.countExcused(j, cause)
	return true
}

// linkSaturated reports whether the instance's own link is known to delay packets.
func (r *Relay) linkSaturated(now time.Time) bool {
	return r.options.Link != nil && r.options.Link.Saturated(now)
}
