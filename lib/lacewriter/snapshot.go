package lacewriter

import (
	"bytes"
	"context"
	"strconv"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacewire"
)

// snapshotPart is a key that a snapshot's head refers to, with the value to write.
type snapshotPart struct {
	*lacewire.LedgerPart
	value []byte
}

// pendingSnapshot is a snapshot that has not been written yet.
type pendingSnapshot struct {
	head  *lacewire.LedgerHead
	parts []snapshotPart
	// obsolete lists the parts that the previous head refers to and this one does not.
	obsolete []*lacewire.LedgerPart
}

// SnapshotDue reports whether a snapshot should be written.
func (l *Log) SnapshotDue() bool { return l.entriesSinceSnapshot() >= snapshotInterval }

// Snapshot writes a snapshot of the local state, unless one that is at least as new exists.
func (l *Log) Snapshot(ctx context.Context) error {
	if err := acquire(ctx, l.snapshotLock); err != nil {
		return err
	}
	defer func() { <-l.snapshotLock }()
	for range maxLoadAttempts {
		// Another appender may have written a newer snapshot.
		current, err := l.readHead(ctx)
		if err != nil {
			return err
		}
		l.updateHead(current)
		pending, err := l.buildSnapshot(current)
		if err != nil || pending == nil {
			return err
		}
		err = l.publish(ctx, current, pending)
		if !errors.Is(err, laceplatform.ErrConflict) {
			return err
		}
	}
	return errors.Wrap(laceplatform.ErrUnavailable, "writer: snapshot head kept moving")
}

// readHead reads the current head; the result is empty if there is no snapshot.
func (l *Log) readHead(ctx context.Context) (snapshotHead, error) {
	kv, err := l.store.Get(ctx, l.headKey())
	if errors.Is(err, laceplatform.ErrMissing) {
		return snapshotHead{}, nil
	}
	if err != nil {
		return snapshotHead{}, err
	}
	message, err := lacewire.DecodeHead(kv.Value)
	if err != nil {
		return snapshotHead{}, errors.Wrapf(ErrDamaged, "%s: %v", kv.Key, err)
	}
	return snapshotHead{
		revision: kv.Revision,
		message:  message,
	}, nil
}

// updateHead replaces the known head if the given one is newer.
func (l *Log) updateHead(h snapshotHead) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.sequence() > l.head.sequence() {
		l.head = h
	}
}

// buildSnapshot encodes the state as a successor of the previous head. It returns nil if that is as new as the state.
func (l *Log) buildSnapshot(previous snapshotHead) (*pendingSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil || l.state.Sequence() <= previous.sequence() {
		return nil, nil
	}
	pending := &pendingSnapshot{head: &lacewire.LedgerHead{Sequence: uint64(l.state.Sequence())}}
	core, err := lacewire.EncodeSnapshot(l.state.Snapshot())
	if err != nil {
		return nil, err
	}
	if len(core) <= l.maxPartBytes {
		pending.head.Core = core
	}
	for len(pending.head.Core) == 0 && len(core) > 0 {
		n := min(l.maxPartBytes, len(core))
		pending.head.Parts = append(pending.head.Parts, l.addPart(pending, core[:n]))
		core = core[n:]
	}
	pending.obsolete = append(pending.obsolete, previous.message.GetParts()...)
	refs := map[int][]*lacewire.LedgerSegmentRef{}
	for _, r := range previous.message.GetSegments() {
		class := int(r.GetClass())
		refs[class] = append(refs[class], r)
	}
	for class := range laceledger.RetentionClassCount {
		if err := l.addClass(pending, class, refs[class]); err != nil {
			return nil, err
		}
	}
	return pending, nil
}

// addPart adds a part to a pending snapshot. Its revision is set when it is written.
func (l *Log) addPart(pending *pendingSnapshot, value []byte) *lacewire.LedgerPart {
	p := &lacewire.LedgerPart{
		Key: string(l.keyPrefix("part")) + strconv.FormatUint(pending.head.GetSequence(), 10) + "-" +
			strconv.FormatUint(l.random(), 36),
	}
	pending.parts = append(pending.parts, snapshotPart{
		LedgerPart: p,
		value:      value,
	})
	return p
}

