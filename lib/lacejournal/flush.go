package lacejournal

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Flush submits the own entries that are not in the ledger yet, directly or through a peer that reaches the platform.
func (s *Service) Flush(ctx context.Context) error {
	return s.flush(ctx, func() []VersionedEntry { return s.state.Unflushed(maxBatchEntries) })
}

// Seal rejects new entries of an owner, submits the stored copies, and reports whether the ledger has all of them.
func (s *Service) Seal(ctx context.Context, owner laceunit.Holder) (bool, error) {
	s.mu.Lock()
	s.state.Seal(owner)
	s.mu.Unlock()
	err := s.flush(ctx, func() []VersionedEntry { return s.state.UnflushedCopies(owner, maxBatchEntries) })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CopiesFlushed(owner), err
}

// MayRelease reports whether the grant of a dead holder may be released: the holder is not in the membership, the grant
// is closed, and every witness of the grant has sealed the holder and flushed its copies.
func (s *Service) MayRelease(ctx context.Context, grant laceledger.Grant) (bool, error) {
	record := s.fleet.Record()
	if !grant.Closed || record.Epoch == 0 || record.Has(grant.Holder) {
		return false, nil
	}
	flushed := map[laceunit.Holder]bool{}
	for _, w := range grant.Witnesses {
		m, ok := record.Find(w)
		if !ok {
			return false, nil
		}
		done, err := s.sealAt(ctx, m, grant.Holder)
		if err != nil {
			return false, err
		}
		flushed[w] = done
	}
	return Releasable(grant, flushed), nil
}

// sealAt seals an owner at a witness, which may be this instance.
func (s *Service) sealAt(ctx context.Context, witness lacemember.Member, owner laceunit.Holder) (bool, error) {
	if witness.Holder == s.fleet.Self() {
		return s.Seal(ctx, owner)
	}
	return s.peer.Seal(ctx, witness, owner)
}

// FlushCopies submits the copies of every owner, so that this instance can leave without losing them.
func (s *Service) FlushCopies(ctx context.Context) error {
	s.mu.Lock()
	owners := s.state.unflushedOwners()
	s.mu.Unlock()
	for _, o := range owners {
		if _, err := s.Seal(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// SealRemoved seals holders that were removed from the membership and submits their copies in the background.
func (s *Service) SealRemoved(holders []laceunit.Holder) {
	for _, h := range holders {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		s.state.Seal(h)
		s.background.Go(func() { _, _ = s.Seal(s.ctx, h) })
		s.mu.Unlock()
	}
}

// flush submits batches until none is left, up to maxFlushBatches. Only one flush runs at a time, because a concurrent
// one would submit the same entries.
func (s *Service) flush(ctx context.Context, next func() []VersionedEntry) error {
	s.flushing.Lock()
	defer s.flushing.Unlock()
	for range maxFlushBatches {
		s.mu.Lock()
		batch := next()
		s.metrics.observe(s.state)
		s.metrics.entries.WithLabelValues("refused").Set(float64(s.state.RejectedCount()))
		s.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		if err := s.submitBatch(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) submitBatch(ctx context.Context, batch []VersionedEntry) error {
	entries := make([]Entry, 0, len(batch))
	for _, v := range batch {
		entries = append(entries, v.Entry)
	}
	results, err := s.submitOrForward(ctx, entries)
	for i, r := range results {
		if r == 0 {
			continue
		}
		s.applyVerdict(batch[i], r)
	}
	return err
}

func (s *Service) applyVerdict(v VersionedEntry, result laceledger.Result) {
	s.mu.Lock()
	recorded, holders := s.state.ApplyVerdict(v, result)
	s.mu.Unlock()
	if !recorded {
		s.metrics.flushes.WithLabelValues("refused").Inc()
		return
	}
	s.metrics.flushes.WithLabelValues("taken").Inc()
	if !v.isCopy {
		s.fleet.MarkFlushed(v.Entry.Record.Request)
		s.notifyDrop(v.Entry, holders)
	}
}

// submitOrForward submits entries directly, or through the first responding peer that reaches the platform.
func (s *Service) submitOrForward(ctx context.Context, entries []Entry) ([]laceledger.Result, error) {
	if s.fleet.PlatformReachable() {
		return s.Submit(ctx, entries)
	}
	err := errors.Wrap(laceplatform.ErrUnavailable, "journal: platform is unreachable, also through peers")
	for _, m := range s.fleet.PeersWithPlatform() {
		results, e := s.peer.Flush(ctx, m, entries)
		if e == nil && len(results) == len(entries) {
			return results, nil
		}
		if e != nil {
			err = e
		}
	}
	return nil, err
}

// Submit appends entries to the ledger concurrently. A zero result means that it is unknown whether the entry was
// appended; it can be submitted again, because the ledger applies an entry only once.
func (s *Service) Submit(ctx context.Context, entries []Entry) ([]laceledger.Result, error) {
	results := make([]laceledger.Result, len(entries))
	errs := make(chan error, len(entries))
	for i, e := range entries {
		go func() {
			v, err := s.ledger.Append(ctx, e.Record, laceledger.UrgencyNormal)
			if err == nil {
				results[i] = v.Result
			}
			errs <- err
		}()
	}
	var first error
	for range entries {
		if err := <-errs; err != nil && first == nil {
			first = errors.Wrap(err, "journal: submit to ledger")
		}
	}
	return results, first
}
