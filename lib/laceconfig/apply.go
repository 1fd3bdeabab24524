package laceconfig

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Result is an accepted edit.
type Result struct {
	// Version is the version that the edit made, or the current one when it changed nothing.
	Version laceunit.Version
	Changes []Change
	// Repeated is true when an edit with the same id had been accepted before.
	Repeated bool
}

// Plan returns what an edit would change now, or why it would not be accepted.
func (s *Store) Plan(ctx context.Context, f File) (Plan, error) {
	wanted, err := wantedContent(f)
	if err != nil {
		return Plan{}, err
	}
	snap, err := s.Snapshot(ctx)
	if err != nil {
		return Plan{}, err
	}
	p, err := propose(snap, f, wanted)
	return p.plan, err
}

// Apply carries an edit out. It is accepted when the head has been swapped: its record is then certain,
// because the next change is accepted only after the record of the last one has been written.
func (s *Store) Apply(ctx context.Context, e Edit) (Result, error) {
	if !laceyaml.IsID(e.ID) || strings.TrimSpace(e.Author) == "" || len(e.File.Sections) == 0 {
		return Result{}, ErrMalformed
	}
	wanted, err := wantedContent(e.File)
	if err != nil {
		return Result{}, err
	}
	a := attempt{
		store:  s,
		edit:   e,
		wanted: wanted,
		digest: e.digest(wanted),
	}
	return a.run(ctx)
}

// Amendment is an edit that follows from the current state, such as a key added to a client account.
type Amendment struct {
	ID     string
	Author string
	Time   time.Time
	// Asks tells one request from another under the same id.
	Fingerprint string
	Section     Section
	// Change returns the document after the change; it must not modify the one it is given.
	Mutate func(Document) (Document, error)
}

// Amend carries an amendment out against the state of the moment, so it conflicts with nobody.
func (s *Store) Amend(ctx context.Context, m Amendment) (Result, error) {
	if !laceyaml.IsID(m.ID) || strings.TrimSpace(m.Author) == "" || !m.Section.Exists() {
		return Result{}, ErrMalformed
	}
	sum := sha256.Sum256([]byte(m.Fingerprint))
	a := attempt{
		store: s,
		edit: Edit{
			ID:     m.ID,
			Author: m.Author,
			Time:   m.Time,
		},
		amendment: &m,
		digest:    laceunit.Digest(hex.EncodeToString(sum[:])),
	}
	return a.run(ctx)
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	for range tries {
		r, done, err := a.once(ctx)
		if done || err != nil {
			return r, a.classify(err)
		}
	}
	return Result{}, a.classify(ErrContention)
}

func wantedContent(f File) (Content, error) {
	c := Content{}
	for _, n := range f.Sections {
		entries, err := splitSection(f.Document, n)
		if err != nil {
			return nil, err
		}
		c[n] = entries
	}
	return c, nil
}

// derive makes the edit of an amendment from the current state.
func (a *attempt) derive(snap Snapshot) error {
	if a.amendment == nil {
		return nil
	}
	d, err := a.amendment.Mutate(snap.Document)
	if err != nil {
		return err
	}
	a.edit.File = File{
		Document: d,
		Sections: []Section{a.amendment.Section},
		Base:     snap.VersionStamps(),
	}
	a.wanted, err = wantedContent(a.edit.File)
	return err
}

// attempt is the state of one edit over its tries.
type attempt struct {
	store  *Store
	edit   Edit
	wanted Content
	digest laceunit.Digest
	// amendment replaces the edit's file at each try; nil for plain edits.
	amendment *Amendment
	// unresolved is true while a swap whose answer was lost may still take effect; it expected the revision at.
	unresolved bool
	at         laceplatform.Revision
}