// addClass keeps the segments of a retention class that have not expired, and adds the requests that ended since the
// last segment.
//
// Segments are merged while the last one is at most twice as large as the added one, so that a request is rewritten a
// logarithmic number of times and the number of segments stays small.
func (l *Log) addClass(pending *pendingSnapshot, class int, refs []*lacewire.LedgerSegmentRef) error {
	var first uint64
	kept := refs[:0:0]
	for _, r := range refs {
		first = r.GetNext()
		if l.state.Expired(class, r.GetNewest()) {
			pending.obsolete = append(pending.obsolete, r.GetPart())
			continue
		}
		kept = append(kept, r)
	}
	added, size, err := l.encodeSegment(class, first)
	if err != nil {
		return err
	}
	if len(added.Ended) == 0 {
		pending.head.Segments = append(pending.head.Segments, kept...)
		return nil
	}
	merged := false
	for n := len(kept); n > 0; n = len(kept) {
		r := kept[n-1]
		if int(r.GetBytes()) > 2*size || int(r.GetBytes())+size > l.maxPartBytes {
			break
		}
		first, size, merged = r.GetFirst(), size+int(r.GetBytes()), true
		pending.obsolete = append(pending.obsolete, r.GetPart())
		kept = kept[:n-1]
	}
	pending.head.Segments = append(pending.head.Segments, kept...)
	if merged {
		if added, _, err = l.encodeSegment(class, first); err != nil {
			return err
		}
	}
	return l.addSegments(pending, class, added)
}

// encodeSegment returns the ended requests starting at a number, and their encoded size.
func (l *Log) encodeSegment(class int, first uint64) (laceledger.Segment, int, error) {
	segment := l.state.Segment(class, first, int(^uint(0)>>1))
	b, err := lacewire.EncodeSegment(segment)
	return segment, len(b), err
}

// addSegments adds a segment, split into segments that fit into one part each.
func (l *Log) addSegments(pending *pendingSnapshot, class int, segment laceledger.Segment) error {
	b, err := lacewire.EncodeSegment(segment)
	if err != nil {
		return err
	}
	if n := len(segment.Ended); len(b) > l.maxPartBytes && n > 1 {
		left, right := segment, segment
		middle := segment.Ended[n/2].Number
		left.Ended, left.Next = segment.Ended[:n/2], middle
		right.Ended, right.First = segment.Ended[n/2:], middle
		if err := l.addSegments(pending, class, left); err != nil {
			return err
		}
		return l.addSegments(pending, class, right)
	}
	pending.head.Segments = append(pending.head.Segments, &lacewire.LedgerSegmentRef{
		Class:  uint32(class),
		First:  segment.First,
		Next:   segment.Next,
		Newest: segment.LastEndTime(),
		Bytes:  uint64(len(b)),
		Part:   l.addPart(pending, b),
	})
	return nil
}

// publish writes the parts, replaces the head by compare-and-swap and deletes the obsolete parts.
func (l *Log) publish(ctx context.Context, previous snapshotHead, pending *pendingSnapshot) error {
	written := 0
	for _, p := range pending.parts {
		if err := l.writePart(ctx, p); err != nil {
			l.deleteParts(ctx, pending.newParts())
			return err
		}
		written += len(p.value)
	}
	value, err := lacewire.EncodeHead(pending.head)
	if err != nil {
		return err
	}
	next, err := l.swapHead(ctx, previous, value)
	if errors.Is(err, laceplatform.ErrUnknown) {
		// The head may refer to the new parts, so they must not be deleted.
		return err
	}
	if err != nil {
		l.deleteParts(ctx, pending.newParts())
		return err
	}
	next.message = pending.head
	l.updateHead(next)
	l.observer.Snapshot(l.shard, written+len(value))
	l.deleteParts(ctx, pending.obsolete)
	return nil
}

// newParts returns the parts to write.
func (s *pendingSnapshot) newParts() []*lacewire.LedgerPart {
	var list []*lacewire.LedgerPart
	for _, p := range s.parts {
		list = append(list, p.LedgerPart)
	}
	return list
}

