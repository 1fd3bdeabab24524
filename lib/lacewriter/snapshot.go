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

// part is one key beside a snapshot's head, with the value that is to be written.
type part struct {
	*lacewire.LedgerPart
	value []byte
}

// draft is a snapshot that is about to be written.
type draft struct {
	message *lacewire.LedgerHead
	parts   []part
	// old lists the keys that the head before this one needs and this one does not.
	old []*lacewire.LedgerPart
}

// Due reports whether a snapshot should be written.
func (l *Log) SnapshotDue() bool { return l.behind() >= snapshotEvery }

// Snapshot writes a snapshot of the state as it is known here, unless a newer one exists.
func (l *Log) Snapshot(ctx context.Context) error {
	if err := acquire(ctx, l.snapshotLock); err != nil {
		return err
	}
	defer func() { <-l.snapshotLock }()
	for range loadTries {
		// Another appender may have written one meanwhile.
		h, err := l.readHead(ctx)
		if err != nil {
			return err
		}
		l.adopt(h)
		d, err := l.draft(h)
		if err != nil || d == nil {
			return err
		}
		err = l.publish(ctx, h, d)
		if !errors.Is(err, laceplatform.ErrConflict) {
			return err
		}
	}
	return errors.Wrap(laceplatform.ErrUnavailable, "writer: snapshot head kept moving")
}

func (l *Log) readHead(ctx context.Context) (head, error) {
	kv, err := l.store.Get(ctx, l.headKey())
	if errors.Is(err, laceplatform.ErrMissing) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	m, err := lacewire.DecodeHead(kv.Value)
	if err != nil {
		return head{}, errors.Wrapf(ErrDamaged, "%s: %v", kv.Key, err)
	}
	return head{
		revision: kv.Revision,
		message:  m,
	}, nil
}

// adopt takes over a head that is newer than the known one.
func (l *Log) adopt(h head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.sequence() > l.head.sequence() {
		l.head = h
	}
}

