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
	// ErrUnavailable means that the platform was unreachable and nothing was changed.
	ErrUnavailable = errors.New("configuration: platform unavailable")
	// ErrUnknown means that an edit may have been accepted; retrying it with the same id is safe.
	ErrUnknown = errors.New("configuration: outcome unknown, repeat the edit with the same id")
	// ErrContention means that every attempt failed because of concurrent edits; nothing was changed.
	ErrContention = errors.New("configuration: too many concurrent edits")
	// ErrEditIDReused means that the id was used before for another edit.
	ErrEditIDReused = errors.New("configuration: edit id was used for another edit")
	// ErrMalformed means that an edit lacks an id, an author or a section.
	ErrMalformed = errors.New("configuration: malformed edit")

	// errHeadChanged means that a body was deleted because a newer head has replaced the one that referred to it.
	errHeadChanged = errors.New("configuration: head has changed")
)

// maxAttempts bounds the attempts when there are conflicts with other writers.
const maxAttempts = 8

// Store reads and edits the document in the platform's store.
type Store struct {
	platform laceplatform.Store

	mu    sync.Mutex
	cache Snapshot
	// cachedBodies are the entries of each body of the cached head.
	cachedBodies map[laceunit.Digest]map[string]string
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

// VersionStamps returns the version stamp of each section that was ever edited.
func (s Snapshot) VersionStamps() map[Section]VersionStamp {
	all := map[Section]VersionStamp{}
	for _, n := range Sections() {
		if r := s.Head.Sections[n]; r.Revision > 0 {
			all[n] = r.VersionStamp()
		}
	}
	return all
}

// Head reads the head; before the first edit, it returns the zero head.
func (s *Store) Head(ctx context.Context) (Head, error) {
	e, err := s.platform.Get(ctx, HeadKey)
	if errors.Is(err, laceplatform.ErrMissing) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, platformError(err)
	}
	return DecodeHead(e)
}

// Snapshot reads the current state.
func (s *Store) Snapshot(ctx context.Context) (Snapshot, error) {
	for range maxAttempts {
		h, err := s.Head(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		snap, err := s.Load(ctx, h)
		if errors.Is(err, errHeadChanged) {
			continue
		}
		return snap, err
	}
	return Snapshot{}, ErrContention
}

// Show returns the current document with the version stamps that an edit of it is based on.
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

// Load reads the state that a head refers to; bodies that the cached head shares with it are not read again.
func (s *Store) Load(ctx context.Context, h Head) (Snapshot, error) {
	s.mu.Lock()
	cached, bodies := s.cache, s.cachedBodies
	s.mu.Unlock()
	if cached.Content != nil && cached.Head.Revision == h.Revision {
		return cached, nil
	}
	if cached.Content == nil {
		d := Default()
		c, err := Split(d)
		if err != nil {
			return Snapshot{}, err
		}
		cached = Snapshot{
			Content:  c,
			Document: d,
		}
	}
	content, loaded, err := s.loadContent(ctx, h.Sections, bodies)
	if err != nil {
		return Snapshot{}, err
	}
	d, err := Patch(cached.Document, Diff(cached.Content, content))
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
		s.cache, s.cachedBodies = snap, loaded
	}
	return snap, nil
}

// loadContent reads sections; those without a reference have their defaults.
func (s *Store) loadContent(
	ctx context.Context, refs map[Section]Ref, cached map[laceunit.Digest]map[string]string,
) (Content, map[laceunit.Digest]map[string]string, error) {
	content, err := Split(Default())
	if err != nil {
		return nil, nil, err
	}
	loaded := map[laceunit.Digest]map[string]string{}
	for n, ref := range refs {
		merged := map[string]string{}
		for _, p := range ref.Parts {
			entries, ok := cached[p]
			if !ok {
				if entries, err = s.loadBody(ctx, p); err != nil {
					return nil, nil, err
				}
			}
			loaded[p] = entries
			for id, body := range entries {
				merged[id] = body
			}
		}
		content[n] = merged
	}
	return content, loaded, nil
}

func (s *Store) loadBody(ctx context.Context, d laceunit.Digest) (map[string]string, error) {
	e, err := s.platform.Get(ctx, bodyKey(d))
	if errors.Is(err, laceplatform.ErrMissing) {
		return nil, errHeadChanged
	}
	if err != nil {
		return nil, platformError(err)
	}
	_, entries, err := decodePart(e.Value)
	return entries, err
}

func bodyKey(d laceunit.Digest) laceplatform.Key {
	return bodyPrefix + laceplatform.Key(d)
}

// putBody writes a body, also if it exists already, so that its revision is newer than any head that was read before
// the call: deleteSupersededBodies deletes only bodies that are older than the head.
func (s *Store) putBody(ctx context.Context, p part) error {
	expect := laceplatform.Revision(0)
	for range maxAttempts {
		_, err := s.platform.Swap(ctx, laceplatform.Swap{
			Key:    bodyKey(p.digest),
			Value:  p.text,
			Expect: expect,
		})
		if err == nil {
			return nil
		}
		if !errors.Is(err, laceplatform.ErrConflict) && !errors.Is(err, laceplatform.ErrUnknown) {
			return platformError(err)
		}
		e, err := s.platform.Get(ctx, bodyKey(p.digest))
		switch {
		case errors.Is(err, laceplatform.ErrMissing):
			expect = 0
		case err != nil:
			return platformError(err)
		default:
			expect = e.Revision
		}
	}
	return ErrContention
}

// deleteSupersededBodies deletes the bodies that only the previous state used. The record of the change must have been
// written before. A body that a concurrent edit reuses was written after that edit read the head, so that it is newer
// than the head and is kept; an edit that read an older head can't be accepted any more, since its compare-and-swap
// fails.
func (s *Store) deleteSupersededBodies(ctx context.Context, h Head) {
	used := referencedBodies(h.Sections)
	for d := range referencedBodies(h.LastChange.Before) {
		if used[d] {
			continue
		}
		e, err := s.platform.Get(ctx, bodyKey(d))
		if err == nil && e.Revision < h.Revision {
			// A body that remains only takes up space, and Sweep deletes it.
			_ = s.platform.Delete(ctx, e.Key, e.Revision)
		}
	}
}

// Sweep deletes unreferenced bodies, such as those of rejected edits, and returns their number.
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
		return 0, platformError(err)
	}
	used := referencedBodies(h.Sections)
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

// platformError converts an error of a platform call that can't have changed the accepted state.
func platformError(err error) error {
	if errors.Is(err, laceplatform.ErrTooLarge) {
		return errors.Wrap(err, "configuration")
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
