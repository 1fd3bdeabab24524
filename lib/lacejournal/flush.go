package lacejournal

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Flush submits the own entries that the ledger lacks, directly or through a peer with contact.
func (s *Service) Flush(ctx context.Context) error {
	return s.flush(ctx, func() []VersionedEntry { return s.book.Unflushed(flushBatch) })
}

// Seal refuses further entries of an owner, submits the copies held, and reports whether the ledger has them all.
func (s *Service) Seal(ctx context.Context, owner laceunit.Holder) (bool, error) {
	s.mu.Lock()
	s.book.Seal(owner)
	s.mu.Unlock()
	err := s.flush(ctx, func() []VersionedEntry { return s.book.UnflushedCopies(owner, flushBatch) })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.CopiesFlushed(owner), err
}

// MayRelease reports whether a dead holder's grant may be released: the holder is out of the membership, the grant is
// closed, and every witness that it names has sealed the holder and flushed.
func (s *Service) MayRelease(ctx context.Context, grant laceledger.Grant) (bool, error) {
	record := s.fleet.Record()
	if !grant.Closed || record.Epoch == 0 || record.Has(grant.Holder) {
		return false, nil
	}
	reported := map[laceunit.Holder]bool{}
	for _, w := range grant.Witnesses {
		m, ok := record.Find(w)
		if !ok {
			return false, nil
		}
		flushed, err := s.askSeal(ctx, m, grant.Holder)
		if err != nil {
			return false, err
		}
		reported[w] = flushed
	}
	return Releasable(grant, reported), nil
}

func (s *Service) askSeal(ctx context.Context, witness lacemember.Member, owner laceunit.Holder) (bool, error) {
	if witness.Holder == s.fleet.Self() {
		return s.Seal(ctx, owner)
	}
	return s.peer.Seal(ctx, witness, owner)
}

// Handback submits the copies of every owner, so that this instance may leave without taking them along.
func (s *Service) FlushCopies(ctx context.Context) error {
	s.mu.Lock()
	owners := s.book.owners()
	s.mu.Unlock()
	for _, o := range owners {
		if _, err := s.Seal(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// Gone seals holders that were removed from the membership and submits their copies in the background.
func (s *Service) SealRemoved(holders []laceunit.Holder) {
	for _, h := range holders {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		s.book.Seal(h)
		s.wait.Go(func() { _, _ = s.Seal(s.ctx, h) })
		s.mu.Unlock()
	}
}

// flush submits batches until nothing is left. One flush runs at a time; a second one would submit the same entries.
func (s *Service) flush(ctx context.Context, next func() []VersionedEntry) error {
	s.flushing.Lock()
	defer s.flushing.Unlock()
	for range flushRounds {
		s.mu.Lock()
		batch := next()
		s.metrics.observe(s.book)
		s.metrics.entries.WithLabelValues("refused").Set(float64(s.book.RejectedCount()))
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
	for _, p := range batch {
		entries = append(entries, p.Entry)
	}
	results, err := s.forward(ctx, entries)
	for i, r := range results {
		if r == 0 {
			continue
		}
		s.note(batch[i], r)
	}
	return err
}

func (s *Service) note(p VersionedEntry, result laceledger.Result) {
	s.mu.Lock()
	done, holders := s.book.ApplyVerdict(p, result)
	s.mu.Unlock()
	if !done {
		s.metrics.flushes.WithLabelValues("refused").Inc()
		return
	}
	s.metrics.flushes.WithLabelValues("taken").Inc()
	if !p.copied {
		s.fleet.Flushed(p.Entry.Record.Request)
		s.drop(p.Entry, holders)
	}
}

// forward submits entries directly, or through the first peer with contact that answers.
func (s *Service) forward(ctx context.Context, entries []Entry) ([]laceledger.Result, error) {
	if s.fleet.Reachable() {
		return s.Submit(ctx, entries)
	}
	err := errors.Wrap(laceplatform.ErrUnavailable, "journal: no way to the platform")
	for _, m := range s.fleet.Contacts() {
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

// Submit appends entries to the ledger. A zero result means that the entry may or may not have been appended; the
// ledger takes the same entry any number of times.
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
			first = errors.Wrap(err, "journal: submit")
		}
	}
	return results, first
}
