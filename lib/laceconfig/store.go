package laceconfig

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Errors of the configuration's store.
var (
	// ErrUnavailable means that the platform could not be reached and nothing was changed.
	ErrUnavailable = errors.New("configuration: platform unavailable")
	// ErrUnknown means that an edit may have been accepted; repeating it with the same id is safe.
	ErrUnknown = errors.New("configuration: outcome unknown, repeat the edit with the same id")
	// ErrBusy means that other edits were accepted too often meanwhile; nothing was changed.
	ErrContention = errors.New("configuration: too many concurrent edits")
	// ErrReused means that the edit's id was used before for another edit.
	ErrEditIDReused = errors.New("configuration: edit id was used for another edit")
	// ErrMalformed means that an edit lacks an id, an editor or a section.
	ErrMalformed = errors.New("configuration: malformed edit")

	// errMoved means that a body is gone because the head has moved on.
	errMoved = errors.New("configuration: head has moved")
)

// tries bounds the repetitions after a conflict with other writers.
const tries = 8

// Store reads and edits the document in the platform.
type Store struct {
	platform laceplatform.Store

	mu    sync.Mutex
	cache Snapshot
	// known are the entries of the bodies of the cached head.
	known map[laceunit.Digest]map[string]string
}

// NewStore returns a store over the platform.
func NewStore(platform laceplatform.Store) *Store {
	return &Store{
		platform: platform,
	}
}

// Snapshot is one accepted state of the document.
type Snapshot struct {
	Head     Head
	Content  Content
	Document Document
}

// Stamps returns the stamp of each section.
func (s Snapshot) VersionStamps() map[Section]VersionStamp {
	all := map[Section]VersionStamp{}
	for _, n := range Sections() {
		if r := s.Head.Sections[n]; r.Revision > 0 {
			all[n] = r.VersionStamp()
		}
	}
	return all
}

// Head reads the head; before the first edit it is the zero head.
func (s *Store) Head(ctx context.Context) (Head, error) {
	e, err := s.platform.Get(ctx, HeadKey)
	if errors.Is(err, laceplatform.ErrMissing) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, outside(err)
	}
	return DecodeHead(e)
}

// Snapshot reads the current state.
func (s *Store) Snapshot(ctx context.Context) (Snapshot, error) {
	for range tries {
		h, err := s.Head(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		snap, err := s.Load(ctx, h)
		if errors.Is(err, errMoved) {
			continue
		}
		return snap, err
	}
	return Snapshot{}, ErrContention
}

// Show returns the current document with the stamps that an edit starts from.
func (s *Store) Show(ctx context.Context) (File, error) {
	snap, err := s.Snapshot(ctx)
	if err != nil {
		return File{}, err
	}
	return File{
		Document: snap.Document,
		Sections: Sections(),
		Base:     snap.VersionStamps(),
	}, nil
}

// Load reads the state that a head names; bodies of the former head are not read again.
func (s *Store) Load(ctx context.Context, h Head) (Snapshot, error) {
	s.mu.Lock()
	old, known := s.cache, s.known
	s.mu.Unlock()
	if old.Content != nil && old.Head.Revision == h.Revision {
		return old, nil
	}
	if old.Content == nil {
		d := Default()
		c, err := Split(d)
		if err != nil {
			return Snapshot{}, err
		}
		old = Snapshot{
			Content:  c,
			Document: d,
		}
	}
	content, read, err := s.content(ctx, h.Sections, known)
	if err != nil {
		return Snapshot{}, err
	}
	d, err := Patch(old.Document, Diff(old.Content, content))
	if err != nil {
		return Snapshot{}, err
	}
	d.Version = h.Version
	snap := Snapshot{
		Head:     h,
		Content:  content,
		Document: d,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cache.Content == nil || h.Revision > s.cache.Head.Revision {
		s.cache, s.known = snap, read
	}
	return snap, nil
}

// content reads sections; those without a reference have their defaults.
func (s *Store) content(
	ctx context.Context, refs map[Section]Ref, known map[laceunit.Digest]map[string]string,
) (Content, map[laceunit.Digest]map[string]string, error) {
	content, err := Split(Default())
	if err != nil {
		return nil, nil, err
	}
	read := map[laceunit.Digest]map[string]string{}
	for n, ref := range refs {
		all := map[string]string{}
		for _, p := range ref.Parts {
			entries, ok := known[p]
			if !ok {
				if entries, err = s.body(ctx, p); err != nil {
					return nil, nil, err
				}
			}
			read[p] = entries
			for id, body := range entries {
				all[id] = body
			}
		}
		content[n] = all
	}
	return content, read, nil
}

func (s *Store) body(ctx context.Context, d laceunit.Digest) (map[string]string, error) {
	e, err := s.platform.Get(ctx, bodyKey(d))
	if errors.Is(err, laceplatform.ErrMissing) {
		return nil, errMoved
	}
	if err != nil {
		return nil, outside(err)
	}
	_, entries, err := decodePart(e.Value)
	return entries, err
}

func bodyKey(d laceunit.Digest) laceplatform.Key {
	return bodyPrefix + laceplatform.Key(d)
}

// put writes a body and leaves it at a revision newer than any head that was read before the call,
// also when it is there already: clean deletes only bodies that are older than the head.
func (s *Store) put(ctx context.Context, p part) error {
	expect := laceplatform.Revision(0)
	for range tries {
		_, err := s.platform.Swap(ctx, laceplatform.Swap{
			Key:    bodyKey(p.digest),
			Value:  p.text,
			Expect: expect,
		})
		if err == nil {
			return nil
		}
		if !errors.Is(err, laceplatform.ErrConflict) && !errors.Is(err, laceplatform.ErrUnknown) {
			return outside(err)
		}
		e, err := s.platform.Get(ctx, bodyKey(p.digest))
		switch {
		case errors.Is(err, laceplatform.ErrMissing):
			expect = 0
		case err != nil:
			return outside(err)
		default:
			expect = e.Revision
		}
	}
	return ErrContention
}

// clean deletes the bodies that only the former state used. The record of the change must be written.
// A body that an edit in progress wants to use again has been put after that edit read the head,
// so it is newer than the head and stays; an edit that read an older head can't be accepted any more.
func (s *Store) clean(ctx context.Context, h Head) {
	used := bodies(h.Sections)
	for d := range bodies(h.LastChange.Before) {
		if used[d] {
			continue
		}
		e, err := s.platform.Get(ctx, bodyKey(d))
		if err == nil && e.Revision < h.Revision {
			// A body that stays costs space only, and Sweep finds it.
			_ = s.platform.Delete(ctx, e.Key, e.Revision)
		}
	}
}

// Sweep deletes bodies that no head refers to, such as those of edits that were not accepted; it returns how many.
func (s *Store) Sweep(ctx context.Context) (int, error) {
	h, err := s.Head(ctx)
	if err != nil {
		return 0, err
	}
	if err = s.writeRecord(ctx, h); err != nil {
		return 0, err
	}
	all, _, err := s.platform.List(ctx, bodyPrefix)
	if err != nil {
		return 0, outside(err)
	}
	used := bodies(h.Sections)
	count := 0
	for _, e := range all {
		if used[laceunit.Digest(e.Key[len(bodyPrefix):])] || e.Revision >= h.Revision {
			continue
		}
		if s.platform.Delete(ctx, e.Key, e.Revision) == nil {
			count++
		}
	}
	return count, nil
}

// outside converts an error of the platform on a call that changes nothing that counts.
func outside(err error) error {
	if errors.Is(err, laceplatform.ErrTooLarge) {
		return errors.Wrap(err, "configuration")
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
