package lacefleet

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// removalStagger is the delay, per rank, between the members that would remove a dead one, so that the write of the
// first makes those of the others unnecessary.
const removalStagger = 500 * time.Millisecond

// recordWatchLoop keeps the membership record current by a watch. Whenever the watch ends, it reads the record again
// before it starts a new one.
func (s *Service) recordWatchLoop(ctx context.Context) {
	s.repeat(ctx, func() error {
		_, revision, err := s.readRecord(ctx)
		if err != nil {
			return err
		}
		return s.consumeWatch(ctx, membersKey, revision, func(e laceplatform.Event) error {
			if e.Entry.Key != membersKey || e.Deleted {
				return nil
			}
			r, err := decodeRecord(e.Entry.Value)
			if err == nil {
				s.handleInput(lacemember.RecordCommitted{Record: r})
			}
			return err
		})
	})
}

// aliveWatchLoop keeps the incarnations in the alive keys current by a list and a watch.
func (s *Service) aliveWatchLoop(ctx context.Context) {
	s.repeat(ctx, func() error {
		listCtx, cancel := context.WithTimeout(ctx, s.settings.TransferTimeout)
		defer cancel()
		list, revision, err := s.store.List(listCtx, alivePrefix)
		if err != nil {
			return err
		}
		s.mu.Lock()
		clear(s.aliveIncarnations)
		for _, e := range list {
			s.updateAlive(e, false)
		}
		s.mu.Unlock()
		return s.consumeWatch(ctx, alivePrefix, revision, func(e laceplatform.Event) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.updateAlive(e.Entry, e.Deleted)
			return nil
		})
	})
}

// updateAlive records the state of an alive key; the lock is held.
func (s *Service) updateAlive(entry laceplatform.Entry, deleted bool) {
	instance := laceunit.InstanceID(strings.TrimPrefix(string(entry.Key), string(alivePrefix)))
	if deleted {
		delete(s.aliveIncarnations, instance)
		return
	}
	s.aliveIncarnations[instance] = incarnationOf(entry)
}

// incarnationOf returns the incarnation in the value of an alive key, or the revision of the write if the value is
// empty.
func incarnationOf(entry laceplatform.Entry) laceunit.Incarnation {
	n, err := strconv.ParseUint(string(entry.Value), 10, 64)
	if err != nil {
		return laceunit.Incarnation(entry.Revision)
	}
	return laceunit.Incarnation(n)
}

// consumeWatch passes the events after a revision to handle until ctx ends, the watch ends or handle fails.
func (s *Service) consumeWatch(
	ctx context.Context,
	prefix laceplatform.Key,
	after laceplatform.Revision,
	handle func(laceplatform.Event) error,
) error {
	w, err := s.store.Watch(ctx, prefix, after)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-w.Events():
			if !ok {
				return w.Err()
			}
			if err := handle(e); err != nil {
				return err
			}
		}
	}
}

// repeat runs a step until ctx ends, with a pause of ProbeInterval (about a second) after each run, which bounds the
// rate of platform calls.
func (s *Service) repeat(ctx context.Context, step func() error) {
	for ctx.Err() == nil {
		// A watch that ends is the first sign of an outage.
		if step() != nil {
			s.SuspectPlatform()
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.settings.ProbeInterval):
		}
	}
}

// removalLoop removes members whose alive key no longer exists.
func (s *Service) removalLoop(ctx context.Context) {
	_ = lacekernel.RunEvery(ctx, removalStagger, func(ctx context.Context) {
		if dead := s.deadMembers(); len(dead) > 0 {
			_ = s.removeMembers(ctx, dead)
		}
	})
}

// deadMembers returns the members whose alive key has been missing for long enough that this instance may remove them.
// The delay grows with the rank of this instance, the number of live members listed before it.
func (s *Service) deadMembers() []laceunit.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	// In an outage all leases may have expired; the members get one time to live to acquire new ones.
	if !s.machine.PlatformReachable() || (s.reachableSince > 0 && now-s.reachableSince < s.settings.LeaseTTL) {
		clear(s.missingSince)
		return nil
	}
	rank := 0
	var dead []laceunit.Holder
	members := s.machine.Record().Members
	for _, m := range members {
		if m.Holder == s.holder {
			break
		}
		if s.aliveIncarnations[m.Holder.Instance] == m.Holder.Incarnation {
			rank++
		}
	}
	for _, m := range members {
		if m.Holder == s.holder || s.aliveIncarnations[m.Holder.Instance] == m.Holder.Incarnation {
			delete(s.missingSince, m.Holder)
			continue
		}
		since, ok := s.missingSince[m.Holder]
		if !ok {
			s.missingSince[m.Holder] = now
			continue
		}
		if now-since >= time.Duration(min(rank, 20))*removalStagger {
			dead = append(dead, m.Holder)
		}
	}
	return dead
}

// removeMembers removes from the record those of the members whose alive key is missing, or is owned by another
// incarnation, when it is read again.
func (s *Service) removeMembers(ctx context.Context, dead []laceunit.Holder) error {
	var confirmed []laceunit.Holder
	for _, h := range dead {
		callCtx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
		e, err := s.store.Get(callCtx, aliveKey(h.Instance))
		cancel()
		if errors.Is(err, laceplatform.ErrMissing) || (err == nil && incarnationOf(e) != h.Incarnation) {
			confirmed = append(confirmed, h)
		} else if err == nil {
			s.mu.Lock()
			s.updateAlive(e, false)
			s.mu.Unlock()
		}
	}
	if len(confirmed) == 0 {
		return nil
	}
	attempts := 0
	err := s.updateRecord(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.machine.Record().Epoch != r.Epoch || !slices.ContainsFunc(confirmed, r.Has) {
			return r, errNoChange
		}
		attempts++
		return s.machine.Remove(confirmed), nil
	})
	s.mu.Lock()
	// The record is certainly unwritten only if this was the only attempt: an earlier write without a response may still
	// take effect.
	notWritten := attempts == 1 && !s.removalUnknown && errors.Is(err, laceplatform.ErrUnavailable)
	s.removalUnknown = attempts > 0 && err != nil && !notWritten
	s.mu.Unlock()
	if notWritten {
		s.handleInput(lacemember.RemovalFailed{})
	}
	return err
}
