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
	// alivePrefix is the prefix of the alive keys, one per instance. Each is attached to the lease of the instance.
	alivePrefix laceplatform.Key = "alive/"
	// minLostFailures is the least number of consecutive failed calls before the platform counts as lost.
	minLostFailures = 3
	// retryInterval is the time between platform checks while the platform is failing, and between attempts to join.
	retryInterval = 300 * time.Millisecond
)

// errSuperseded means that a later process of the same instance owns the alive key.
var errSuperseded = errors.New("fleet: a later process owns the alive key")

func aliveKey(instance laceunit.InstanceID) laceplatform.Key {
	return alivePrefix + laceplatform.Key(instance)
}

// joinWithRetry acquires the alive key and joins the membership, retrying both until ctx ends.
func (s *Service) joinWithRetry(ctx context.Context) error {
	for {
		err := s.tryJoin(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "fleet: join")
		case <-time.After(retryInterval):
		}
	}
}

func (s *Service) tryJoin(ctx context.Context) error {
	s.mu.Lock()
	hasIncarnation := !s.holder.IsZero()
	s.mu.Unlock()
	if !hasIncarnation {
		revision, err := s.acquireAliveKey(ctx, 0)
		if err != nil {
			return err
		}
		s.mu.Lock()
		// The incarnation is the revision of the first write, which is unique in the store and higher for later
		// processes. Lease ids guarantee neither.
		s.holder = laceunit.Holder{
			Instance:    s.settings.Instance,
			Incarnation: laceunit.Incarnation(revision),
		}
		s.machine = lacemember.New(s.holder, lacemember.Settings{
			Consistency: s.settings.Consistency,
			Fence:       s.settings.FenceTimeout,
			Retain:      s.settings.Retention,
		})
		s.mu.Unlock()
	}
	member := lacemember.Member{
		Holder:        s.Self(),
		Address:       s.settings.PeerAddress,
		CallerAddress: s.settings.CallerAddress,
		Place:         s.settings.Place,
	}
	return s.updateRecord(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if r.Has(member.Holder) {
			return r, errNoChange
		}
		return r.Join(member), nil
	})
}

// acquireAliveKey writes the alive key under a new lease by compare-and-swap and returns the revision of the write. The
// value is the incarnation, or empty if the revision of the write is to become the incarnation.
func (s *Service) acquireAliveKey(
	ctx context.Context,
	incarnation laceunit.Incarnation,
) (laceplatform.Revision, error) {
	sentAt := s.now()
	callCtx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	lease, err := s.store.Lease(callCtx, s.settings.LeaseTTL)
	if err != nil {
		return 0, errors.Wrap(err, "fleet: create lease")
	}
	key := aliveKey(s.settings.Instance)
	var expected laceplatform.Revision
	switch e, getErr := s.store.Get(callCtx, key); {
	case getErr == nil && incarnation != 0 && incarnationOf(e) > incarnation:
		return 0, errSuperseded
	case getErr == nil:
		expected = e.Revision
	case !errors.Is(getErr, laceplatform.ErrMissing):
		return 0, errors.Wrap(getErr, "fleet: read alive key")
	}
	var value []byte
	if incarnation != 0 {
		value = strconv.AppendUint(nil, uint64(incarnation), 10)
	}
	revision, err := s.store.Swap(callCtx, laceplatform.Swap{
		Key:    key,
		Value:  value,
		Expect: expected,
		Lease:  lease,
	})
	if errors.Is(err, laceplatform.ErrUnknown) {
		e, getErr := s.store.Get(callCtx, key)
		if getErr == nil && e.Lease == lease {
			revision, err = e.Revision, nil
		}
	}
	if err != nil {
		return 0, errors.Wrap(err, "fleet: write alive key")
	}
	s.mu.Lock()
	s.lease, s.leaseExpiry = lease, sentAt+s.settings.LeaseTTL
	s.mu.Unlock()
	return revision, nil
}

// renewLoop renews the lease periodically, and sooner after SuspectPlatform. From the results it decides whether the
// platform is reachable.
func (s *Service) renewLoop(ctx context.Context) {
	var failures int
	var firstFailure time.Duration
	delay := s.settings.RenewInterval
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.platformChecks:
		case <-timer.C:
		}
		timer.Stop()
		sentAt := s.now()
		err := s.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failures = 0
			delay = s.settings.RenewInterval
			s.markReachable()
			continue
		}
		if failures++; failures == 1 {
			firstFailure = sentAt
		}
		delay = retryInterval
		if failures >= minLostFailures && s.now()-firstFailure >= s.settings.LostAfter {
			s.handleInput(lacemember.PlatformLost{})
		}
	}
}

// renew extends the lease. If the lease has expired, it acquires the alive key under a new lease for the same
// incarnation.
func (s *Service) renew(ctx context.Context) error {
	s.mu.Lock()
	lease, holder := s.lease, s.holder
	s.mu.Unlock()
	if lease == 0 {
		return nil
	}
	sentAt := s.now()
	callCtx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	err := s.store.Renew(callCtx, lease)
	if errors.Is(err, laceplatform.ErrLeaseNotFound) {
		_, err = s.acquireAliveKey(ctx, holder.Incarnation)
	}
	if errors.Is(err, errSuperseded) {
		// The record shows, now or soon, that this process was removed.
		_, _, err = s.readRecord(ctx)
		return err
	}
	if err == nil {
		s.mu.Lock()
		s.leaseExpiry = sentAt + s.settings.LeaseTTL
		s.mu.Unlock()
	}
	return err
}

func (s *Service) markReachable() {
	s.mu.Lock()
	if !s.machine.PlatformReachable() {
		s.reachableSince = s.now()
	}
	s.mu.Unlock()
	s.handleInput(lacemember.PlatformRestored{})
}
