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

// rankDelay staggers the members that remove a dead one, so that the first one's write spares the others theirs.
const rankDelay = 500 * time.Millisecond

// follow keeps the record current by a watch; it reads the record again each time the watch has to be renewed.
func (s *Service) follow(ctx context.Context) {
	s.repeat(ctx, func() error {
		_, revision, err := s.read(ctx)
		if err != nil {
			return err
		}
		return s.watch(ctx, membersKey, revision, func(e laceplatform.Event) error {
			if e.Entry.Key != membersKey || e.Deleted {
				return nil
			}
			r, err := decode(e.Entry.Value)
			if err == nil {
				s.run(lacemember.RecordCommitted{Record: r})
			}
			return err
		})
	})
}

// followAlive keeps the view of the alive keys current.
func (s *Service) followAlive(ctx context.Context) {
	s.repeat(ctx, func() error {
		call, cancel := context.WithTimeout(ctx, s.settings.TransferTimeout)
		defer cancel()
		list, revision, err := s.store.List(call, alivePrefix)
		if err != nil {
			return err
		}
		s.mu.Lock()
		clear(s.alive)
		for _, e := range list {
			s.see(e, false)
		}
		s.mu.Unlock()
		return s.watch(ctx, alivePrefix, revision, func(e laceplatform.Event) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.see(e.Entry, e.Deleted)
			return nil
		})
	})
}

// see notes the state of an alive key; the lock is held.
func (s *Service) see(entry laceplatform.Entry, deleted bool) {
	instance := laceunit.InstanceID(strings.TrimPrefix(string(entry.Key), string(alivePrefix)))
	if deleted {
		delete(s.alive, instance)
		return
	}
	s.alive[instance] = incarnationOf(entry)
}

func incarnationOf(entry laceplatform.Entry) laceunit.Incarnation {
	n, err := strconv.ParseUint(string(entry.Value), 10, 64)
	if err != nil {
		return laceunit.Incarnation(entry.Revision)
	}
	return laceunit.Incarnation(n)
}

func (s *Service) watch(
	ctx context.Context,
	prefix laceplatform.Key,
	after laceplatform.Revision,
	take func(laceplatform.Event) error,
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
			if err := take(e); err != nil {
				return err
			}
		}
	}
}

// repeat runs a step again after a pause of about a second, which bounds the rate of platform calls.
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

// sweep removes the members whose alive key is gone.
func (s *Service) sweep(ctx context.Context) {
	_ = lacekernel.Every(ctx, rankDelay, func(ctx context.Context) {
		if gone := s.dead(); len(gone) > 0 {
			_ = s.remove(ctx, gone)
		}
	})
}

// dead returns the members whose key has been missing for long enough to be removed by this instance.
func (s *Service) dead() []laceunit.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	// After an outage all leases may have ended; the members get one time to live to take new ones.
	if !s.machine.PlatformReachable() || (s.contact > 0 && now-s.contact < s.settings.LeaseTTL) {
		clear(s.missing)
		return nil
	}
	rank := 0
	var gone []laceunit.Holder
	members := s.machine.Record().Members
	for _, m := range members {
		if m.Holder == s.holder {
			break
		}
		if s.alive[m.Holder.Instance] == m.Holder.Incarnation {
			rank++
		}
	}
	for _, m := range members {
		if m.Holder == s.holder || s.alive[m.Holder.Instance] == m.Holder.Incarnation {
			delete(s.missing, m.Holder)
			continue
		}
		since, ok := s.missing[m.Holder]
		if !ok {
			s.missing[m.Holder] = now
			continue
		}
		if now-since >= time.Duration(min(rank, 20))*rankDelay {
			gone = append(gone, m.Holder)
		}
	}
	return gone
}

// remove confirms that the keys are gone and takes the members out of the record.
func (s *Service) remove(ctx context.Context, gone []laceunit.Holder) error {
	var confirmed []laceunit.Holder
	for _, h := range gone {
		call, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
		e, err := s.store.Get(call, aliveKey(h.Instance))
		cancel()
		if errors.Is(err, laceplatform.ErrMissing) || (err == nil && incarnationOf(e) != h.Incarnation) {
			confirmed = append(confirmed, h)
		} else if err == nil {
			s.mu.Lock()
			s.see(e, false)
			s.mu.Unlock()
		}
	}
	if len(confirmed) == 0 {
		return nil
	}
	tries := 0
	err := s.change(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.machine.Record().Epoch != r.Epoch || !slices.ContainsFunc(confirmed, r.Has) {
			return r, errStop
		}
		tries++
		return s.machine.Remove(confirmed), nil
	})
	s.mu.Lock()
	// An earlier write without an answer may still take effect, so one certain failure proves nothing then.
	certain := tries == 1 && !s.unknown && errors.Is(err, laceplatform.ErrUnavailable)
	s.unknown = tries > 0 && err != nil && !certain
	s.mu.Unlock()
	if certain {
		s.run(lacemember.RemovalFailed{})
	}
	return err
}
