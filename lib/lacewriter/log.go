package lacewriter

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// Sizes of the log ring.
const (
	// Ring is the number of slots of a shard's log.
	RingSlots = 512
	// snapshotEvery entries a snapshot is due.
	snapshotEvery = RingSlots / 4
	// snapshotLimit entries after the last snapshot no more are appended, so that a load always finds them in the ring.
	snapshotLimit = RingSlots / 2
	// catchUpReads is the number of single reads after which the whole ring is listed instead.
	catchUpReads = 8
	// loadTries bounds the loads that find the snapshot replaced under them.
	loadTries = 8
)

// ErrDamaged means that the log on the platform contradicts itself.
var ErrDamaged = errors.New("writer: log is damaged")

// errGap means that the ring has moved on beyond the snapshot that a load started from.
var errGap = errors.New("writer: ring is ahead of the snapshot")

// Log is the log of one shard on the platform, with the state that its entries lead to.
type Log struct {
	options
	store  laceplatform.Store
	shard  laceunit.ShardID
	holder laceunit.Holder

	// appendLock is held during one load, catch-up or append; snapshotLock during one snapshot.
	appendLock   chan struct{}
	snapshotLock chan struct{}
	// parts holds what unfinished loads have read, so that a load that runs out of time goes on where it stopped.
	// It belongs to the holder of appendLock.
	parts map[string][]byte

	// mu guards the fields below and is never held during a call to the platform.
	mu        sync.Mutex
	state     *laceledger.State
	revisions [RingSlots]laceplatform.Revision
	head      head
}

// head is the newest snapshot head that is known.
type head struct {
	revision laceplatform.Revision
	message  *lacewire.LedgerHead
}

func (h head) sequence() laceunit.Sequence {
	return laceunit.Sequence(h.message.GetSequence())
}

// NewLog returns the log of a shard; it is loaded by the first call that needs it.
func NewLog(store laceplatform.Store, shard laceunit.ShardID, holder laceunit.Holder, list ...Option) *Log {
	return &Log{
		options:      newOptions(list),
		store:        store,
		shard:        shard,
		holder:       holder,
		appendLock:   make(chan struct{}, 1),
		snapshotLock: make(chan struct{}, 1),
	}
}

func slot(n laceunit.Sequence) int { return int(n % RingSlots) }

func (l *Log) prefix(kind string) laceplatform.Key {
	return laceplatform.Key(kind + "/" + strconv.Itoa(int(l.shard)) + "/")
}

func (l *Log) slotKey(n laceunit.Sequence) laceplatform.Key {
	return l.prefix("log") + laceplatform.Key(strconv.Itoa(slot(n)))
}

func (l *Log) headKey() laceplatform.Key {
	return laceplatform.Key("snap/" + strconv.Itoa(int(l.shard)))
}

func acquire(ctx context.Context, lock chan struct{}) error {
	select {
	case lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(laceplatform.ErrUnavailable, ctx.Err().Error())
	}
}

