package laceorder

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Errors of Service.Do.
var (
	// ErrNotApplied means that the order was canceled before it was applied.
	ErrNotApplied = errors.New("order: not carried out in time")
	// ErrUnknown means that the order may have been applied.
	ErrUnknown = errors.New("order: outcome unknown")
)

type completionKey struct {
	server laceunit.ServerID
	id     ID
}

// completion is shared by all callers that wait for the same order. done is closed when the order was applied.
type completion struct {
	done    chan struct{}
	callers int
}

// Do submits an order with an id and waits until the server has applied it. When the context of the last caller that
// waits for this order ends, the order is canceled.
func (s *Service) Do(ctx context.Context, job Job) error {
	key := completionKey{
		server: job.Server,
		id:     job.ID,
	}
	c, err := s.addCaller(key, job)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return s.removeCaller(key, c)
	}
}

// addCaller submits the order and registers a caller that waits for it.
func (s *Service) addCaller(key completionKey, job Job) (*completion, error) {
	if job.ID == "" {
		return nil, errors.New("order: no id")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.planner.Submit(job); err != nil {
		return nil, err
	}
	c := s.completions[key]
	if c == nil {
		c = &completion{done: make(chan struct{})}
		s.completions[key] = c
	}
	c.callers++
	s.wakeUp()
	return c, nil
}

// removeCaller unregisters a caller whose context has ended; the last one cancels the order.
func (s *Service) removeCaller(key completionKey, c *completion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-c.done:
		return nil
	default:
	}
	if c.callers--; c.callers > 0 {
		return ErrUnknown
	}
	delete(s.completions, key)
	if s.planner.Cancel(key.server, key.id) {
		return ErrUnknown
	}
	return ErrNotApplied
}

// notifyCompleted wakes the callers of the orders that the planner has removed as applied. The mutex must be held.
func (s *Service) notifyCompleted() {
	for key, c := range s.completions {
		if !s.planner.IsQueued(key.server, key.id) {
			close(c.done)
			delete(s.completions, key)
		}
	}
}
