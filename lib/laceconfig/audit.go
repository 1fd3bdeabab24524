package laceconfig

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Record is the audit record of one accepted change.
type Record struct {
	Version laceunit.Version
	EditID  string
	Author  string
	Time    time.Time
	// Changes are redacted.
	Changes []Change
	// pieces is how many further values hold changes.
	pieces int
}

// pieceBytes is the size that one value of a record aims at; an entry adds at most twice maxEntry to it.
const pieceBytes = 256 << 10

// expireStep bounds the old records that one edit deletes.
const expireStep = 4

func changeFields(c *Change) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("section", "", &c.Section, Sections()...).Must(),
		laceyaml.String("entry", "", &c.Entry),
		laceyaml.Body("before", "", &c.Before),
		laceyaml.Body("after", "", &c.After),
	}
}

func recordFields(r *Record) []laceyaml.Field {
	return []laceyaml.Field{
		version("version", &r.Version),
		laceyaml.String("edit", "", &r.EditID),
		laceyaml.String("who", "", &r.Author),
		laceyaml.Time("when", "", &r.Time),
		laceyaml.Integer("pieces", "", &r.pieces, 0, 1<<20),
		laceyaml.List("changes", "", &r.Changes, changeFields),
	}
}

// mark tells which version an edit id made.
type mark struct {
	version laceunit.Version
	digest  laceunit.Digest
}

func markFields(m *mark) []laceyaml.Field {
	return []laceyaml.Field{
		version("version", &m.version),
		laceyaml.String("digest", "", &m.digest),
	}
}

func decodeMark(text []byte) (mark, error) {
	var m mark
	_, faults := laceyaml.Read(text, markFields(&m))
	return m, errors.Wrap(faults.Err(), "edit mark")
}

// finish writes the record of a head's last change and then deletes the bodies that only the former state used.
func (s *Store) finish(ctx context.Context, h Head) error {
	if h.Version == 0 {
		return nil
	}
	done, err := s.hasRecord(ctx, h)
	if done || err != nil {
		return err
	}
	if err = s.writeRecord(ctx, h); err != nil {
		return err
	}
	s.clean(ctx, h)
	return nil
}

func (s *Store) hasRecord(ctx context.Context, h Head) (bool, error) {
	_, err := s.platform.Get(ctx, auditKey(h.Version))
	if errors.Is(err, laceplatform.ErrMissing) {
		return false, nil
	}
	if err != nil {
		return false, outside(err)
	}
	return true, nil
}

// writeRecord writes the pieces and the edit's mark first and the record last: a record that is there is complete.
func (s *Store) writeRecord(ctx context.Context, h Head) error {
	if h.Version == 0 {
		return nil
	}
	r, err := s.record(ctx, h)
	if errors.Is(err, errMoved) {
		// The bodies of the former state are deleted only once the record is there.
		if done, again := s.hasRecord(ctx, h); done || again != nil {
			return again
		}
		return err
	}
	if err != nil {
		return err
	}
	pieces := r.split()
	for i, p := range pieces[1:] {
		text, again := laceyaml.Write([]laceyaml.Field{laceyaml.List("changes", "", &p, changeFields)})
		if again != nil {
			return again
		}
		if err = s.create(ctx, pieceKey(h.Version, i+1), text); err != nil {
			return err
		}
	}
	m := mark{
		version: h.Version,
		digest:  h.LastChange.Digest,
	}
	text, err := laceyaml.Write(markFields(&m))
	if err != nil {
		return err
	}
	if err = s.create(ctx, editKey(h.LastChange.EditID), text); err != nil {
		return err
	}
	r.Changes, r.pieces = pieces[0], len(pieces)-1
	if text, err = laceyaml.Write(recordFields(&r)); err != nil {
		return err
	}
	return s.create(ctx, auditKey(h.Version), text)
}

// create writes a value that is the same whoever writes it, so an existing one is as good.
func (s *Store) create(ctx context.Context, key laceplatform.Key, text []byte) error {
	for range tries {
		_, err := s.platform.Swap(ctx, laceplatform.Swap{
			Key:   key,
			Value: text,
		})
		switch {
		case err == nil, errors.Is(err, laceplatform.ErrConflict):
			return nil
		case errors.Is(err, laceplatform.ErrUnknown):
			continue // the next try conflicts if this one took effect
		default:
			return outside(err)
		}
	}
	return ErrUnavailable
}

