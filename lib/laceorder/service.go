package laceorder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// holderKey names the current lease holder; the key is bound to the lease.
const holderKey laceplatform.Key = "orders/holder"

// Option configures a Service.
type Option func(*Service)

// WithTiming sets the timing.
func WithTiming(timing Timing) Option {
	return func(s *Service) { s.timing = timing }
}

// WithLoadRate sets the rate and burst of loads from the weight store, in the unit of Job.Cost.
func WithLoadRate(perSecond float64, burst int) Option {
	return func(s *Service) { s.loadRate, s.loadBurst = perSecond, burst }
}

// Service sends the orders that were submitted to this instance. It acquires the lease while orders are queued.
type Service struct {
	store     laceplatform.Store
	engines   EngineClient
	holder    laceunit.Holder
	timing    Timing
	loadRate  float64
	loadBurst int

	mu          sync.Mutex
	planner     *Planner
	completions map[completionKey]*completion
	wake        chan struct{}
}

// New returns a Service; Serve runs it.
func New(store laceplatform.Store, engines EngineClient, holder laceunit.Holder, options ...Option) *Service {
	s := &Service{
		store:       store,
		engines:     engines,
		holder:      holder,
		timing:      DefaultTiming(),
		loadBurst:   1,
		completions: map[completionKey]*completion{},
		wake:        make(chan struct{}, 1),
	}
	for _, o := range options {
		o(s)
	}
	s.planner = NewPlanner(s.timing, s.loadRate, s.loadBurst)
	return s
}

// Submit queues an order, to be sent while this instance holds the lease.
func (s *Service) Submit(job Job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeUp()
	return s.planner.Submit(job)
}

// wakeUp ends a sleep.
func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of queued orders.
func (s *Service) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Pending()
}

// Serve runs until the context ends. It requests the lease only while orders are queued and revokes it after the last
// one.
func (s *Service) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.Pending() > 0 {
			s.runTerm(ctx)
		}
		s.sleep(ctx, s.timing.TTL/10)
	}
	return ctx.Err()
}

// runTerm acquires the lease and sends orders until the lease is lost or no order is queued.
func (s *Service) runTerm(ctx context.Context) {
	lease, ok := s.acquire(ctx)
	if !ok {
		return
	}
	renewAt := time.Now().Add(s.timing.TTL / 3)
	for ctx.Err() == nil && s.Pending() > 0 && s.holdsLease() {
		now := time.Now()
		if !now.Before(renewAt) {
			s.renew(ctx, lease)
			renewAt = now.Add(s.timing.TTL / 3)
			continue
		}
		s.mu.Lock()
		a := s.planner.Next(now)
		s.mu.Unlock()
		if a.Step == StepWait {
			s.sleep(ctx, min(a.At.Sub(now), renewAt.Sub(now)))
			continue
		}
		s.execute(ctx, a)
	}
	s.mu.Lock()
	s.planner.MarkLost()
	s.mu.Unlock()
	// All calls have ended by now. Orders with an unknown outcome may still arrive and are still queued, so the lease is
	// revoked only if no order is queued; otherwise it expires.
	if s.Pending() == 0 {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timing.DeliveryTimeout)
		defer cancel()
		_ = s.store.Revoke(callCtx, lease)
	}
}

// acquire tries to acquire the lease once.
func (s *Service) acquire(ctx context.Context) (laceplatform.LeaseID, bool) {
	callCtx, cancel := context.WithTimeout(ctx, s.timing.TTL/2)
	defer cancel()
	// This read avoids lease and key writes by instances that wait while another one holds the lease.
	if _, err := s.store.Get(callCtx, holderKey); !errors.Is(err, laceplatform.ErrMissing) {
		return 0, false
	}
	requestedAt := time.Now()
	lease, err := s.store.Lease(callCtx, s.timing.TTL)
	if err != nil {
		return 0, false
	}
	value := []byte(s.holder.String())
	revision, err := s.store.Swap(callCtx, laceplatform.Swap{
		Key:   holderKey,
		Value: value,
		Lease: lease,
	})
	if errors.Is(err, laceplatform.ErrUnknown) {
		var e laceplatform.Entry
		if e, err = s.store.Get(callCtx, holderKey); err == nil && e.Lease != lease {
			err = laceplatform.ErrConflict
		}
		revision = e.Revision
	}
	if err != nil {
		_ = s.store.Revoke(callCtx, lease)
		return 0, false
	}
	s.mu.Lock()
	s.planner.MarkAcquired(requestedAt, time.Now(), laceunit.Fence(revision))
	s.mu.Unlock()
	return lease, true
}

func (s *Service) renew(ctx context.Context, lease laceplatform.LeaseID) {
	callCtx, cancel := context.WithTimeout(ctx, s.timing.TTL/6)
	defer cancel()
	requestedAt := time.Now()
	err := s.store.Renew(callCtx, lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.planner.MarkRenewed(requestedAt)
	case errors.Is(err, laceplatform.ErrLeaseNotFound):
		s.planner.MarkLost()
	}
}

func (s *Service) holdsLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.HoldsLease(time.Now())
}

// execute reads the engine's state or sends an order, and passes the result to the planner.
func (s *Service) execute(ctx context.Context, a Action) {
	callCtx, cancel := context.WithTimeout(ctx, s.timing.DeliveryTimeout)
	defer cancel()
	id, fence := a.Job.Server, a.Job.Order.Fence
	if a.Step == StepRead {
		state, err := s.engines.ReadState(callCtx, a.Job.Address)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			s.planner.HandleReadFailure(time.Now(), id)
			return
		}
		s.planner.HandleState(id, fence, state)
		s.notifyCompleted()
		return
	}
	outcome, err := s.engines.SendOrder(callCtx, a.Job.Address, a.Job.Order)
	if err == nil {
		outcome = OutcomeApplied
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.HandleOutcome(time.Now(), a.Job, outcome)
	s.notifyCompleted()
}

// sleep waits until the duration has passed, an order was submitted or the context has ended.
func (s *Service) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.wake:
	}
}
