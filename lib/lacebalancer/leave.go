package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// leftTime is how long a mark outlives the entry of its server. A copy can't tell an entry that was removed from one
	// that lapsed in an outage or can't be read for a moment, and such entries come back within seconds.
	leftTime = time.Minute
	// leftMost bounds the marks of servers without an entry; the oldest one goes first.
	leftMost = 1024
)

// birth names one start of a server.
type birth struct {
	id   laceunit.ServerID
	born int64
}

// leavers are the starts of servers that have said that they leave. A server can't take that back: only another start
// under its id is free of the mark.
type leavers struct {
	// marks holds when the entry was first missing; zero while it is listed.
	marks map[birth]time.Time
}

// add marks a start and reports whether it is new.
func (l *leavers) add(s birth) bool {
	if _, ok := l.marks[s]; ok {
		return false
	}
	if l.marks == nil {
		l.marks = map[birth]time.Time{}
	}
	l.marks[s] = time.Time{}
	return true
}

// has reports whether a start is marked.
func (l *leavers) has(s birth) bool {
	_, ok := l.marks[s]
	return ok
}

// prune ends marks whose server has no entry any more. Without the moment of its start a server that comes back can't be
// told from another one under its id, so that its mark ends with the entry.
func (l *leavers) prune(now time.Time, listed func(birth) bool) {
	missing := 0
	for s, since := range l.marks {
		switch {
		case listed(s):
			l.marks[s] = time.Time{}
		case s.born == 0 || !since.IsZero() && now.Sub(since) >= leftTime:
			delete(l.marks, s)
		default:
			if since.IsZero() {
				l.marks[s] = now
			}
			missing++
		}
	}
	for ; missing > leftMost; missing-- {
		l.dropOldest()
	}
}

func (l *leavers) dropOldest() {
	var oldest birth
	var first time.Time
	for s, since := range l.marks {
		if !since.IsZero() && (first.IsZero() || since.Before(first)) {
			oldest, first = s, since
		}
	}
	delete(l.marks, oldest)
}

// Leave takes in that the server of a ticket has said that it leaves. From here on it gets nothing new, whatever its
// entry says; its tickets stay valid. It reports whether this is news.
func (b *Balancer) MarkLeaving(now time.Time, ticket Ticket) (bool, []Decision) {
	f, ok := b.flights[ticket]
	if !ok {
		return false, nil
	}
	s := b.current(f.server)
	s.leaving = true
	return b.leavers.add(s.birth()), b.drainAll(now, s.pools)
}

// current returns a server as it is listed now; its entry may have lapsed and come back since a request was sent.
func (b *Balancer) current(s *server) *server {
	if x := b.servers[s.id]; x != nil && x.born == s.born {
		return x
	}
	return s
}

// Left reports whether a server has said that it leaves.
func (b *Balancer) IsLeaving(id laceunit.ServerID, born int64) bool {
	return b.leavers.has(birth{
		id:   id,
		born: born,
	})
}
