package lacebalancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const (
	// horizon is the age at which a load report says nothing more about one server: requests run for a few seconds.
	horizon = 10 * time.Second
	// historyLength bounds the own starts and ends kept per server, enough for 50 requests/s within the horizon.
	historyLength = 1024
	// fresh is the age up to which a report shows where load stands, with a lag of 1 s and a poll each second.
	fresh = 3 * time.Second
	// growth is how far other instances are taken to follow this one since the last report. They get the same kinds of
	// requests and choose by the same rule, but each has its own sample; half served best in docs/routing.md.
	growth = 0.5
	// suspectTime is how long a server that reported impossible counts is used only when no other is open.
	suspectTime = 30 * time.Second
	// restFactor bounds the growth of the rest between failed probes.
	restFactor = 16
)

// Load is what a server reports about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

type change struct {
	at    time.Time
	delta int
}

type server struct {
	id      laceunit.ServerID
	born    int64
	address laceunit.Address
	seed    uint64
	slots   int
	leaving bool
	gone    bool
	pools   []*pool

	local   int
	history []change
	// others is the load that other instances put on the server at the time of the last report.
	others   float64
	reported time.Time
	// then is what this instance had in flight at that time.
	then int

	failures int
	ejected  bool
	probing  bool
	until    time.Time
	rest     time.Duration
	suspect  time.Time
	// pause is nil unless the server has lately asked for one.
	pause *pause
	// pace is nil unless the server has named a limit.
	pace *pace

	held     map[uint64]struct{}
	estimate float64
	salt     uint64
}

func newServer(id laceunit.ServerID) *server {
	return &server{
		id:   id,
		seed: xxhash.Sum64String(string(id)),
	}
}

func (s *server) configure(c laceconfig.Server, leaving bool) {
	s.address, s.born = c.Address, c.Born
	s.leaving = leaving || c.Leaving
	if c.Slots > 0 {
		s.slots = c.Slots
	}
}

func (s *server) birth() birth {
	return birth{
		id:   s.id,
		born: s.born,
	}
}

// Seed implements Candidate.
func (s *server) Seed() uint64 { return s.seed ^ s.salt }

// Load implements Candidate.
func (s *server) Load() float64 { return s.estimate }

// Capacity implements Candidate.
func (s *server) Capacity() float64 { return float64(max(s.slots, 1)) }

// Holds implements Candidate.
func (s *server) HasCached(prefix uint64) bool {
	_, ok := s.held[prefix]
	return ok
}

// count notes the start or the end of an own request.
func (s *server) count(now time.Time, delta int) {
	s.local += delta
	for _, p := range s.pools {
		p.local += delta
	}
	if len(s.history) >= historyLength {
		s.history = append(s.history[:0], s.history[historyLength/2:]...)
	}
	s.history = append(s.history, change{
		at:    now,
		delta: delta,
	})
}

// report takes in a load report that was made at a time; older ones than the last are ignored.
func (s *server) report(load Load, made time.Time) {
	if made.Before(s.reported) {
		return
	}
	own := s.local
	kept := 0
	for _, c := range s.history {
		if c.at.After(made) {
			own -= c.delta
			s.history[kept] = c
			kept++
		}
	}
	s.history = s.history[:kept]
	s.reported = made
	s.then = own
	s.setOthers(float64(max(0, load.Running+load.Waiting-own)))
	if load.Slots > 0 && s.slots == 0 {
		s.slots = load.Slots
	}
}

func (s *server) setOthers(n float64) {
	for _, p := range s.pools {
		p.others += n - s.others
	}
	s.others = n
}

// view holds the means of a pool's servers: what this instance and what the others have in flight at one.
type view struct {
	local, others float64
}

// weigh sets the estimate: what this instance has in flight, plus what others had at the last report, corrected for
// what this one has started and ended there since. As the report ages, it fades into what the others have if they
// prefer the same servers as this instance does.
func (s *server) weigh(now time.Time, v view) {
	trust := 0.0
	if age := now.Sub(s.reported); !s.reported.IsZero() && age < horizon {
		trust = 1 - float64(age)/float64(horizon)
	}
	known := s.others
	if v.local > 0 {
		known = max(0, known+growth*v.others/v.local*float64(s.local-s.then))
	}
	// The half keeps an instance with few requests from taking a server without any for empty.
	unknown := v.others * (float64(s.local) + 0.5) / (v.local + 0.5)
	s.estimate = float64(s.local) + trust*known + (1-trust)*unknown
}

// failed notes a failure and ejects the server after limit failures in a row or after a failed probe.
func (s *server) failed(now time.Time, limit int, rest time.Duration, probe bool) {
	s.failures++
	if s.ejected && !probe {
		return
	}
	if s.failures < limit && !probe {
		return
	}
	if s.ejected {
		s.rest = min(2*s.rest, restFactor*rest)
	} else {
		s.rest = rest
	}
	s.ejected = true
	s.until = now.Add(s.rest)
}

func (s *server) succeeded(probe bool) {
	// A request from before the ejection proves less than a probe.
	if s.ejected && !probe {
		return
	}
	s.failures, s.ejected, s.rest = 0, false, 0
}

// hold notes that the server has or has dropped a prefix, within a bound.
func (s *server) hold(prefix uint64, stored bool, bound int) {
	if !stored {
		delete(s.held, prefix)
		return
	}
	if s.held == nil {
		s.held = map[uint64]struct{}{}
	}
	for p := range s.held {
		if len(s.held) < bound {
			break
		}
		delete(s.held, p)
	}
	s.held[prefix] = struct{}{}
}
