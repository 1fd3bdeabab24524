package laceorder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// holderKey is the key that the holder of the right to send orders keeps under its lease.
const holderKey laceplatform.Key = "orders/holder"

// Option changes a service at construction.
type Option func(*Service)

// WithTiming sets the timing.
func WithTiming(timing Timing) Option {
	return func(s *Service) { s.timing = timing }
}

// WithWeights sets the weight store's rate and burst, in the unit of Job.Cost.
func WithLoadRate(perSecond float64, burst int) Option {
	return func(s *Service) { s.perSecond, s.burst = perSecond, burst }
}

// Service takes its turn as the holder and sends the orders that were submitted to this instance.
type Service struct {
	store     laceplatform.Store
	commander EngineClient
	holder    laceunit.Holder
	timing    Timing
	perSecond float64
	burst     int

	mu      sync.Mutex
	planner *Planner
	waits   map[waitKey]*wait
	wake    chan struct{}
}

// New returns a service; Serve runs it.
func New(store laceplatform.Store, commander EngineClient, holder laceunit.Holder, options ...Option) *Service {
	s := &Service{
		store:     store,
		commander: commander,
		holder:    holder,
		timing:    DefaultTiming(),
		burst:     1,
		waits:     map[waitKey]*wait{},
		wake:      make(chan struct{}, 1),
	}
	for _, o := range options {
		o(s)
	}
	s.planner = NewPlanner(s.timing, s.perSecond, s.burst)
	return s
}

// Submit adds an order; it is sent while this instance is the holder.
func (s *Service) Submit(job Job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rouse()
	return s.planner.Submit(job)
}

// rouse ends a rest.
func (s *Service) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Pending returns how many orders wait.
func (s *Service) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Pending()
}

// Serve runs until the context ends. It asks for the lease only while orders wait, and gives it back after the last.
func (s *Service) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.Pending() > 0 {
			s.serve(ctx)
		}
		s.rest(ctx, s.timing.TTL/10)
	}
	return ctx.Err()
}

// serve is one tenure, from the lease to its loss or the last order.
func (s *Service) serve(ctx context.Context) {
	lease, ok := s.acquire(ctx)
	if !ok {
		return
	}
	next := time.Now().Add(s.timing.TTL / 3)
	for ctx.Err() == nil && s.Pending() > 0 && s.held() {
		now := time.Now()
		if !now.Before(next) {
			s.renew(ctx, lease)
			next = now.Add(s.timing.TTL / 3)
			continue
		}
		s.mu.Lock()
		a := s.planner.Next(now)
		s.mu.Unlock()
		if a.Step == StepWait {
			s.rest(ctx, min(a.At.Sub(now), next.Sub(now)))
			continue
		}
		s.act(ctx, a)
	}
	s.mu.Lock()
	s.planner.MarkLost()
	s.mu.Unlock()
	// The orders have all been answered or given up by now, except unknown ones; those may still arrive, so the lease
	// is left to lapse unless nothing waits.
	if s.Pending() == 0 {
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timing.DeliveryTimeout)
		defer cancel()
		_ = s.store.Revoke(inner, lease)
	}
}

func (s *Service) acquire(ctx context.Context) (laceplatform.LeaseID, bool) {
	inner, cancel := context.WithTimeout(ctx, s.timing.TTL/2)
	defer cancel()
	// A look before the writes keeps waiting instances to one read each.
	if _, err := s.store.Get(inner, holderKey); !errors.Is(err, laceplatform.ErrMissing) {
		return 0, false
	}
	asked := time.Now()
	lease, err := s.store.Lease(inner, s.timing.TTL)
	if err != nil {
		return 0, false
	}
	value := []byte(s.holder.String())
	revision, err := s.store.Swap(inner, laceplatform.Swap{
		Key:   holderKey,
		Value: value,
		Lease: lease,
	})
	if errors.Is(err, laceplatform.ErrUnknown) {
		var e laceplatform.Entry
		if e, err = s.store.Get(inner, holderKey); err == nil && e.Lease != lease {
			err = laceplatform.ErrConflict
		}
		revision = e.Revision
	}
	if err != nil {
		_ = s.store.Revoke(inner, lease)
		return 0, false
	}
	s.mu.Lock()
	s.planner.MarkAcquired(asked, time.Now(), laceunit.Fence(revision))
	s.mu.Unlock()
	return lease, true
}

func (s *Service) renew(ctx context.Context, lease laceplatform.LeaseID) {
	inner, cancel := context.WithTimeout(ctx, s.timing.TTL/6)
	defer cancel()
	sent := time.Now()
	err := s.store.Renew(inner, lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.planner.MarkRenewed(sent)
	case errors.Is(err, laceplatform.ErrLeaseGone):
		s.planner.MarkLost()
	}
}

func (s *Service) held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.HoldsLease(time.Now())
}

func (s *Service) act(ctx context.Context, a Action) {
	inner, cancel := context.WithTimeout(ctx, s.timing.DeliveryTimeout)
	defer cancel()
	id, fence := a.Job.Server, a.Job.Order.Fence
	if a.Step == StepRead {
		c, err := s.commander.ReadState(inner, a.Job.Address)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.planner.HandleReadFailure(time.Now(), id)
			return
		}
		s.planner.HandleState(id, fence, c)
		s.settle()
		return
	}
	outcome, err := s.commander.SendOrder(inner, a.Job.Address, a.Job.Order)
	if err == nil {
		outcome = OutcomeApplied
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.HandleOutcome(time.Now(), a.Job, outcome)
	s.settle()
}

// rest waits for a time, a new order or the end of the context.
func (s *Service) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.wake:
	}
}
