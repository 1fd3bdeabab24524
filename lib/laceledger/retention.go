package laceledger

import (
	"cmp"
	"slices"
)

// Retention classes of ended requests; the two classes have different retention times.
const (
	classIdempotent = iota
	classNonIdempotent
	classCount
)

// RetentionClassCount is the number of retention classes; segments number them from zero.
const RetentionClassCount = classCount

// retentionQueue holds the ended requests of one class, ordered by end time and number.
type retentionQueue struct {
	// next is the number of the next ended request.
	next     uint64
	requests []*request
}

func (q *retentionQueue) push(r *request) {
	r.number = q.next
	q.next++
	q.requests = append(q.requests, r)
}

// from returns the requests with numbers of at least n.
func (q *retentionQueue) from(n uint64) []*request {
	i, _ := slices.BinarySearchFunc(q.requests, n, func(r *request, n uint64) int { return cmp.Compare(r.number, n) })
	return q.requests[i:]
}

// expire removes the requests that ended before the cutoff and calls f for each.
func (q *retentionQueue) expire(cutoff int64, f func(*request)) {
	n := 0
	for n < len(q.requests) && q.requests[n].At < cutoff {
		f(q.requests[n])
		q.requests[n] = nil
		n++
	}
	q.requests = q.requests[n:]
}

// isCurrent reports whether an ended request is still the latest version: it may have been reopened after a void.
func (s *State) isCurrent(r *request) bool {
	return s.requests[r.Request] == r
}

// expireEnded deletes the ended requests whose retention has passed.
func (s *State) expireEnded() {
	for c := range classCount {
		s.ended[c].expire(s.cutoff.forClass(c), func(r *request) {
			if s.isCurrent(r) {
				delete(s.requests, r.Request)
			}
		})
	}
}
