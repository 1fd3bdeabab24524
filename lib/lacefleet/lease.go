package lacefleet

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	alivePrefix laceplatform.Key = "alive/"
	// lostFailures is the least number of failed calls in a row before the platform counts as lost.
	lostFailures = 3
	// retryEvery is the interval of checks while the platform is failing.
	retryEvery = 300 * time.Millisecond
)

// errSuperseded means that a later process of the same instance has the alive key.
var errSuperseded = errors.New("fleet: a later process has the alive key")

func aliveKey(instance laceunit.InstanceID) laceplatform.Key {
	return alivePrefix + laceplatform.Key(instance)
}

// enter takes the alive key and joins the membership, repeating both until ctx ends.
func (s *Service) enter(ctx context.Context) error {
	for {
		err := s.tryEnter(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "fleet: join")
		case <-time.After(retryEvery):
		}
	}
}

func (s *Service) tryEnter(ctx context.Context) error {
	s.mu.Lock()
	drawn := !s.holder.IsZero()
	s.mu.Unlock()
	if !drawn {
		revision, err := s.takeKey(ctx, 0)
		if err != nil {
			return err
		}
		s.mu.Lock()
		// The revision of the first write is unique in the store and higher for later processes, which lease ids
		// need not be.
		s.holder = laceunit.Holder{
			Instance:    s.settings.Instance,
			Incarnation: laceunit.Incarnation(revision),
		}
		s.machine = lacemember.New(s.holder, lacemember.Settings{
			Lean:   s.settings.Consistency,
			Fence:  s.settings.FenceTimeout,
			Retain: s.settings.Retention,
		})
		s.mu.Unlock()
	}
	member := lacemember.Member{
		Holder:        s.Self(),
		Address:       s.settings.PeerAddress,
		CallerAddress: s.settings.CallerAddress,
		Place:         s.settings.Place,
	}
	return s.change(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if r.Has(member.Holder) {
			return r, errStop
		}
		return r.Join(member), nil
	})
}

// takeKey writes the alive key under a new lease and returns the revision of the write. The value is the incarnation,
// or empty when the revision of the write is the incarnation.
func (s *Service) takeKey(ctx context.Context, incarnation laceunit.Incarnation) (laceplatform.Revision, error) {
	sent := s.now()
	call, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	lease, err := s.store.Lease(call, s.settings.LeaseTTL)
	if err != nil {
		return 0, errors.Wrap(err, "fleet: lease")
	}
	key := aliveKey(s.settings.Instance)
	var expect laceplatform.Revision
	switch e, e2 := s.store.Get(call, key); {
	case e2 == nil && incarnation != 0 && incarnationOf(e) > incarnation:
		return 0, errSuperseded
	case e2 == nil:
		expect = e.Revision
	case !errors.Is(e2, laceplatform.ErrMissing):
		return 0, errors.Wrap(e2, "fleet: read alive key")
	}
	var value []byte
	if incarnation != 0 {
		value = strconv.AppendUint(nil, uint64(incarnation), 10)
	}
	revision, err := s.store.Swap(call, laceplatform.Swap{
		Key:    key,
		Value:  value,
		Expect: expect,
		Lease:  lease,
	})
	if errors.Is(err, laceplatform.ErrUnknown) {
		e, e2 := s.store.Get(call, key)
		if e2 == nil && e.Lease == lease {
			revision, err = e.Revision, nil
		}
	}
	if err != nil {
		return 0, errors.Wrap(err, "fleet: write alive key")
	}
	s.mu.Lock()
	s.lease, s.valid = lease, sent+s.settings.LeaseTTL
	s.mu.Unlock()
	return revision, nil
}

// keep renews the lease and decides whether the platform is within reach.
func (s *Service) keep(ctx context.Context) {
	var failures int
	var first time.Duration
	wait := s.settings.RenewInterval
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.suspect:
		case <-timer.C:
		}
		timer.Stop()
		sent := s.now()
		err := s.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
			wait = s.settings.RenewInterval
			s.back()
			continue
		}
		if failures++; failures == 1 {
			first = sent
		}
		wait = retryEvery
		if failures >= lostFailures && s.now()-first >= s.settings.LostAfter {
			s.run(lacemember.PlatformLost{})
		}
	}
}

// renew extends the lease, or takes a new one for the same incarnation when the old one has ended.
func (s *Service) renew(ctx context.Context) error {
	s.mu.Lock()
	lease, holder := s.lease, s.holder
	s.mu.Unlock()
	if lease == 0 {
		return nil
	}
	sent := s.now()
	call, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	err := s.store.Renew(call, lease)
	if errors.Is(err, laceplatform.ErrLeaseGone) {
		_, err = s.takeKey(ctx, holder.Incarnation)
	}
	if errors.Is(err, errSuperseded) {
		// The record soon tells that this process was removed.
		_, _, err = s.read(ctx)
		return err
	}
	if err == nil {
		s.mu.Lock()
		s.valid = sent + s.settings.LeaseTTL
		s.mu.Unlock()
	}
	return err
}

func (s *Service) back() {
	s.mu.Lock()
	if !s.machine.PlatformReachable() {
		s.contact = s.now()
	}
	s.mu.Unlock()
	s.run(lacemember.PlatformRestored{})
}
