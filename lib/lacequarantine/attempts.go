package lacequarantine

// attemptSet holds the requests that wait for their answers. The zero value is empty.
type attemptSet struct {
	last    uint64
	waiting map[uint64]waitingAttempt
}

type waitingAttempt struct {
	parts []Part
	abort func()
}

// add adds a request and returns its id in the set.
func (s *attemptSet) add(parts []Part, abort func()) uint64 {
	if s.waiting == nil {
		s.waiting = map[uint64]waitingAttempt{}
	}
	s.last++
	s.waiting[s.last] = waitingAttempt{
		parts: parts,
		abort: abort,
	}
	return s.last
}

func (s *attemptSet) remove(id uint64) { delete(s.waiting, id) }

// abort aborts the requests with all parts of a combination. The functions must not block or call the set.
func (s *attemptSet) abort(combination []Part) {
	for _, a := range s.waiting {
		if containsAll(a.parts, combination) {
			a.abort()
		}
	}
}
