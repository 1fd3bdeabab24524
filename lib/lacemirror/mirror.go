package lacemirror

import (
	"cmp"
	"maps"
	"slices"

	"lacewingcove/lib/laceplatform"
)

// tombstonesKept bounds the removed keys that are remembered for other instances; one that lacks more gets everything.
const tombstonesKept = 512

// Delta brings a copy from one revision to another.
type Delta struct {
	Prefix laceplatform.Key
	// From is the revision that the receiver must have; Full deltas replace everything.
	From     laceplatform.Revision
	Full     bool
	Revision laceplatform.Revision
	Entries  []laceplatform.Entry
	Removed  []Removal
}

// Removal is a key that no longer exists, with the revision at which it went.
type Removal struct {
	Key      laceplatform.Key
	Revision laceplatform.Revision
}

// Change is one difference that an update made to the copy.
type Change struct {
	Entry   laceplatform.Entry
	Removed bool
}

// Mirror is the copy; it is a state machine without locks.
type Mirror struct {
	prefix   laceplatform.Key
	revision laceplatform.Revision
	entries  map[laceplatform.Key]held
	former   former
	removed  []Removal
	// horizon is the revision above which every removal is remembered.
	horizon laceplatform.Revision
	// meaning returns what an entry says, as a comparable value; nil for its whole text.
	meaning func(laceplatform.Entry) any
}

// held is an entry of the copy.
type held struct {
	laceplatform.Entry
	meaning any
	// changed is the revision at which the entry last said something new; what comes after it is not worth passing on.
	changed laceplatform.Revision
}

// NewMirror returns an empty copy of a prefix.
func NewMirror(prefix laceplatform.Key) *Mirror {
	return &Mirror{
		prefix:  prefix,
		entries: map[laceplatform.Key]held{},
	}
}

// Revision is the revision at which the copy is complete; zero means that it holds nothing.
func (m *Mirror) Revision() laceplatform.Revision { return m.revision }

// Newest returns the revision at which the copy last changed in what it says, as far as it is complete.
func (m *Mirror) LastChange() laceplatform.Revision {
	var newest laceplatform.Revision
	for _, e := range m.entries {
		newest = max(newest, e.changed)
	}
	for _, r := range m.removed {
		newest = max(newest, r.Revision)
	}
	return min(newest, m.revision)
}

// Entries returns the entries in the order of their keys.
func (m *Mirror) Entries() []laceplatform.Entry {
	list := make([]laceplatform.Entry, 0, len(m.entries))
	for _, k := range slices.Sorted(maps.Keys(m.entries)) {
		list = append(list, m.entries[k].Entry)
	}
	return list
}

// Get returns one entry.
func (m *Mirror) Get(key laceplatform.Key) (laceplatform.Entry, bool) {
	e, ok := m.entries[key]
	return e.Entry, ok
}

// Replace takes over a whole list that was complete at a revision; entries may be newer than that.
func (m *Mirror) Replace(entries []laceplatform.Entry, revision laceplatform.Revision) []Change {
	if revision < m.revision {
		// The list is older than the copy.
		return nil
	}
	var changes []Change
	seen := make(map[laceplatform.Key]bool, len(entries))
	for _, e := range entries {
		seen[e.Key] = true
		if !m.gone(e) && m.put(e, false) {
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
	m.removed = slices.DeleteFunc(m.removed, func(r Removal) bool { return r.Revision <= revision })
	return changes
}

// Event takes in one event of a watch.
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

// Since returns what a copy at a revision lacks, and false when it lacks nothing.
func (m *Mirror) DeltaSince(revision laceplatform.Revision) (Delta, bool) {
	if revision >= m.revision {
		return Delta{}, false
	}
	d := Delta{
		Prefix:   m.prefix,
		From:     revision,
		Revision: m.revision,
		Full:     revision < m.horizon || revision == 0,
	}
	for _, e := range m.entries {
		if d.Full || e.changed > revision {
			d.Entries = append(d.Entries, e.Entry)
		}
	}
	// Equal deltas are packed once.
	slices.SortFunc(d.Entries, func(a, b laceplatform.Entry) int { return cmp.Compare(a.Key, b.Key) })
	if !d.Full {
		for _, r := range m.removed {
			if r.Revision > revision {
				d.Removed = append(d.Removed, r)
			}
		}
	}
	return d, true
}

// Merge takes in what another instance sent.
func (m *Mirror) Merge(d Delta) []Change {
	if d.Revision <= m.revision {
		return nil
	}
	if d.Full {
		return m.Replace(d.Entries, d.Revision)
	}
	if d.From > m.revision {
		// The copy fell back behind the request, which can't be; without the part between, the delta is of no use.
		return nil
	}
	var changes []Change
	for _, e := range d.Entries {
		if !m.gone(e) && m.put(e, false) {
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

// put takes in an entry and reports whether it says something new. Only a watch tells that it said the same all the while since the
// one before; elsewhere it may have been gone in between, and other copies know of that.
func (m *Mirror) put(e laceplatform.Entry, watched bool) bool {
	old, ok := m.entries[e.Key]
	if ok && old.Revision >= e.Revision {
		return false
	}
	next := held{
		Entry:   e,
		changed: e.Revision,
	}
	if m.meaning != nil {
		next.meaning = m.meaning(e)
	}
	if ok {
		m.former.keep(old.Entry)
	}
	same := ok && next.meaning != nil && next.meaning == old.meaning
	if same && watched {
		next.changed = old.changed
	}
	m.entries[e.Key] = next
	return !same
}

// gone reports whether an entry is known to have been removed since.
func (m *Mirror) gone(e laceplatform.Entry) bool {
	return slices.ContainsFunc(m.removed, func(r Removal) bool { return r.Key == e.Key && r.Revision >= e.Revision })
}

// remove drops an older entry of a key and returns it. The removal is remembered even without an entry: copies that are
// fed by this one may hold it.
func (m *Mirror) remove(key laceplatform.Key, revision laceplatform.Revision) (laceplatform.Entry, bool) {
	r := Removal{
		Key:      key,
		Revision: revision,
	}
	if !slices.Contains(m.removed, r) {
		m.removed = append(m.removed, r)
	}
	if n := len(m.removed) - tombstonesKept; n > 0 {
		for _, x := range m.removed[:n] {
			m.horizon = max(m.horizon, x.Revision)
		}
		m.removed = slices.Clone(m.removed[n:])
	}
	old, ok := m.entries[key]
	if !ok || old.Revision > revision {
		return laceplatform.Entry{}, false
	}
	delete(m.entries, key)
	return old.Entry, true
}
