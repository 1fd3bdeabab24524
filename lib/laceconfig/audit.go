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
	// Changes have truncated key hashes.
	Changes []Change
	// chunks is the number of additional values that contain changes.
	chunks int
}

// targetChunkBytes is the target size of one value of a record; an entry exceeds it by at most twice maxEntryBytes.
const targetChunkBytes = 256 << 10

// maxExpiredPerEdit bounds the expired records that one edit deletes.
const maxExpiredPerEdit = 4

func changeFields(c *Change) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("section", "", &c.Section, Sections()...).AsRequired(),
		laceyaml.String("entry", "", &c.Entry),
		laceyaml.RawText("before", "", &c.Before),
		laceyaml.RawText("after", "", &c.After),
	}
}

func recordFields(r *Record) []laceyaml.Field {
	return []laceyaml.Field{
		versionField("version", &r.Version),
		laceyaml.String("edit", "", &r.EditID),
		laceyaml.String("who", "", &r.Author),
		laceyaml.Time("when", "", &r.Time),
		laceyaml.Integer("pieces", "", &r.chunks, 0, 1<<20),
		laceyaml.List("changes", "", &r.Changes, changeFields),
	}
}

// acceptedEdit records the version that an edit id created, to detect repeated edits.
type acceptedEdit struct {
	version laceunit.Version
	digest  laceunit.Digest
}

func acceptedEditFields(m *acceptedEdit) []laceyaml.Field {
	return []laceyaml.Field{
		versionField("version", &m.version),
		laceyaml.String("digest", "", &m.digest),
	}
}

func decodeAcceptedEdit(text []byte) (acceptedEdit, error) {
	var m acceptedEdit
	_, faults := laceyaml.Decode(text, acceptedEditFields(&m))
	return m, errors.Wrap(faults.Err(), "accepted edit record")
}

// finishChange writes the record of a head's last change and then deletes the bodies that only the previous state used.
func (s *Store) finishChange(ctx context.Context, h Head) error {
	if h.Version == 0 {
		return nil
	}
	exists, err := s.hasRecord(ctx, h)
	if exists || err != nil {
		return err
	}
	if err = s.writeRecord(ctx, h); err != nil {
		return err
	}
	s.deleteSupersededBodies(ctx, h)
	return nil
}

func (s *Store) hasRecord(ctx context.Context, h Head) (bool, error) {
	_, err := s.platform.Get(ctx, auditKey(h.Version))
	if errors.Is(err, laceplatform.ErrMissing) {
		return false, nil
	}
	if err != nil {
		return false, platformError(err)
	}
	return true, nil
}

// writeRecord writes the record last, after its chunks and the accepted edit: an existing record is complete.
func (s *Store) writeRecord(ctx context.Context, h Head) error {
	if h.Version == 0 {
		return nil
	}
	r, err := s.buildRecord(ctx, h)
	if errors.Is(err, errHeadChanged) {
		// The bodies of the previous state are deleted only after the record has been written, so it may exist by now.
		if exists, readErr := s.hasRecord(ctx, h); exists || readErr != nil {
			return readErr
		}
		return err
	}
	if err != nil {
		return err
	}
	groups := r.splitChanges()
	for i, group := range groups[1:] {
		text, writeErr := laceyaml.Encode([]laceyaml.Field{laceyaml.List("changes", "", &group, changeFields)})
		if writeErr != nil {
			return writeErr
		}
		if err = s.createIfAbsent(ctx, chunkKey(h.Version, i+1), text); err != nil {
			return err
		}
	}
	m := acceptedEdit{
		version: h.Version,
		digest:  h.LastChange.Digest,
	}
	text, err := laceyaml.Encode(acceptedEditFields(&m))
	if err != nil {
		return err
	}
	if err = s.createIfAbsent(ctx, editKey(h.LastChange.EditID), text); err != nil {
		return err
	}
	r.Changes, r.chunks = groups[0], len(groups)-1
	if text, err = laceyaml.Encode(recordFields(&r)); err != nil {
		return err
	}
	return s.createIfAbsent(ctx, auditKey(h.Version), text)
}