// swapHead replaces the head by compare-and-swap. After an unknown outcome it reads the head back and retries with the
// same value.
//
// After the first unknown outcome the write may take effect at any time, and a newer head may refer to its parts, so
// every later failure is ErrUnknown as well.
func (l *Log) swapHead(ctx context.Context, previous snapshotHead, value []byte) (snapshotHead, error) {
	maybeWritten := false
	for range maxLoadAttempts {
		revision, err := l.store.Swap(ctx, laceplatform.Swap{
			Key:    l.headKey(),
			Value:  value,
			Expect: previous.revision,
		})
		if err == nil {
			return snapshotHead{revision: revision}, nil
		}
		maybeWritten = maybeWritten ||
			(!errors.Is(err, laceplatform.ErrConflict) && !errors.Is(err, laceplatform.ErrUnavailable))
		if !maybeWritten {
			return snapshotHead{}, err
		}
		kv, readErr := l.store.Get(ctx, l.headKey())
		if readErr == nil && bytes.Equal(kv.Value, value) {
			return snapshotHead{revision: kv.Revision}, nil
		}
		if !errors.Is(err, laceplatform.ErrUnknown) || (readErr != nil && !errors.Is(readErr, laceplatform.ErrMissing)) {
			break
		}
	}
	return snapshotHead{}, errors.Wrap(laceplatform.ErrUnknown, "writer: snapshot head may have been written")
}

// writePart writes a part. Its key contains a random number, so an existing key is this part, written by an attempt
// with an unknown outcome.
func (l *Log) writePart(ctx context.Context, p snapshotPart) error {
	key := laceplatform.Key(p.GetKey())
	var err error
	for range maxLoadAttempts {
		var revision laceplatform.Revision
		revision, err = l.store.Swap(ctx, laceplatform.Swap{
			Key:   key,
			Value: p.value,
		})
		switch {
		case err == nil:
			p.Revision = int64(revision)
			return nil
		case errors.Is(err, laceplatform.ErrConflict):
			kv, readErr := l.store.Get(ctx, key)
			if readErr == nil && !bytes.Equal(kv.Value, p.value) {
				return errors.Wrapf(ErrDamaged, "part %s exists with other content", key)
			}
			p.Revision = int64(kv.Revision)
			return readErr
		case !errors.Is(err, laceplatform.ErrUnknown):
			return err
		}
	}
	return err
}

// deleteParts deletes the parts that are known to be written. Parts that remain after a failure only waste space.
func (l *Log) deleteParts(ctx context.Context, parts []*lacewire.LedgerPart) {
	for _, p := range parts {
		if p.GetRevision() != 0 {
			_ = l.store.Delete(ctx, laceplatform.Key(p.GetKey()), laceplatform.Revision(p.GetRevision()))
		}
	}
}

// loadSnapshot reads the latest snapshot.
func (l *Log) loadSnapshot(ctx context.Context) (snapshotHead, *laceledger.State, error) {
	head, err := l.readHead(ctx)
	if err != nil || head.message == nil {
		return head, &laceledger.State{}, err
	}
	core := head.message.GetCore()
	var value []byte
	for _, part := range head.message.GetParts() {
		if value, err = l.readPart(ctx, part.GetKey()); err != nil {
			return head, nil, err
		}
		core = append(core, value...)
	}
	snapshot, err := lacewire.DecodeSnapshot(core)
	if err != nil {
		return head, nil, errors.Wrapf(ErrDamaged, "%s: %v", l.headKey(), err)
	}
	segments := make([]laceledger.Segment, len(head.message.GetSegments()))
	for i, ref := range head.message.GetSegments() {
		if value, err = l.readPart(ctx, ref.GetPart().GetKey()); err != nil {
			return head, nil, err
		}
		if segments[i], err = lacewire.DecodeSegment(value); err != nil {
			return head, nil, errors.Wrapf(ErrDamaged, "%s: %v", ref.GetPart().GetKey(), err)
		}
	}
	state, err := laceledger.Restore(snapshot, segments)
	if err != nil {
		return head, nil, errors.Wrapf(ErrDamaged, "%s: %v", l.headKey(), err)
	}
	return head, state, nil
}

// readPart reads a part, from the cache if an earlier load has read it.
func (l *Log) readPart(ctx context.Context, key string) ([]byte, error) {
	if b, ok := l.partCache[key]; ok {
		return b, nil
	}
	kv, err := l.store.Get(ctx, laceplatform.Key(key))
	if err != nil {
		return nil, err
	}
	l.partCache[key] = kv.Value
	return kv.Value, nil
}