func pieceKey(v laceunit.Version, i int) laceplatform.Key {
	return auditKey(v) + laceplatform.Key(fmt.Sprintf("/%06d", i))
}

// record makes the record of a head's last change from the bodies before and after it.
func (s *Store) record(ctx context.Context, h Head) (Record, error) {
	s.mu.Lock()
	known := s.known
	s.mu.Unlock()
	after := map[Section]Ref{}
	for n := range h.LastChange.Before {
		after[n] = h.Sections[n]
	}
	was := map[Section]Ref{}
	for n, r := range h.LastChange.Before {
		if r.Revision > 0 {
			was[n] = r
		}
	}
	old, _, err := s.content(ctx, was, known)
	if err != nil {
		return Record{}, err
	}
	now, _, err := s.content(ctx, after, known)
	if err != nil {
		return Record{}, err
	}
	changes := Diff(old, now)
	for i := range changes {
		changes[i] = changes[i].Redact()
	}
	return Record{
		Version: h.Version,
		EditID:  h.LastChange.EditID,
		Author:  h.LastChange.Author,
		Time:    h.LastChange.Time,
		Changes: changes,
	}, nil
}

// split cuts the changes so that each group fits into a value of the platform.
func (r Record) split() [][]Change {
	groups := [][]Change{nil}
	size := 0
	for _, c := range r.Changes {
		if size > pieceBytes {
			groups, size = append(groups, nil), 0
		}
		size += len(c.Before) + len(c.After) + len(c.Entry) + 64
		groups[len(groups)-1] = append(groups[len(groups)-1], c)
	}
	return groups
}

// History returns the records of up to limit changes, newest first, from a version downwards; zero starts at the newest.
func (s *Store) History(ctx context.Context, from laceunit.Version, limit int) ([]Record, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	if from == 0 || from > h.Version {
		from = h.Version
	}
	var all []Record
	for v := from; v > 0 && v >= h.OldestRecord && len(all) < limit; v-- {
		r, err := s.readRecord(ctx, v)
		if errors.Is(err, laceplatform.ErrMissing) && v == h.Version {
			if r, err = s.record(ctx, h); errors.Is(err, errMoved) {
				r, err = s.readRecord(ctx, v) // written meanwhile
			}
		}
		if errors.Is(err, laceplatform.ErrMissing) {
			break // deleted for its age
		}
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

func (s *Store) readRecord(ctx context.Context, v laceunit.Version) (Record, error) {
	e, err := s.platform.Get(ctx, auditKey(v))
	if errors.Is(err, laceplatform.ErrMissing) {
		return Record{}, err
	}
	if err != nil {
		return Record{}, outside(err)
	}
	var r Record
	if _, faults := laceyaml.Read(e.Value, recordFields(&r)); len(faults) > 0 {
		return Record{}, errors.Wrap(faults, "audit record")
	}
	for i := range r.pieces {
		if e, err = s.platform.Get(ctx, pieceKey(v, i+1)); err != nil {
			return Record{}, outside(err)
		}
		var more []Change
		if _, faults := laceyaml.Read(e.Value, []laceyaml.Field{laceyaml.List("changes", "", &more, changeFields)}); len(faults) > 0 {
			return Record{}, errors.Wrap(faults, "audit record")
		}
		r.Changes = append(r.Changes, more...)
	}
	return r, nil
}

// expire deletes a few records that are older than a time and returns the oldest version that is left.
func (s *Store) expire(ctx context.Context, h Head, before time.Time) laceunit.Version {
	oldest := max(h.OldestRecord, 1)
	for range expireStep {
		if oldest >= h.Version {
			return oldest
		}
		r, err := s.readRecord(ctx, oldest)
		if errors.Is(err, laceplatform.ErrMissing) {
			oldest++
			continue
		}
		if err != nil || !r.Time.Before(before) {
			return oldest
		}
		keys := []laceplatform.Key{editKey(r.EditID)}
		for i := range r.pieces {
			keys = append(keys, pieceKey(oldest, i+1))
		}
		keys = append(keys, auditKey(oldest))
		for _, k := range keys {
			if e, gone := s.platform.Get(ctx, k); gone == nil {
				_ = s.platform.Delete(ctx, k, e.Revision)
			}
		}
		oldest++
	}
	return oldest
}
