package lacemirror

import "lacewingcove/lib/laceplatform"

const (
	// baseBytes is the size from which a value is worth keeping for changes against it.
	baseBytes = 4 << 10
	// formerBytes bounds the former values of all keys together; the newest are kept.
	formerBytes = 4 << 20
)

// Base names a value that a copy holds, against which another one can describe a newer value. The zero value names none.
type Base struct {
	Key      laceplatform.Key
	Revision laceplatform.Revision
}

// former remembers values that were replaced, since instances that ask for changes still hold them. The zero value is empty.
type former struct {
	entries []laceplatform.Entry
	size    int
}

// keep remembers a value that is replaced.
func (f *former) keep(e laceplatform.Entry) {
	if len(e.Value) < baseBytes {
		return
	}
	f.entries = append(f.entries, e)
	f.size += len(e.Value)
	for f.size > formerBytes {
		f.size -= len(f.entries[0].Value)
		f.entries[0] = laceplatform.Entry{}
		f.entries = f.entries[1:]
	}
}

// value returns a former value.
func (f *former) value(b Base) ([]byte, bool) {
	for _, e := range f.entries {
		if e.Key == b.Key && e.Revision == b.Revision {
			return e.Value, true
		}
	}
	return nil, false
}

// Base returns the largest value of the copy that is worth describing changes against, and its name; none if all are small.
func (m *Mirror) Base() (Base, []byte) {
	var largest laceplatform.Entry
	for _, e := range m.entries {
		if len(e.Value) > len(largest.Value) || len(e.Value) == len(largest.Value) && e.Key < largest.Key {
			largest = e.Entry
		}
	}
	if len(largest.Value) < baseBytes {
		return Base{}, nil
	}
	return Base{
		Key:      largest.Key,
		Revision: largest.Revision,
	}, largest.Value
}

// Value returns the value that a base names, if it is held or was lately.
func (m *Mirror) BaseValue(b Base) ([]byte, bool) {
	if e, ok := m.entries[b.Key]; ok && e.Revision == b.Revision {
		return e.Value, true
	}
	return m.former.value(b)
}