// View calls f with the state as it is known here; f must not keep it.
func (l *Log) View(f func(*laceledger.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state
	if s == nil {
		s = &laceledger.State{}
	}
	f(s)
}

// Refresh brings the state up to the platform's as of some moment during the call.
func (l *Log) Refresh(ctx context.Context) error {
	if err := acquire(ctx, l.appendLock); err != nil {
		return err
	}
	defer func() { <-l.appendLock }()
	loaded, err := l.ensure(ctx)
	if err != nil || loaded {
		return err
	}
	_, err = l.catchUp(ctx, nil)
	return err
}

// Load loads the log if that has not been done; it reports whether it has done so now.
func (l *Log) Load(ctx context.Context) (bool, error) {
	if err := acquire(ctx, l.appendLock); err != nil {
		return false, err
	}
	defer func() { <-l.appendLock }()
	return l.ensure(ctx)
}

// ensure loads the log if that has not been done; it reports whether it has done so now.
func (l *Log) ensure(ctx context.Context) (bool, error) {
	l.mu.Lock()
	known := l.state != nil
	l.mu.Unlock()
	if known {
		return false, nil
	}
	return true, l.load(ctx)
}

// load reads the snapshot and the ring.
func (l *Log) load(ctx context.Context) error {
	if l.parts == nil {
		l.parts = map[string][]byte{}
	}
	for range loadTries {
		h, s, err := l.loadSnapshot(ctx)
		if errors.Is(err, laceplatform.ErrMissing) {
			// A newer snapshot has replaced the parts of this one.
			continue
		}
		if err != nil {
			return err
		}
		var revisions [RingSlots]laceplatform.Revision
		err = l.replay(ctx, s, &revisions)
		if errors.Is(err, errGap) {
			continue
		}
		if err != nil {
			return err
		}
		if err = s.Check(); err != nil {
			return err
		}
		l.mu.Lock()
		l.state, l.revisions, l.head = s, revisions, h
		l.mu.Unlock()
		l.parts = nil
		return nil
	}
	return errors.Wrapf(laceplatform.ErrUnavailable, "shard %d: snapshot kept moving during %d loads", l.shard, loadTries)
}

// replay applies the entries of the ring that follow the state and notes the revisions of all slots.
func (l *Log) replay(ctx context.Context, s *laceledger.State, revisions *[RingSlots]laceplatform.Revision) error {
	list, _, err := l.store.List(ctx, l.prefix("log"))
	if err != nil {
		return err
	}
	var entries []laceledger.Entry
	for _, kv := range list {
		e, err := l.decode(kv)
		if err != nil {
			return err
		}
		revisions[slot(e.Sequence)] = kv.Revision
		if e.Sequence > s.Sequence() {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b laceledger.Entry) int { return int(int64(a.Sequence) - int64(b.Sequence)) })
	for _, e := range entries {
		if e.Sequence != s.Sequence()+1 {
			return errGap
		}
		if err := s.Apply(e); err != nil {
			return errors.Wrap(ErrDamaged, err.Error())
		}
	}
	return nil
}

// decode decodes the entry of a slot and verifies that it belongs there.
func (l *Log) decode(kv laceplatform.Entry) (laceledger.Entry, error) {
	e, err := lacewire.DecodeEntry(kv.Value)
	if err != nil {
		return laceledger.Entry{}, errors.Wrapf(ErrDamaged, "%s: %v", kv.Key, err)
	}
	if l.slotKey(e.Sequence) != kv.Key {
		return laceledger.Entry{}, errors.Wrapf(ErrDamaged, "%s holds entry %d", kv.Key, e.Sequence)
	}
	return e, nil
}

// found says what a catch-up saw.
type found struct {
	// news means that other entries were applied.
	news bool
	// own means that the entry looked for was applied.
	own bool
	// lapped means that the ring moved on so far that the entry looked for may have been overwritten.
	lapped bool
}

// catchUp applies the entries that have been appended since; own is an entry of this log whose fate is unknown, or nil.
func (l *Log) catchUp(ctx context.Context, own *laceledger.Entry) (found, error) {
	var f found
	for range catchUpReads {
		n, expected := l.next()
		kv, err := l.store.Get(ctx, l.slotKey(n))
		if errors.Is(err, laceplatform.ErrMissing) {
			kv.Revision = 0
		} else if err != nil {
			return f, err
		}
		if kv.Revision == expected {
			return f, nil
		}
		e, err := l.decode(kv)
		if err != nil {
			return f, err
		}
		if e.Sequence != n {
			f.lapped = true
			f.news = true
			return f, l.load(ctx)
		}
		if err = l.applyEntry(e, kv.Revision); err != nil {
			return f, err
		}
		f.note(e, own)
	}
	return l.catchUpRing(ctx, own, f)
}

func (f *found) note(e laceledger.Entry, own *laceledger.Entry) {
	f.news = true
	if own != nil && e.Sequence == own.Sequence && e.Appender == own.Appender && e.Tag == own.Tag {
		f.own = true
	}
}

// catchUpRing lists the ring; it is one call where many entries are missing.
func (l *Log) catchUpRing(ctx context.Context, own *laceledger.Entry, f found) (found, error) {
	list, _, err := l.store.List(ctx, l.prefix("log"))
	if err != nil {
		return f, err
	}
	bySequence := map[laceunit.Sequence]laceplatform.Entry{}
	var newest laceunit.Sequence
	entries := map[laceunit.Sequence]laceledger.Entry{}
	for _, kv := range list {
		e, err := l.decode(kv)
		if err != nil {
			return f, err
		}
		bySequence[e.Sequence], entries[e.Sequence] = kv, e
		newest = max(newest, e.Sequence)
	}
	for {
		n, _ := l.next()
		if n > newest {
			return f, nil
		}
		e, ok := entries[n]
		if !ok {
			f.lapped, f.news = true, true
			return f, l.load(ctx)
		}
		if err := l.applyEntry(e, bySequence[n].Revision); err != nil {
			return f, err
		}
		f.note(e, own)
	}
}

// next returns the number of the next entry and the revision that its slot is expected to stand at.
func (l *Log) next() (laceunit.Sequence, laceplatform.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.state.Sequence() + 1
	return n, l.revisions[slot(n)]
}

// applyEntry applies an entry that is on the platform.
func (l *Log) applyEntry(e laceledger.Entry, revision laceplatform.Revision) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.state.Apply(e); err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	l.revisions[slot(e.Sequence)] = revision
	return nil
}
