package lacemirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
)

// maxTombstones bounds the removals that are kept for peers; a peer that needs older ones gets a full delta.
const maxTombstones = 512

// Delta updates a copy from one revision to another.
type Delta struct {
	Prefix laceplatform.Key
	// From is the revision that the receiver must have; a full delta replaces everything.
	From     laceplatform.Revision
	Full     bool
	Revision laceplatform.Revision
	Entries  []laceplatform.Entry
	Removed  []Removal
	// RemovalGrace is how long the removals may still be undone by owners that register again; zero means that they
	// are final. The keys that a full delta leaves out count as removals.
	RemovalGrace time.Duration
}

// Removal is a tombstone: a key that was removed, with the revision of its removal.
type Removal struct {
	Key      laceplatform.Key
	Revision laceplatform.Revision
}

// Change is an entry of the copy that was written or removed by an update.
type Change struct {
	Entry   laceplatform.Entry
	Removed bool
}

// Mirror is the copy of a prefix; it is not safe for concurrent use.
type Mirror struct {
	prefix     laceplatform.Key
	revision   laceplatform.Revision
	entries    map[laceplatform.Key]mirrorEntry
	previous   previousValues
	tombstones []Removal
	// horizon is the revision above which the tombstones are complete.
	horizon laceplatform.Revision
	// normalize returns the content of an entry as a comparable value, nil if it can't be parsed; without this
	// function every write counts as a change.
	normalize func(laceplatform.Entry) any
	// sequence returns the position of an entry in what its writer wrote; without this function no order is known.
	sequence func(laceplatform.Entry) (Sequence, bool)
	// removed are the last contents of entries that were removed, by key; removedKeys has the keys in order.
	removed     map[laceplatform.Key]laceplatform.Entry
	removedKeys []laceplatform.Key
	// restoredAt is the revision of the first list since the store was last restored; zero if it was not.
	restoredAt laceplatform.Revision
	// retained are the revisions at which the store has an older value than this copy, since it was restored.
	retained map[laceplatform.Key]laceplatform.Revision
}

// mirrorEntry is an entry of the copy.
type mirrorEntry struct {
	laceplatform.Entry
	normalized any
	// changed is the revision at which the normalized content last changed; later writes are not propagated.
	changed laceplatform.Revision
}

// NewMirror returns an empty copy of a prefix.
func NewMirror(prefix laceplatform.Key) *Mirror {
	return &Mirror{
		prefix:  prefix,
		entries: map[laceplatform.Key]mirrorEntry{},
	}
}

// Revision returns the revision up to which the copy is complete; zero means that it is empty.
func (m *Mirror) Revision() laceplatform.Revision { return m.revision }

// LastChange returns the revision at which the normalized content of the copy last changed, at most its own revision.
func (m *Mirror) LastChange() laceplatform.Revision {
	var newest laceplatform.Revision
	for _, e := range m.entries {
		newest = max(newest, e.changed)
	}
	for _, r := range m.tombstones {
		newest = max(newest, r.Revision)
	}
	return min(newest, m.revision)
}

// Entries returns the entries, sorted by key.
func (m *Mirror) Entries() []laceplatform.Entry {
	list := make([]laceplatform.Entry, 0, len(m.entries))
	for _, k := range slices.Sorted(maps.Keys(m.entries)) {
		list = append(list, m.entries[k].Entry)
	}
	return list
}

// Get returns the entry of a key.
func (m *Mirror) Get(key laceplatform.Key) (laceplatform.Entry, bool) {
	e, ok := m.entries[key]
	return e.Entry, ok
}

