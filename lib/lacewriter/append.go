package lacewriter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacewire"
)

const (
	// maxAppendAttempts bounds the compare-and-swap retries of one append. Every conflict means that another appender
	// made progress.
	maxAppendAttempts = 32
	// maxEntryBytes limits the list of a full ring to 32 MB in the worst case. Typical entries have a few hundred
	// bytes.
	maxEntryBytes = 64 << 10
)

// pendingEntry is an entry that has not been committed yet.
type pendingEntry struct {
	entry    laceledger.Entry
	verdicts []laceledger.Verdict
	value    []byte
	// maybeWritten means that a compare-and-swap of this entry had an unknown outcome.
	maybeWritten bool
}

// Append commits records in a single entry and returns their verdicts.
//
// If all records would exceed the maximum size of an entry, only a prefix is processed, and fewer verdicts than records
// are returned. Errors are laceplatform.ErrUnavailable (nothing was appended), laceplatform.ErrUnknown and ErrDamaged.
func (l *Log) Append(ctx context.Context, records []laceledger.Record) ([]laceledger.Verdict, error) {
	if err := acquire(ctx, l.appendLock); err != nil {
		return nil, err
	}
	defer func() { <-l.appendLock }()
	if _, err := l.ensureLoaded(ctx); err != nil {
		return nil, toUnavailable(err)
	}
	start := time.Now()
	for range maxAppendAttempts {
		if err := l.ensureCapacity(ctx); err != nil {
			return nil, err
		}
		p, err := l.propose(records)
		if err != nil {
			return nil, err
		}
		committed, err := l.commit(ctx, &p)
		if err != nil {
			return nil, err
		}
		if !committed {
			continue
		}
		if len(p.entry.Records) > 0 {
			l.observer.Write(l.shard, len(p.entry.Records), len(p.value), time.Since(start))
		}
		for _, v := range p.verdicts {
			l.observer.Verdict(v.Result)
		}
		return p.verdicts, nil
	}
	return nil, errors.Wrapf(
		laceplatform.ErrUnavailable, "shard %d: %d swaps lost to other appenders", l.shard, maxAppendAttempts)
}

// toUnavailable converts an error of a phase that writes nothing: an unknown outcome becomes ErrUnavailable.
func toUnavailable(err error) error {
	if errors.Is(err, laceplatform.ErrUnknown) || !isClassified(err) {
		return errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	return err
}

// isClassified reports whether an error is one that Append may return as it is.
func isClassified(err error) bool {
	return errors.Is(err, laceplatform.ErrUnavailable) || errors.Is(err, ErrDamaged) || errors.Is(err, ErrShardCount)
}

// ensureCapacity writes a snapshot if the ring has no room for another entry.
func (l *Log) ensureCapacity(ctx context.Context) error {
	if l.entriesSinceSnapshot() < maxEntriesSinceSnapshot {
		return nil
	}
	if err := l.Snapshot(ctx); err != nil {
		return toUnavailable(errors.Wrap(err, "writer: ring is full until a snapshot is written"))
	}
	if l.entriesSinceSnapshot() >= maxEntriesSinceSnapshot {
		return errors.Wrap(laceplatform.ErrUnavailable, "writer: ring is full until a snapshot is written")
	}
	return nil
}

// entriesSinceSnapshot returns the number of entries after the latest known snapshot.
func (l *Log) entriesSinceSnapshot() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil {
		return 0
	}
	return int(int64(l.state.Sequence()) - int64(l.head.sequence()))
}

// propose validates the records and encodes their entry; it halves the records until the entry is small enough.
func (l *Log) propose(records []laceledger.Record) (pendingEntry, error) {
	now := l.clock().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var p pendingEntry
		p.entry, p.verdicts = l.state.Propose(records, now, l.retention.Cutoff(now))
		p.entry.Appender, p.entry.Tag = l.holder, l.random()
		if len(p.entry.Records) == 0 {
			return p, nil
		}
		var err error
		if p.value, err = lacewire.EncodeEntry(p.entry); err != nil {
			return p, errors.Wrap(laceplatform.ErrUnavailable, err.Error())
		}
		if len(p.value) <= maxEntryBytes || len(records) == 1 {
			return p, nil
		}
		records = records[:len(records)/2]
	}
}

// commit writes an entry to the platform. It reports false when other entries were committed first, so that the records
// must be validated against the new state.
func (l *Log) commit(ctx context.Context, p *pendingEntry) (bool, error) {
	if len(p.entry.Records) == 0 {
		// No record needs an entry. Make sure that this decision is not based on stale state.
		result, err := l.catchUp(ctx, nil)
		return !result.applied, toUnavailableOrNil(err)
	}
	sequence, expect := l.nextSlot()
	for range maxAppendAttempts {
		revision, err := l.store.Swap(ctx, laceplatform.Swap{
			Key:    l.slotKey(sequence),
			Value:  p.value,
			Expect: expect,
		})
		switch {
		case err == nil:
			return true, l.applyEntry(p.entry, revision)
		case errors.Is(err, laceplatform.ErrConflict):
			l.observer.Conflict(l.shard)
		case errors.Is(err, laceplatform.ErrUnavailable) || errors.Is(err, laceplatform.ErrTooLarge):
			return false, l.classifyFailure(p, err)
		default:
			p.maybeWritten = true
			l.observer.ReadBack(l.shard)
		}
		result, err := l.catchUp(ctx, &p.entry)
		switch {
		case result.ownApplied:
			return true, nil
		case err != nil || (p.maybeWritten && result.overwritten):
			return false, l.classifyFailure(p, err)
		case result.applied:
			// Another entry occupies the slot, so the compare-and-swap of this one can no longer succeed.
			return false, nil
		}
		// The slot was unchanged when it was read, but the compare-and-swap may still be in flight. Only an identical
		// one may follow it.
	}
	return false, l.classifyFailure(p, errors.New("writer: swap kept failing"))
}

// classifyFailure returns ErrUnknown if the entry may have been written, otherwise ErrUnavailable or ErrDamaged.
func (l *Log) classifyFailure(p *pendingEntry, err error) error {
	message := "writer: entry overwritten before it was read back"
	if err != nil {
		message = err.Error()
	}
	if p.maybeWritten {
		return errors.Wrap(laceplatform.ErrUnknown, message)
	}
	if errors.Is(err, ErrDamaged) {
		return err
	}
	return errors.Wrap(laceplatform.ErrUnavailable, message)
}

func toUnavailableOrNil(err error) error {
	if err == nil {
		return nil
	}
	return toUnavailable(err)
}
