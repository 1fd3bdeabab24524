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
	// appendTries bounds the swaps of one append; each lost one means that another appender made progress.
	appendTries = 32
	// maxEntryBytes keeps a listed ring below 32 MB in the worst case; common entries are some hundred bytes.
	maxEntryBytes = 64 << 10
)

// attempt is one entry on its way to the platform.
type attempt struct {
	entry    laceledger.Entry
	verdicts []laceledger.Verdict
	value    []byte
	// unsure means that a swap of this entry may have taken effect.
	unsure bool
}

// Append commits records and returns the verdicts on them, in one entry if they fit.
//
// It may return fewer verdicts than records when the entry would become too large; the others have not been looked at.
// Its errors are laceplatform.ErrUnavailable (nothing appended), laceplatform.ErrUnknown and ErrDamaged.
func (l *Log) Append(ctx context.Context, records []laceledger.Record) ([]laceledger.Verdict, error) {
	if err := acquire(ctx, l.appendLock); err != nil {
		return nil, err
	}
	defer func() { <-l.appendLock }()
	if _, err := l.ensure(ctx); err != nil {
		return nil, certain(err)
	}
	started := time.Now()
	for range appendTries {
		if err := l.room(ctx); err != nil {
			return nil, err
		}
		a, err := l.propose(records)
		if err != nil {
			return nil, err
		}
		done, err := l.commit(ctx, &a)
		if err != nil {
			return nil, err
		}
		if !done {
			continue
		}
		if len(a.entry.Records) > 0 {
			l.observer.Write(l.shard, len(a.entry.Records), len(a.value), time.Since(started))
		}
		for _, v := range a.verdicts {
			l.observer.Verdict(v.Result)
		}
		return a.verdicts, nil
	}
	return nil, errors.Wrapf(laceplatform.ErrUnavailable, "shard %d: %d swaps lost to other appenders", l.shard, appendTries)
}

// certain classifies an error of a phase in which nothing was written.
func certain(err error) error {
	if errors.Is(err, laceplatform.ErrUnknown) || !known(err) {
		return errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	return err
}

func known(err error) bool {
	return errors.Is(err, laceplatform.ErrUnavailable) || errors.Is(err, ErrDamaged) || errors.Is(err, ErrShardCount)
}

// room makes sure that the ring may take another entry.
func (l *Log) room(ctx context.Context) error {
	if l.behind() < snapshotLimit {
		return nil
	}
	if err := l.Snapshot(ctx); err != nil {
		return certain(errors.Wrap(err, "writer: ring is full until a snapshot is written"))
	}
	if l.behind() >= snapshotLimit {
		return errors.Wrap(laceplatform.ErrUnavailable, "writer: ring is full until a snapshot is written")
	}
	return nil
}

// behind returns the number of entries after the newest known snapshot.
func (l *Log) behind() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil {
		return 0
	}
	return int(int64(l.state.Sequence()) - int64(l.head.sequence()))
}

// propose validates the records, or the first half of them until their entry is small enough.
func (l *Log) propose(records []laceledger.Record) (attempt, error) {
	now := l.clock().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var a attempt
		a.entry, a.verdicts = l.state.Propose(records, now, l.retain.Cutoff(now))
		a.entry.Appender, a.entry.Tag = l.holder, l.random()
		if len(a.entry.Records) == 0 {
			return a, nil
		}
		var err error
		if a.value, err = lacewire.EncodeEntry(a.entry); err != nil {
			return a, errors.Wrap(laceplatform.ErrUnavailable, err.Error())
		}
		if len(a.value) <= maxEntryBytes || len(records) == 1 {
			return a, nil
		}
		records = records[:len(records)/2]
	}
}

// commit brings an entry to the platform; it reports false when other entries came first and the records need another look.
func (l *Log) commit(ctx context.Context, a *attempt) (bool, error) {
	if len(a.entry.Records) == 0 {
		// A refusal must not rest on a state that others have left behind.
		f, err := l.catchUp(ctx, nil)
		return !f.news, certainOrNil(err)
	}
	n, expect := l.next()
	for range appendTries {
		revision, err := l.store.Swap(ctx, laceplatform.Swap{
			Key:    l.slotKey(n),
			Value:  a.value,
			Expect: expect,
		})
		switch {
		case err == nil:
			return true, l.applyEntry(a.entry, revision)
		case errors.Is(err, laceplatform.ErrConflict):
			l.observer.Conflict(l.shard)
		case errors.Is(err, laceplatform.ErrUnavailable) || errors.Is(err, laceplatform.ErrTooLarge):
			return false, l.failure(a, err)
		default:
			a.unsure = true
			l.observer.ReadBack(l.shard)
		}
		f, err := l.catchUp(ctx, &a.entry)
		switch {
		case f.own:
			return true, nil
		case err != nil || (a.unsure && f.lapped):
			return false, l.failure(a, err)
		case f.news:
			// The slot has another entry, so this one can't take effect any more.
			return false, nil
		}
		// The swap had not taken effect when the slot was read, but it may be on its way: only the same swap may follow.
	}
	return false, l.failure(a, errors.New("writer: swap kept failing"))
}

// failure classifies an error by whether the entry may have been written.
func (l *Log) failure(a *attempt, err error) error {
	message := "writer: entry overwritten before it was read back"
	if err != nil {
		message = err.Error()
	}
	if a.unsure {
		return errors.Wrap(laceplatform.ErrUnknown, message)
	}
	if errors.Is(err, ErrDamaged) {
		return err
	}
	return errors.Wrap(laceplatform.ErrUnavailable, message)
}

func certainOrNil(err error) error {
	if err == nil {
		return nil
	}
	return certain(err)
}