// Replace replaces the copy by a list that was complete at a revision; entries of the list may be newer than that. It
// reports whether it did: a list that is older than the copy is dropped.
func (m *Mirror) Replace(entries []laceplatform.Entry, revision laceplatform.Revision) ([]Change, bool) {
	if revision < m.revision {
		return nil, false
	}
	if m.revision > 0 && revision.Era() > m.revision.Era() {
		m.restoredAt = revision
	}
	entries = m.withoutRollback(entries)
	var changes []Change
	seen := make(map[laceplatform.Key]bool, len(entries))
	for _, e := range entries {
		seen[e.Key] = true
		if !m.wasRemoved(e) && m.put(e, false) {
			changes = append(changes, Change{Entry: e})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(m.entries)) {
		if e := m.entries[k]; !seen[k] && e.Revision <= revision {
			m.remove(k, revision)
			changes = append(changes, Change{
				Entry:   e.Entry,
				Removed: true,
			})
		}
	}
	m.revision = revision
	m.horizon = max(m.horizon, revision)
	m.tombstones = slices.DeleteFunc(m.tombstones, func(r Removal) bool { return r.Revision <= revision })
	return changes, true
}

// ApplyEvent applies one event of a watch.
func (m *Mirror) ApplyEvent(e laceplatform.Event) (Change, bool) {
	r := e.Entry.Revision
	if r <= m.revision {
		return Change{}, false
	}
	if e.Progress {
		m.revision = r
		return Change{}, false
	}
	if !e.Deleted {
		return Change{Entry: e.Entry}, m.put(e.Entry, true)
	}
	old, ok := m.remove(e.Entry.Key, r)
	return Change{
		Entry:   old,
		Removed: true,
	}, ok
}

// DeltaSince returns the changes that a copy at a revision does not have, and false if there are none.
func (m *Mirror) DeltaSince(revision laceplatform.Revision) (Delta, bool) {
	if revision >= m.revision {
		return Delta{}, false
	}
	d := Delta{
		Prefix:   m.prefix,
		From:     revision,
		Revision: m.revision,
		Full:     revision < m.horizon || revision == 0 || revision.Era() != m.revision.Era(),
	}
	for _, e := range m.entries {
		if d.Full || e.changed > revision {
			d.Entries = append(d.Entries, e.Entry)
		}
	}
	// Sorted, so that equal deltas have one encoding and are packed only once.
	slices.SortFunc(d.Entries, func(a, b laceplatform.Entry) int { return cmp.Compare(a.Key, b.Key) })
	if !d.Full {
		for _, r := range m.tombstones {
			if r.Revision > revision {
				d.Removed = append(d.Removed, r)
			}
		}
	}
	return d, true
}

// Merge applies a delta from another instance.
func (m *Mirror) Merge(d Delta) []Change {
	if d.Revision <= m.revision {
		return nil
	}
	if d.Full {
		changes, _ := m.Replace(d.Entries, d.Revision)
		return changes
	}
	if d.From > m.revision || d.From.Era() != m.revision.Era() {
		// Unreachable unless the copy has changed since its request; the delta can't be applied with a gap.
		return nil
	}
	var changes []Change
	for _, e := range d.Entries {
		if !m.wasRemoved(e) && m.put(e, false) {
			changes = append(changes, Change{Entry: e})
		}
	}
	for _, r := range d.Removed {
		if e, ok := m.remove(r.Key, r.Revision); ok {
			changes = append(changes, Change{
				Entry:   e,
				Removed: true,
			})
		}
	}
	m.revision = d.Revision
	return changes
}

// put stores an entry and reports whether its normalized content is new. Only a watch shows that the content was the
// same ever since the previous write; otherwise the entry may have been removed in between, and other copies may have
// seen the removal.
func (m *Mirror) put(e laceplatform.Entry, fromWatch bool) bool {
	old, ok := m.entries[e.Key]
	if ok && old.Revision >= e.Revision {
		return false
	}
	next := mirrorEntry{
		Entry:   e,
		changed: e.Revision,
	}
	if m.normalize != nil {
		next.normalized = m.normalize(e)
	}
	if ok && !m.isRetained(old.Entry) {
		m.previous.add(old.Entry)
	}
	unchanged := ok && next.normalized != nil && next.normalized == old.normalized
	if unchanged && fromWatch {
		next.changed = old.changed
	}
	m.entries[e.Key] = next
	return !unchanged
}

// wasRemoved reports whether an entry is known to have been removed since.
func (m *Mirror) wasRemoved(e laceplatform.Entry) bool {
	return slices.ContainsFunc(m.tombstones, func(r Removal) bool { return r.Key == e.Key && r.Revision >= e.Revision })
}

// remove deletes the entry of a key, unless it is newer, and returns it. The tombstone is kept even without an entry:
// copies that replicate from this one may have it.
func (m *Mirror) remove(key laceplatform.Key, revision laceplatform.Revision) (laceplatform.Entry, bool) {
	r := Removal{
		Key:      key,
		Revision: revision,
	}
	if !slices.Contains(m.tombstones, r) {
		m.tombstones = append(m.tombstones, r)
	}
	if n := len(m.tombstones) - maxTombstones; n > 0 {
		for _, x := range m.tombstones[:n] {
			m.horizon = max(m.horizon, x.Revision)
		}
		m.tombstones = slices.Clone(m.tombstones[n:])
	}
	old, ok := m.entries[key]
	if !ok || old.Revision > revision {
		return laceplatform.Entry{}, false
	}
	delete(m.entries, key)
	delete(m.retained, key)
	m.rememberRemoved(old.Entry)
	return old.Entry, true
}