// draft encodes the state; it returns nil when the head is as new as the state.
func (l *Log) draft(h head) (*draft, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil || l.state.Sequence() <= h.sequence() {
		return nil, nil
	}
	d := &draft{message: &lacewire.LedgerHead{Sequence: uint64(l.state.Sequence())}}
	core, err := lacewire.EncodeSnapshot(l.state.Snapshot())
	if err != nil {
		return nil, err
	}
	if len(core) <= l.partBytes {
		d.message.Core = core
	}
	for len(d.message.Core) == 0 && len(core) > 0 {
		n := min(l.partBytes, len(core))
		d.message.Parts = append(d.message.Parts, l.add(d, core[:n]))
		core = core[n:]
	}
	d.old = append(d.old, h.message.GetParts()...)
	refs := map[int][]*lacewire.LedgerSegmentRef{}
	for _, r := range h.message.GetSegments() {
		c := int(r.GetClass())
		refs[c] = append(refs[c], r)
	}
	for c := range laceledger.RetentionClassCount {
		if err := l.draftClass(d, c, refs[c]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// add plans a part; its revision is filled in when it is written.
func (l *Log) add(d *draft, value []byte) *lacewire.LedgerPart {
	p := &lacewire.LedgerPart{
		Key: string(l.prefix("part")) + strconv.FormatUint(d.message.GetSequence(), 10) + "-" + strconv.FormatUint(l.random(), 36),
	}
	d.parts = append(d.parts, part{
		LedgerPart: p,
		value:      value,
	})
	return p
}

// draftClass keeps the segments that still hold something and adds what ended since the last one.
//
// Segments are merged while the last one is at most twice as large as what is added,
// so that a request is rewritten a logarithmic number of times and the head stays short.
func (l *Log) draftClass(d *draft, class int, refs []*lacewire.LedgerSegmentRef) error {
	var first uint64
	kept := refs[:0:0]
	for _, r := range refs {
		first = r.GetNext()
		if l.state.Expired(class, r.GetNewest()) {
			d.old = append(d.old, r.GetPart())
			continue
		}
		kept = append(kept, r)
	}
	fresh, size, err := l.segment(class, first)
	if err != nil {
		return err
	}
	if len(fresh.Ended) == 0 {
		d.message.Segments = append(d.message.Segments, kept...)
		return nil
	}
	merged := false
	for n := len(kept); n > 0; n = len(kept) {
		r := kept[n-1]
		if int(r.GetBytes()) > 2*size || int(r.GetBytes())+size > l.partBytes {
			break
		}
		first, size, merged = r.GetFirst(), size+int(r.GetBytes()), true
		d.old = append(d.old, r.GetPart())
		kept = kept[:n-1]
	}
	d.message.Segments = append(d.message.Segments, kept...)
	if merged {
		if fresh, _, err = l.segment(class, first); err != nil {
			return err
		}
	}
	return l.addSegments(d, class, fresh)
}

// segment returns the ended requests from a number on and their encoded size.
func (l *Log) segment(class int, first uint64) (laceledger.Segment, int, error) {
	g := l.state.Segment(class, first, int(^uint(0)>>1))
	b, err := lacewire.EncodeSegment(g)
	return g, len(b), err
}

// addSegments adds a segment, cut into pieces that fit into a part.
func (l *Log) addSegments(d *draft, class int, g laceledger.Segment) error {
	b, err := lacewire.EncodeSegment(g)
	if err != nil {
		return err
	}
	if n := len(g.Ended); len(b) > l.partBytes && n > 1 {
		left, right := g, g
		middle := g.Ended[n/2].Number
		left.Ended, left.Next = g.Ended[:n/2], middle
		right.Ended, right.First = g.Ended[n/2:], middle
		if err := l.addSegments(d, class, left); err != nil {
			return err
		}
		return l.addSegments(d, class, right)
	}
	d.message.Segments = append(d.message.Segments, &lacewire.LedgerSegmentRef{
		Class:  uint32(class),
		First:  g.First,
		Next:   g.Next,
		Newest: g.LastEndTime(),
		Bytes:  uint64(len(b)),
		Part:   l.add(d, b),
	})
	return nil
}

// publish writes the parts, swaps the head and removes the parts that nothing needs any more.
func (l *Log) publish(ctx context.Context, h head, d *draft) error {
	written := 0
	for _, p := range d.parts {
		if err := l.put(ctx, p); err != nil {
			l.drop(ctx, d.fresh())
			return err
		}
		written += len(p.value)
	}
	value, err := lacewire.EncodeHead(d.message)
	if err != nil {
		return err
	}
	n, err := l.swapHead(ctx, h, value)
	if errors.Is(err, laceplatform.ErrUnknown) {
		// The head may point at the new parts, so they stay.
		return err
	}
	if err != nil {
		l.drop(ctx, d.fresh())
		return err
	}
	n.message = d.message
	l.adopt(n)
	l.observer.Snapshot(l.shard, written+len(value))
	l.drop(ctx, d.old)
	return nil
}

func (d *draft) fresh() []*lacewire.LedgerPart {
	var list []*lacewire.LedgerPart
	for _, p := range d.parts {
		list = append(list, p.LedgerPart)
	}
	return list
}

// swapHead replaces the head; after a lost answer it reads back and repeats the same swap.
//
// Once an answer was lost, the swap may take effect at any time and a newer head may build on its parts,
// so every later failure is ErrUnknown as well.
func (l *Log) swapHead(ctx context.Context, h head, value []byte) (head, error) {
	unsure := false
	for range loadTries {
		revision, err := l.store.Swap(ctx, laceplatform.Swap{
			Key:    l.headKey(),
			Value:  value,
			Expect: h.revision,
		})
		if err == nil {
			return head{revision: revision}, nil
		}
		unsure = unsure || (!errors.Is(err, laceplatform.ErrConflict) && !errors.Is(err, laceplatform.ErrUnavailable))
		if !unsure {
			return head{}, err
		}
		kv, readErr := l.store.Get(ctx, l.headKey())
		if readErr == nil && bytes.Equal(kv.Value, value) {
			return head{revision: kv.Revision}, nil
		}
		if !errors.Is(err, laceplatform.ErrUnknown) || (readErr != nil && !errors.Is(readErr, laceplatform.ErrMissing)) {
			break
		}
	}
	return head{}, errors.Wrap(laceplatform.ErrUnknown, "writer: snapshot head may have been written")
}

// put writes a part; its key is drawn at random, so a key that exists is this part from a swap whose answer was lost.
func (l *Log) put(ctx context.Context, p part) error {
	key := laceplatform.Key(p.GetKey())
	var err error
	for range loadTries {
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

// drop removes parts that are known to be written; what a failure leaves behind takes space and does no harm.
func (l *Log) drop(ctx context.Context, parts []*lacewire.LedgerPart) {
	for _, p := range parts {
		if p.GetRevision() != 0 {
			_ = l.store.Delete(ctx, laceplatform.Key(p.GetKey()), laceplatform.Revision(p.GetRevision()))
		}
	}
}

// loadSnapshot reads the newest snapshot.
func (l *Log) loadSnapshot(ctx context.Context) (head, *laceledger.State, error) {
	h, err := l.readHead(ctx)
	if err != nil || h.message == nil {
		return h, &laceledger.State{}, err
	}
	core := h.message.GetCore()
	var b []byte
	for _, k := range h.message.GetParts() {
		if b, err = l.part(ctx, k.GetKey()); err != nil {
			return h, nil, err
		}
		core = append(core, b...)
	}
	p, err := lacewire.DecodeSnapshot(core)
	if err != nil {
		return h, nil, errors.Wrapf(ErrDamaged, "%s: %v", l.headKey(), err)
	}
	segments := make([]laceledger.Segment, len(h.message.GetSegments()))
	for i, r := range h.message.GetSegments() {
		if b, err = l.part(ctx, r.GetPart().GetKey()); err != nil {
			return h, nil, err
		}
		if segments[i], err = lacewire.DecodeSegment(b); err != nil {
			return h, nil, errors.Wrapf(ErrDamaged, "%s: %v", r.GetPart().GetKey(), err)
		}
	}
	s, err := laceledger.Restore(p, segments)
	if err != nil {
		return h, nil, errors.Wrapf(ErrDamaged, "%s: %v", l.headKey(), err)
	}
	return h, s, nil
}

func (l *Log) part(ctx context.Context, key string) ([]byte, error) {
	if b, ok := l.parts[key]; ok {
		return b, nil
	}
	kv, err := l.store.Get(ctx, laceplatform.Key(key))
	if err != nil {
		return nil, err
	}
	l.parts[key] = kv.Value
	return kv.Value, nil
}
