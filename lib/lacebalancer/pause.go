package lacebalancer

import "time"

const (
	// firstRequests is how many requests a server gets at once when its pause is over. Each answer adds one, so that what
	// waited reaches it no faster than it answers.
	firstRequests = 1
	// fullRequests is the allowance at which a server counts as recovered.
	fullRequests = 32
	// returnShare is the part of a pause over which callers are spread that come back after its end, and leastReturn the
	// least such time.
	returnShare = 4
	leastReturn = 200 * time.Millisecond
)

// pause is what a server has asked for that wants nothing for a time, and how it is given work again afterwards.
type pause struct {
	end time.Time
	// allowance is how many requests may be under way that were sent since the end, running how many are.
	allowance int
	running   int
}

// pauses are those of servers without an entry, which may have lapsed and come back.
type pauses map[birth]*pause

func (p pauses) keep(s *server) {
	// Without the moment of its start a server that comes back can't be told from another one under its id.
	if s.pause != nil && s.born != 0 {
		p[s.birth()] = s.pause
	}
}

// restore gives a server that is back its pause.
func (p pauses) restore(s *server) {
	if x, ok := p[s.birth()]; ok {
		s.pause = x
		delete(p, s.birth())
	}
}

// prune drops pauses that ended long ago, and those that end first beyond a bound.
func (p pauses) prune(now time.Time) {
	for s, x := range p {
		if now.Sub(x.end) >= leftTime {
			delete(p, s)
		}
	}
	for len(p) > leftMost {
		var first birth
		for s, x := range p {
			if f, ok := p[first]; !ok || x.end.Before(f.end) {
				first = s
			}
		}
		delete(p, first)
	}
}

// Pause takes in that the server of a ticket wants nothing for a time. It is no failure: the server keeps its place in
// all other respects. Of several pauses the latest end holds. It reports whether the pause is news.
func (b *Balancer) Pause(now time.Time, ticket Ticket, length time.Duration) (bool, []Decision) {
	f, ok := b.flights[ticket]
	if !ok || length <= 0 {
		return false, nil
	}
	s := b.current(f.server)
	if s.gone {
		b.pauses.restore(s)
	}
	news := !s.pausing(now)
	if s.pause == nil {
		s.pause = &pause{}
	}
	if s.gone {
		b.pauses.keep(s)
	}
	s.pause.allowance = firstRequests
	if end := now.Add(length); end.After(s.pause.end) {
		s.pause.end = end
	}
	return news, b.drainAll(now, s.pools)
}

// Answered notes that the server of a ticket has begun to answer, which is what its allowance after a pause grows with.
func (b *Balancer) ResponseStarted(now time.Time, ticket Ticket) []Decision {
	f, ok := b.flights[ticket]
	if !ok || f.trial == nil || f.answered {
		return nil
	}
	f.answered = true
	b.flights[ticket] = f
	s := b.current(f.server)
	s.grow(now, f.trial)
	return b.drainAll(now, s.pools)
}

// grow raises the allowance after a pause for an answer to a request that was sent since its end. Answers that come during
// a further pause say nothing about the time after it.
func (s *server) grow(now time.Time, trial *pause) {
	if s.pause == nil || s.pause != trial || s.pausing(now) {
		return
	}
	s.pause.allowance++
	if s.pause.allowance >= fullRequests {
		s.pause = nil
	}
}

// Hold tells why a ticket that was given a server must not be sent there any more.
type BlockReason int

// The holds.
const (
	// HoldNone means that the request may be sent.
	BlockNone BlockReason = iota
	// HoldLeaving means that the server leaves or has gone.
	BlockLeaving
	// HoldPausing means that the server wants nothing for a time.
	BlockPaused
	// HoldLimit means that the server has named a limit since it was chosen.
	BlockRateLimited
)

// String returns the hold as metrics have it.
func (h BlockReason) String() string { return [...]string{"", "leaving", "pause", "limit"}[h] }

// Hold tells whether a ticket may still be sent; time passes between the choice of a server and a connection to it.
func (b *Balancer) BlockReason(now time.Time, ticket Ticket) BlockReason {
	f, ok := b.flights[ticket]
	switch {
	case !ok || f.server.leaving || f.server.gone:
		return BlockLeaving
	case f.server.pausing(now):
		return BlockPaused
	case b.current(f.server).pace != nil && !f.paced:
		return BlockRateLimited
	}
	return BlockNone
}

// spread adds to a time after which callers come back, so that they don't come in one moment.
func (b *Balancer) spread(left time.Duration) time.Duration {
	return left + time.Duration(b.random(int(max(left/returnShare, leastReturn))))
}

// pausing reports whether the server wants nothing.
func (s *server) pausing(now time.Time) bool { return s.pause != nil && now.Before(s.pause.end) }

// restrained reports whether the server has as many requests as it may have so soon after a pause.
func (s *server) restrained() bool { return s.pause != nil && s.pause.running >= s.pause.allowance }
