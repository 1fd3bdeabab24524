package lacemirror

import (
	"cmp"
	"slices"

	"lacewingcove/lib/laceplatform"
)

// maxRemoved bounds the removed entries whose last content is kept.
const maxRemoved = 512

// Sequence is the position of a content among all that the writer of a key has written. Unlike a revision, it is the
// writer's own, so that it stays valid when the store is restored from a backup.
type Sequence struct {
	// Start is when the writer started, and Number counts its writes since then.
	Start  int64
	Number int64
}

// Compare orders two contents of a key.
func (s Sequence) Compare(other Sequence) int {
	return cmp.Or(cmp.Compare(s.Start, other.Start), cmp.Compare(s.Number, other.Number))
}

// rememberRemoved keeps the last content of an entry that was removed.
func (m *Mirror) rememberRemoved(e laceplatform.Entry) {
	if m.sequence == nil {
		return
	}
	if m.removed == nil {
		m.removed = map[laceplatform.Key]laceplatform.Entry{}
	}
	if _, ok := m.removed[e.Key]; !ok {
		m.removedKeys = append(m.removedKeys, e.Key)
	}
	m.removed[e.Key] = e
	if len(m.removedKeys) > maxRemoved {
		delete(m.removed, m.removedKeys[0])
		m.removedKeys = slices.Delete(m.removedKeys, 0, 1)
	}
}

// withoutRollback returns a list of a restored store without the contents that this copy knows to be outdated. An entry
// whose writer has written more since the backup keeps its newer content until the writer writes again. An entry that
// was removed in an earlier era, and has not been written since, is left out of all lists.
func (m *Mirror) withoutRollback(entries []laceplatform.Entry) []laceplatform.Entry {
	if m.sequence == nil {
		return entries
	}
	current := make([]laceplatform.Entry, 0, len(entries))
	for _, e := range entries {
		if known, ok := m.entries[e.Key]; ok {
			if m.fromBackup(known.Entry, e) && m.compare(e, known.Entry) < 0 {
				// Other copies have the listed value, and may offer it as a base.
				m.previous.add(e)
				e.Value = known.Value
				m.retain(e)
			}
		} else if gone, ok := m.removed[e.Key]; ok && m.fromBackup(gone, e) && m.compare(e, gone) <= 0 {
			continue
		}
		current = append(current, e)
	}
	return current
}

// fromBackup reports whether a listed entry may be of the backup from which the store was restored since an entry was known.
// What is newer than the first list of the era was written since.
func (m *Mirror) fromBackup(known, listed laceplatform.Entry) bool {
	return known.Revision.Era() < listed.Revision.Era() && listed.Revision <= m.restoredAt
}

// retain records that the value of an entry is newer than the one that the store has at its revision.
func (m *Mirror) retain(e laceplatform.Entry) {
	if m.retained == nil {
		m.retained = map[laceplatform.Key]laceplatform.Revision{}
	}
	m.retained[e.Key] = e.Revision
}

// isRetained reports whether the value of an entry is not the one that the store has at its revision.
func (m *Mirror) isRetained(e laceplatform.Entry) bool {
	r, ok := m.retained[e.Key]
	return ok && r == e.Revision
}

// compare orders two contents of a key; contents without a known position are newer than any other.
func (m *Mirror) compare(e, known laceplatform.Entry) int {
	x, ok := m.sequence(e)
	if !ok {
		return 1
	}
	y, ok := m.sequence(known)
	if !ok {
		return 1
	}
	return x.Compare(y)
}