// classify turns a failure into ErrUnknown while an earlier swap may still take effect.
func (a *attempt) classify(err error) error {
	if err != nil && a.unresolved {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return err
}

// once tries the edit against the current head; it reports done when there is nothing left to try.
func (a *attempt) once(ctx context.Context) (Result, bool, error) {
	h, err := a.store.Head(ctx)
	if err != nil {
		return Result{}, false, err
	}
	err = a.store.finish(ctx, h)
	if errors.Is(err, errMoved) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	r, known, err := a.earlier(ctx, h)
	if known || err != nil {
		a.unresolved = a.unresolved && !known
		return r, known, err
	}
	if a.unresolved && h.Revision != a.at {
		a.unresolved = false // the head has moved past the swap in doubt, so it failed
	}
	snap, err := a.store.Load(ctx, h)
	if errors.Is(err, errMoved) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	if err = a.derive(snap); err != nil {
		return Result{}, false, err
	}
	p, err := propose(snap, a.edit.File, a.wanted)
	if err != nil {
		return Result{}, false, err
	}
	if len(p.plan.Changes) == 0 {
		return Result{Version: h.Version}, true, nil
	}
	next, err := a.write(ctx, h, p, snap.Document.Audit)
	if err != nil {
		return Result{}, false, err
	}
	done, err := a.swap(ctx, next, h.Revision)
	if !done || err != nil {
		return Result{}, false, err
	}
	return Result{
		Version: next.Version,
		Changes: p.plan.Changes,
	}, true, nil
}

// earlier looks for the same edit among those accepted before this head or by it.
func (a *attempt) earlier(ctx context.Context, h Head) (Result, bool, error) {
	if h.Version == 0 {
		return Result{}, false, nil
	}
	e, err := a.store.platform.Get(ctx, editKey(a.edit.ID))
	if errors.Is(err, laceplatform.ErrMissing) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, outside(err)
	}
	m, err := decodeMark(e.Value)
	if err != nil {
		return Result{}, false, err
	}
	if m.digest != a.digest {
		a.unresolved = false
		return Result{}, false, ErrEditIDReused
	}
	return Result{
		Version:  m.version,
		Repeated: true,
	}, true, nil
}

// write puts the bodies of the changed sections and returns the head that refers to them.
func (a *attempt) write(ctx context.Context, h Head, p proposal, keep Audit) (Head, error) {
	next := Head{
		Version:      h.Version + 1,
		Sections:     map[Section]Ref{},
		OldestRecord: a.store.expire(ctx, h, a.edit.Time.Add(-keep.Retention)),
		LastChange: LastChange{
			EditID: a.edit.ID,
			Author: a.edit.Author,
			Time:   a.edit.Time.UTC(),
			Digest: a.digest,
			Before: map[Section]Ref{},
		},
	}
	maps.Copy(next.Sections, h.Sections)
	used := bodies(h.Sections)
	for _, n := range p.plan.Sections {
		cut, err := parts(n, p.content[n])
		if err != nil {
			return Head{}, err
		}
		for _, x := range cut {
			if used[x.digest] {
				continue
			}
			if err = a.store.put(ctx, x); err != nil {
				return Head{}, err
			}
		}
		next.LastChange.Before[n] = h.Sections[n]
		next.Sections[n] = Ref{
			Revision: next.Version,
			Author:   next.LastChange.Author,
			Time:     next.LastChange.Time,
			Parts:    digestList(cut),
		}
	}
	return next, nil
}

// swap makes the head current; it reports whether that is certain. A lost answer is settled by the next try.
func (a *attempt) swap(ctx context.Context, next Head, expect laceplatform.Revision) (bool, error) {
	text, err := next.encode()
	if err != nil {
		return false, err
	}
	next.Revision, err = a.store.platform.Swap(ctx, laceplatform.Swap{
		Key:    HeadKey,
		Value:  text,
		Expect: expect,
	})
	switch {
	case err == nil:
		a.unresolved = false
		// The edit is accepted; a record that can't be written now is written before the next change.
		_ = a.store.finish(ctx, next)
		return true, nil
	case errors.Is(err, laceplatform.ErrConflict):
		return false, nil
	case errors.Is(err, laceplatform.ErrUnknown):
		a.unresolved, a.at = true, expect
		return false, nil
	default:
		return false, outside(err)
	}
}
