package lacemirror

import "lacewingcove/lib/laceplatform"

const (
	// minBaseBytes is the minimum size of a value that is kept as a base for deltas.
	minBaseBytes = 4 << 10
	// maxPreviousBytes bounds the total size of the previous values of all keys; the newest are kept.
	maxPreviousBytes = 4 << 20
)

// Base identifies a value that a copy holds and that a newer value can be encoded against. The zero value identifies
// none.
type Base struct {
	Key      laceplatform.Key
	Revision laceplatform.Revision
}

// previousValues holds values that were overwritten here, since peers that request a delta may still have them as
// their base. The zero value is empty.
type previousValues struct {
	entries []laceplatform.Entry
	size    int
}

// add keeps a value that is being overwritten.
func (p *previousValues) add(e laceplatform.Entry) {
	if len(e.Value) < minBaseBytes {
		return
	}
	p.entries = append(p.entries, e)
	p.size += len(e.Value)
	for p.size > maxPreviousBytes {
		p.size -= len(p.entries[0].Value)
		p.entries[0] = laceplatform.Entry{}
		p.entries = p.entries[1:]
	}
}

// lookup returns a previous value.
func (p *previousValues) lookup(b Base) ([]byte, bool) {
	for _, e := range p.entries {
		if e.Key == b.Key && e.Revision == b.Revision {
			return e.Value, true
		}
	}
	return nil, false
}

// Base returns the largest value of the copy and its identity, to be used as a delta base; it returns none if all
// values are small. A retained value is no base: other copies have another value at its revision.
func (m *Mirror) Base() (Base, []byte) {
	var largest laceplatform.Entry
	for _, e := range m.entries {
		if m.isRetained(e.Entry) {
			continue
		}
		if len(e.Value) > len(largest.Value) || len(e.Value) == len(largest.Value) && e.Key < largest.Key {
			largest = e.Entry
		}
	}
	if len(largest.Value) < minBaseBytes {
		return Base{}, nil
	}
	return Base{
		Key:      largest.Key,
		Revision: largest.Revision,
	}, largest.Value
}

// BaseValue returns the value that a base identifies, if it is current here or was until recently.
func (m *Mirror) BaseValue(b Base) ([]byte, bool) {
	if e, ok := m.entries[b.Key]; ok && e.Revision == b.Revision && !m.isRetained(e.Entry) {
		return e.Value, true
	}
	return m.previous.lookup(b)
}