// createIfAbsent writes a value that is identical on every instance, so that an existing one is equivalent.
func (s *Store) createIfAbsent(ctx context.Context, key laceplatform.Key, text []byte) error {
	for range maxAttempts {
		_, err := s.platform.Swap(ctx, laceplatform.Swap{
			Key:   key,
			Value: text,
		})
		switch {
		case err == nil, errors.Is(err, laceplatform.ErrConflict):
			return nil
		case errors.Is(err, laceplatform.ErrUnknown):
			continue // the next attempt returns ErrConflict if this one took effect
		default:
			return platformError(err)
		}
	}
	return ErrUnavailable
}

func chunkKey(v laceunit.Version, i int) laceplatform.Key {
	return auditKey(v) + laceplatform.Key(fmt.Sprintf("/%06d", i))
}

// buildRecord builds the record of a head's last change from the bodies before and after it.
func (s *Store) buildRecord(ctx context.Context, h Head) (Record, error) {
	s.mu.Lock()
	bodies := s.cachedBodies
	s.mu.Unlock()
	currentRefs := map[Section]Ref{}
	for n := range h.LastChange.Before {
		currentRefs[n] = h.Sections[n]
	}
	previousRefs := map[Section]Ref{}
	for n, r := range h.LastChange.Before {
		if r.Revision > 0 {
			previousRefs[n] = r
		}
	}
	previous, _, err := s.loadContent(ctx, previousRefs, bodies)
	if err != nil {
		return Record{}, err
	}
	current, _, err := s.loadContent(ctx, currentRefs, bodies)
	if err != nil {
		return Record{}, err
	}
	changes := Diff(previous, current)
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

// splitChanges splits the changes into groups that each fit into a value of the platform.
func (r Record) splitChanges() [][]Change {
	groups := [][]Change{nil}
	size := 0
	for _, c := range r.Changes {
		if size > targetChunkBytes {
			groups, size = append(groups, nil), 0
		}
		size += len(c.Before) + len(c.After) + len(c.Entry) + 64
		groups[len(groups)-1] = append(groups[len(groups)-1], c)
	}
	return groups
}

// History returns up to limit records, newest first, starting at version from; zero starts at the newest.
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
			if r, err = s.buildRecord(ctx, h); errors.Is(err, errHeadChanged) {
				r, err = s.readRecord(ctx, v) // another instance has written it in the meantime
			}
		}
		if errors.Is(err, laceplatform.ErrMissing) {
			break // expired
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
		return Record{}, platformError(err)
	}
	var r Record
	if _, faults := laceyaml.Decode(e.Value, recordFields(&r)); len(faults) > 0 {
		return Record{}, errors.Wrap(faults, "audit record")
	}
	for i := range r.chunks {
		if e, err = s.platform.Get(ctx, chunkKey(v, i+1)); err != nil {
			return Record{}, platformError(err)
		}
		var chunk []Change
		if _, faults := laceyaml.Decode(e.Value, []laceyaml.Field{
			laceyaml.List("changes", "", &chunk, changeFields),
		}); len(faults) > 0 {
			return Record{}, errors.Wrap(faults, "audit record")
		}
		r.Changes = append(r.Changes, chunk...)
	}
	return r, nil
}

// expireRecords deletes up to maxExpiredPerEdit records from before a time and returns the oldest version that is left.
func (s *Store) expireRecords(ctx context.Context, h Head, before time.Time) laceunit.Version {
	oldest := max(h.OldestRecord, 1)
	for range maxExpiredPerEdit {
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
		for i := range r.chunks {
			keys = append(keys, chunkKey(oldest, i+1))
		}
		keys = append(keys, auditKey(oldest))
		for _, k := range keys {
			if e, getErr := s.platform.Get(ctx, k); getErr == nil {
				_ = s.platform.Delete(ctx, k, e.Revision)
			}
		}
		oldest++
	}
	return oldest
}
