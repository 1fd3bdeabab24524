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
	// Version is the version that the edit created, or the current one when it changed nothing.
	Version laceunit.Version
	Changes []Change
	// Repeated is true when the same edit was accepted before.
	Repeated bool
}

// Plan returns what an edit would change now, or the error with which it would be rejected.
func (s *Store) Plan(ctx context.Context, f File) (Plan, error) {
	desired, err := fileContent(f)
	if err != nil {
		return Plan{}, err
	}
	snap, err := s.Snapshot(ctx)
	if err != nil {
		return Plan{}, err
	}
	p, err := mergeEdit(snap, f, desired)
	return p.plan, err
}

// Apply applies an edit. The edit is accepted by the compare-and-swap of the head. Its audit record is guaranteed from
// then on, because the next change is accepted only after the record of the last one has been written.
func (s *Store) Apply(ctx context.Context, e Edit) (Result, error) {
	if !laceyaml.IsID(e.ID) || strings.TrimSpace(e.Author) == "" || len(e.File.Sections) == 0 {
		return Result{}, ErrMalformed
	}
	desired, err := fileContent(e.File)
	if err != nil {
		return Result{}, err
	}
	a := attempt{
		store:   s,
		edit:    e,
		desired: desired,
		digest:  e.digest(desired),
	}
	return a.run(ctx)
}

// Amendment is a read-modify-write edit, derived from the current state, such as adding a key to a client account.
type Amendment struct {
	ID     string
	Author string
	Time   time.Time
	// Fingerprint distinguishes requests that use the same id.
	Fingerprint string
	Section     Section
	// Mutate returns the changed document; it must not modify its argument.
	Mutate func(Document) (Document, error)
}

// Amend applies an amendment. Each attempt derives the edit from the current state, so that it has no conflicts.
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
	for range maxAttempts {
		r, done, err := a.tryOnce(ctx)
		if done || err != nil {
			return r, a.classify(err)
		}
	}
	return Result{}, a.classify(ErrContention)
}

func fileContent(f File) (Content, error) {
	c := Content{}
	for _, n := range f.Sections {
		entries, err := encodeSection(f.Document, n)
		if err != nil {
			return nil, err
		}
		c[n] = entries
	}
	return c, nil
}

// deriveEdit sets the edit of an amendment from the current state.
func (a *attempt) deriveEdit(snap Snapshot) error {
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
	a.desired, err = fileContent(a.edit.File)
	return err
}

// attempt is the state of an edit across its retries.
type attempt struct {
	store   *Store
	edit    Edit
	desired Content
	digest  laceunit.Digest
	// amendment replaces the edit's file at each try; it is nil for plain edits.
	amendment *Amendment
	// swapPending is true while a compare-and-swap with an unknown outcome, which expects swapRevision, may still take
	// effect.
	swapPending  bool
	swapRevision laceplatform.Revision
}

// classify converts an error to ErrUnknown while an earlier compare-and-swap may still take effect.
func (a *attempt) classify(err error) error {
	if err != nil && a.swapPending {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return err
}

// tryOnce tries the edit against the current head; it reports false when the edit must be retried.
func (a *attempt) tryOnce(ctx context.Context) (Result, bool, error) {
	h, err := a.store.Head(ctx)
	if err != nil {
		return Result{}, false, err
	}
	err = a.store.finishChange(ctx, h)
	if errors.Is(err, errHeadChanged) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	r, accepted, err := a.findAccepted(ctx, h)
	if accepted || err != nil {
		a.swapPending = a.swapPending && !accepted
		return r, accepted, err
	}
	if a.swapPending && h.Revision != a.swapRevision {
		a.swapPending = false // the head has another revision than the pending swap expects, so the swap failed
	}
	snap, err := a.store.Load(ctx, h)
	if errors.Is(err, errHeadChanged) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, err
	}
	if err = a.deriveEdit(snap); err != nil {
		return Result{}, false, err
	}
	p, err := mergeEdit(snap, a.edit.File, a.desired)
	if err != nil {
		return Result{}, false, err
	}
	if len(p.plan.Changes) == 0 {
		return Result{Version: h.Version}, true, nil
	}
	next, err := a.writeBodies(ctx, h, p, snap.Document.Audit)
	if err != nil {
		return Result{}, false, err
	}
	done, err := a.swapHead(ctx, next, h.Revision)
	if !done || err != nil {
		return Result{}, false, err
	}
	return Result{
		Version: next.Version,
		Changes: p.plan.Changes,
	}, true, nil
}

// findAccepted looks up an edit with the same id among those accepted up to this head.
func (a *attempt) findAccepted(ctx context.Context, h Head) (Result, bool, error) {
	if h.Version == 0 {
		return Result{}, false, nil
	}
	e, err := a.store.platform.Get(ctx, editKey(a.edit.ID))
	if errors.Is(err, laceplatform.ErrMissing) {
		return Result{}, false, nil
	}
	if err != nil {
		return Result{}, false, platformError(err)
	}
	m, err := decodeAcceptedEdit(e.Value)
	if err != nil {
		return Result{}, false, err
	}
	if m.digest != a.digest {
		a.swapPending = false
		return Result{}, false, ErrEditIDReused
	}
	return Result{
		Version:  m.version,
		Repeated: true,
	}, true, nil
}

// writeBodies writes the bodies of the changed sections and returns the head that refers to them.
func (a *attempt) writeBodies(ctx context.Context, h Head, p mergedEdit, audit Audit) (Head, error) {
	next := Head{
		Version:      h.Version + 1,
		Sections:     map[Section]Ref{},
		OldestRecord: a.store.expireRecords(ctx, h, a.edit.Time.Add(-audit.Retention)),
		LastChange: LastChange{
			EditID: a.edit.ID,
			Author: a.edit.Author,
			Time:   a.edit.Time.UTC(),
			Digest: a.digest,
			Before: map[Section]Ref{},
		},
	}
	maps.Copy(next.Sections, h.Sections)
	referenced := referencedBodies(h.Sections)
	for _, n := range p.plan.Sections {
		parts, err := splitIntoParts(n, p.content[n])
		if err != nil {
			return Head{}, err
		}
		for _, body := range parts {
			if referenced[body.digest] {
				continue
			}
			if err = a.store.putBody(ctx, body); err != nil {
				return Head{}, err
			}
		}
		next.LastChange.Before[n] = h.Sections[n]
		next.Sections[n] = Ref{
			Revision: next.Version,
			Author:   next.LastChange.Author,
			Time:     next.LastChange.Time,
			Parts:    partDigests(parts),
		}
	}
	return next, nil
}

// swapHead replaces the head by compare-and-swap and reports whether it certainly succeeded. The next try resolves an
// unknown outcome.
func (a *attempt) swapHead(ctx context.Context, next Head, expect laceplatform.Revision) (bool, error) {
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
		a.swapPending = false
		// The edit is accepted; if its record can't be written now, it is written before the next change.
		_ = a.store.finishChange(ctx, next)
		return true, nil
	case errors.Is(err, laceplatform.ErrConflict):
		return false, nil
	case errors.Is(err, laceplatform.ErrUnknown):
		a.swapPending, a.swapRevision = true, expect
		return false, nil
	default:
		return false, platformError(err)
	}
}
