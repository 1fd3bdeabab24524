package lacerelay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
)

// errStopping means that a request was ended because the instance stops.
var errStopping = errors.New("relay: instance is stopping")

// shutdown ends the requests of an instance that stops. One that waits for its body or for a server may be sent only if it
// ends before the instance does; it is refused otherwise, since it would be cut, and its caller can use another instance.
// The zero value is ready to use.
type shutdown struct {
	mu sync.Mutex
	// end is when running requests are aborted; zero until the instance stops.
	end  time.Time
	jobs map[*job]context.CancelCauseFunc
}

// track registers a request that cancel ends; stop ends that.
func (s *shutdown) track(j *job, cancel context.CancelCauseFunc) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs == nil {
		s.jobs = map[*job]context.CancelCauseFunc{}
	}
	s.jobs[j] = cancel
	if s.refusesLocked(j) {
		cancel(errStopping)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.jobs, j)
	}
}

// start refuses the requests that have not been sent and may not end before a time.
func (s *shutdown) start(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
	for j, cancel := range s.jobs {
		if s.refusesLocked(j) {
			cancel(errStopping)
		}
	}
}

// abort ends all requests.
func (s *shutdown) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.jobs {
		cancel(errStopping)
	}
}

// beginSend reports whether a request may be sent to a server, and records that it is being sent.
func (s *shutdown) beginSend(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.sending = !s.refusesLocked(j)
	return j.sending
}

// endSend records that a request is not at a server any more. One whose response has begun still counts as sent: it can't
// be refused, and a stream may be resumed until the instance ends.
func (s *shutdown) endSend(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.sending = !j.response.startedAt.IsZero()
}

// refuses reports whether a request must not be sent because the instance stops.
func (s *shutdown) refuses(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusesLocked(j)
}

func (s *shutdown) refusesLocked(j *job) bool {
	return !j.sending && !s.end.IsZero() && j.deadline.After(s.end)
}

// stoppingFault returns the error of a request that is ended because the instance stops. If it has been sent, it may have
// run.
func stoppingFault(j *job) *lacefault.Fault {
	if j.history.mayHaveRun {
		return &lacefault.Fault{
			Outcome: lacefault.Unknown,
			Code:    lacefault.BackendServerFailed,
			Message: "instance has stopped before the answer",
		}
	}
	return newRefusal(lacefault.Draining, "instance is stopping", drainingRetryAfter)
}
