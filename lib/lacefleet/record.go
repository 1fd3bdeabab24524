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
	// maxSwapAttempts bounds the attempts at one update; after more than a few conflicts other members are making the
	// same update.
	maxSwapAttempts = 8
)

// errNoChange ends an update that is no longer needed.
var errNoChange = errors.New("fleet: membership record needs no change")

// FetchRecord implements Fleet.
func (s *Service) FetchRecord(ctx context.Context) (lacemember.Record, error) {
	r, _, err := s.readRecord(ctx)
	return r, err
}

// readRecord reads the membership record from the platform and passes it to the machine. The record is zero before the
// first join.
func (s *Service) readRecord(ctx context.Context) (lacemember.Record, laceplatform.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.settings.TransferTimeout)
	defer cancel()
	e, err := s.store.Get(callCtx, membersKey)
	if errors.Is(err, laceplatform.ErrMissing) {
		return lacemember.Record{}, 0, nil
	}
	if err != nil {
		return lacemember.Record{}, 0, errors.Wrap(err, "fleet: read membership record")
	}
	r, err := decodeRecord(e.Value)
	if err != nil {
		return lacemember.Record{}, 0, err
	}
	s.handleInput(lacemember.RecordCommitted{Record: r})
	return r, e.Revision, nil
}

func decodeRecord(value []byte) (lacemember.Record, error) {
	var m lacewire.PeerRecord
	if err := proto.Unmarshal(value, &m); err != nil {
		return lacemember.Record{}, errors.Wrap(err, "fleet: membership record is malformed")
	}
	return lacewire.ToMembershipRecord(&m), nil
}

// updateRecord updates the membership record by compare-and-swap, with retries after a conflict or an unknown outcome.
// Each attempt calls apply with the record as read again, so apply sees an earlier write whose response was lost; it
// returns errNoChange if nothing is left to do.
func (s *Service) updateRecord(ctx context.Context, apply func(lacemember.Record) (lacemember.Record, error)) error {
	var writeErr error
	for range maxSwapAttempts {
		current, revision, err := s.readRecord(ctx)
		if err != nil {
			return err
		}
		next, err := apply(current)
		if errors.Is(err, errNoChange) {
			return nil
		}
		if err != nil {
			return err
		}
		if writeErr = s.writeRecord(ctx, next, revision); writeErr == nil {
			s.handleInput(lacemember.RecordCommitted{Record: next})
			return nil
		}
		if !errors.Is(writeErr, laceplatform.ErrConflict) && !errors.Is(writeErr, laceplatform.ErrUnknown) {
			return writeErr
		}
	}
	return writeErr
}

func (s *Service) writeRecord(ctx context.Context, record lacemember.Record, expected laceplatform.Revision) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(lacewire.FromMembershipRecord(record))
	if err != nil {
		return errors.Wrap(err, "fleet: encode membership record")
	}
	callCtx, cancel := context.WithTimeout(ctx, s.settings.TransferTimeout)
	defer cancel()
	_, err = s.store.Swap(callCtx, laceplatform.Swap{
		Key:    membersKey,
		Value:  value,
		Expect: expected,
	})
	return errors.Wrap(err, "fleet: write membership record")
}

// Drain implements Fleet.
func (s *Service) Drain(ctx context.Context) error {
	s.withMachine(func(m *lacemember.Machine) { m.Drain() })
	return s.updateRecord(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if m, ok := r.Find(s.Self()); !ok || m.Draining {
			return r, errNoChange
		}
		return r.Drain(s.Self()), nil
	})
}

// Leave implements Fleet.
func (s *Service) Leave(ctx context.Context) error {
	if s.journal != nil {
		s.withMachine(func(m *lacemember.Machine) { m.Drain() })
		if err := s.journal.Flush(ctx); err != nil {
			return errors.Wrap(err, "fleet: flush journal")
		}
		if err := s.journal.FlushCopies(ctx); err != nil {
			return errors.Wrap(err, "fleet: flush copies")
		}
	}
	idle := false
	s.withMachine(func(m *lacemember.Machine) { m.Drain(); idle = m.Idle() })
	if !idle {
		return ErrNotFlushed
	}
	err := s.updateRecord(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if !r.Has(s.Self()) {
			return r, errNoChange
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
	callCtx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	if err = s.store.Revoke(callCtx, lease); err != nil {
		// The record no longer lists this instance, and the lease expires after its time to live.
		s.logger.V(1).Info("lease not revoked", "cause", err.Error())
	}
	return nil
}

// Fence implements Fleet.
func (s *Service) Fence(ctx context.Context, holder laceunit.Holder) error {
	return s.updateRecord(ctx, func(r lacemember.Record) (lacemember.Record, error) {
		if slices.Contains(r.Fenced, holder) {
			return r, errNoChange
		}
		return r.Fence(holder), nil
	})
}
