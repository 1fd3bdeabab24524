package laceledger

import (
	"cmp"
	"slices"
)

// Ended requests are retained per class, because the two classes have different windows.
const (
	classIdempotent = iota
	classOther
	classes
)

// Classes is the number of retention classes; segments name them from zero.
const Classes = classes

// queue lists ended requests of one class in the order of their end.
type queue struct {
	next  uint64
	items []item
}

type item struct {
	number  uint64
	request Request
	at      int64
}

func (q *queue) push(id Request, at int64) uint64 {
	n := q.next
	q.next++
	q.items = append(q.items, item{
		number:  n,
		request: id,
		at:      at,
	})
	return n
}

// from returns the items whose numbers are not below n.
func (q *queue) from(n uint64) []item {
	i, _ := slices.BinarySearchFunc(q.items, n, func(it item, n uint64) int { return cmp.Compare(it.number, n) })
	return q.items[i:]
}

// expire removes the items that ended before the cutoff and calls f for each.
func (q *queue) expire(cutoff int64, f func(item)) {
	n := 0
	for n < len(q.items) && q.items[n].at < cutoff {
		f(q.items[n])
		q.items[n] = item{}
		n++
	}
	q.items = q.items[n:]
}

// current returns the request that an item stands for, or nil when it was opened again or forgotten.
func (s *State) current(class int, it item) *request {
	r, ok := s.requests[it.request]
	if !ok || r.Phase == PhaseOpen || r.number != it.number || r.class() != class {
		return nil
	}
	return r
}

// forgetDone drops the requests whose retention window has passed.
func (s *State) forgetDone() {
	for c := range classes {
		s.done[c].expire(s.forget.of(c), func(it item) {
			if s.current(c, it) != nil {
				delete(s.requests, it.request)
			}
		})
	}
}
