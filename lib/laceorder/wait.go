package laceorder

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Errors of orders that are waited for.
var (
	// ErrExpired means that the order was withdrawn before it was carried out.
	ErrNotApplied = errors.New("order: not carried out in time")
	// ErrUnknown means that the order may have been carried out.
	ErrUnknown = errors.New("order: outcome unknown")
)

type waitKey struct {
	server laceunit.ServerID
	id     ID
}

// wait is what the callers that wait for one order share.
type wait struct {
	done    chan struct{}
	callers int
}

// Do submits an order with an id and waits until the server has carried it out. When the context of the last caller
// that waits for the id ends, the order is withdrawn.
func (s *Service) Do(ctx context.Context, job Job) error {
	key := waitKey{
		server: job.Server,
		id:     job.ID,
	}
	w, err := s.join(key, job)
	if err != nil {
		return err
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return s.leave(key, w)
	}
}

func (s *Service) join(key waitKey, job Job) (*wait, error) {
	if job.ID == "" {
		return nil, errors.New("order: no id")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.planner.Submit(job); err != nil {
		return nil, err
	}
	w := s.waits[key]
	if w == nil {
		w = &wait{done: make(chan struct{})}
		s.waits[key] = w
	}
	w.callers++
	s.rouse()
	return w, nil
}

func (s *Service) leave(key waitKey, w *wait) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.done:
		return nil
	default:
	}
	if w.callers--; w.callers > 0 {
		return ErrUnknown
	}
	delete(s.waits, key)
	if s.planner.Cancel(key.server, key.id) {
		return ErrUnknown
	}
	return ErrNotApplied
}

// settle ends the waits for orders that the planner has dropped as carried out; the caller holds the mutex.
func (s *Service) settle() {
	for key, w := range s.waits {
		if !s.planner.IsQueued(key.server, key.id) {
			close(w.done)
			delete(s.waits, key)
		}
	}
}
