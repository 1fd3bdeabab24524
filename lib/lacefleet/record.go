package lacefleet

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	membersKey laceplatform.Key = "members"
	// swapTries bounds the attempts at one change; more than a few conflicts mean that others are making it.
	swapTries = 8
)

// errStop ends a change that is not needed any more.
var errStop = errors.New("fleet: nothing to change")

// Fresh implements Fleet.
func (s *Service) FetchRecord(ctx context.Context) (lacemember.Record, error) {
	r, _, err := s.read(ctx)
	return r, err
}

// read returns the agreed record, which is zero before the first join.
func (s *Service) read(ctx context.Context) (lacemember.Record, laceplatform.Revision, error) {
	call, cancel := context.WithTimeout(ctx, s.settings.TransferTimeout)
	defer cancel()
	e, err := s.store.Get(call, membersKey)
	if errors.Is(err, laceplatform.ErrMissing) {
		return lacemember.Record{}, 0, nil
	}
	if err != nil {
		return lacemember.Record{}, 0, errors.Wrap(err, "fleet: read members")
	}
	r, err := decode(e.Value)
	if err != nil {
		return lacemember.Record{}, 0, err
	}
	s.run(lacemember.RecordCommitted{Record: r})
	return r, e.Revision, nil
}

func decode(value []byte) (lacemember.Record, error) {
	var m lacewire.PeerRecord
	if err := proto.Unmarshal(value, &m); err != nil {
		return lacemember.Record{}, errors.Wrap(err, "fleet: members record is malformed")
	}
	return lacewire.ToRecord(&m), nil
}

// change applies a change to the agreed record until it is written. The change is asked again with each newer record,
// so a write whose answer was lost is seen there; it returns errStop when nothing is left to do.
func (s *Service) change(ctx context.Context, apply func(lacemember.Record) (lacemember.Record, error)) error {
	var last error
	for range swapTries {
		old, revision, err := s.read(ctx)
		if err != nil {
			return err
		}
		next, err := apply(old)
		if errors.Is(err, errStop) {
			return nil
		}
		if err != nil {
			return err
		}
		if last = s.write(ctx, next, revision); last == nil {
			s.run(lacemember.RecordCommitted{Record: next})
			return nil
		}
		if !errors.Is(last, laceplatform.ErrConflict) && !errors.Is(last, laceplatform.ErrUnknown) {
			return last
		}
	}
	return last
}

func (s *Service) write(ctx context.Context, record lacemember.Record, expect laceplatform.Revision) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(lacewire.FromRecord(record))
	if err != nil {
		return errors.Wrap(err, "fleet: encode members")
	}
	call, cancel := context.WithTimeout(ctx, s.settings.TransferTimeout)
	defer cancel()
	_, err = s.store.Swap(call, laceplatform.Swap{
		Key:    membersKey,
		Value:  value,
		Expect: expect,
	})
	return errors.Wrap(err, "fleet: write members")
}

// Drain implements Fleet.
func (s *Service) Drain(ctx context.Context) error {
	s.with(func(m *lacemember.Machine) { m.Drain() })
	return s.change(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if m, ok := r.Find(s.Self()); !ok || m.Draining {
			return r, errStop
		}
		return r.Drain(s.Self()), nil
	})
}

// Leave implements Fleet.
func (s *Service) Leave(ctx context.Context) error {
	if s.journal != nil {
		s.with(func(m *lacemember.Machine) { m.Drain() })
		if err := s.journal.Flush(ctx); err != nil {
			return errors.Wrap(err, "fleet: flush journal")
		}
		if err := s.journal.FlushCopies(ctx); err != nil {
			return errors.Wrap(err, "fleet: flush copies")
		}
	}
	idle := false
	s.with(func(m *lacemember.Machine) { m.Drain(); idle = m.Idle() })
	if !idle {
		return ErrNotFlushed
	}
	err := s.change(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if !r.Has(s.Self()) {
			return r, errStop
		}
		return r.Leave(s.Self()), nil
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	lease := s.lease
	s.lease = 0
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	if err = s.store.Revoke(call, lease); err != nil {
		// The record no longer lists this instance, and the lease ends by itself.
		s.logger.V(1).Info("lease not revoked", "cause", err.Error())
	}
	return nil
}

// Fence implements Fleet.
func (s *Service) Fence(ctx context.Context, holder laceunit.Holder) error {
	return s.change(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if slices.Contains(r.Fenced, holder) {
			return r, errStop
		}
		return r.Fence(holder), nil
	})
}
