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
const RetentionClassCount = classes

// queue lists ended requests of one class in the order of their end, which is also that of their numbers.
type queue struct {
	next  uint64
	ended []*request
}

func (q *queue) push(r *request) {
	r.number = q.next
	q.next++
	q.ended = append(q.ended, r)
}

// from returns the requests whose numbers are not below n.
func (q *queue) from(n uint64) []*request {
	i, _ := slices.BinarySearchFunc(q.ended, n, func(r *request, n uint64) int { return cmp.Compare(r.number, n) })
	return q.ended[i:]
}

// expire removes the requests that ended before the cutoff and calls f for each.
func (q *queue) expire(cutoff int64, f func(*request)) {
	n := 0
	for n < len(q.ended) && q.ended[n].At < cutoff {
		f(q.ended[n])
		q.ended[n] = nil
		n++
	}
	q.ended = q.ended[n:]
}

// current reports whether an ended request still stands: it may have been opened again after a void.
func (s *State) current(r *request) bool {
	return s.requests[r.Request] == r
}

// forgetDone drops the requests whose retention window has passed.
func (s *State) forgetDone() {
	for c := range classes {
		s.done[c].expire(s.forget.of(c), func(r *request) {
			if s.current(r) {
				delete(s.requests, r.Request)
			}
		})
	}
}
