package lacewire

import (
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
)

// FromDelta maps a delta to its message.
func FromMirrorDelta(d lacemirror.Delta) *MirrorDelta {
	m := &MirrorDelta{
		Prefix:   string(d.Prefix),
		From:     int64(d.From),
		Full:     d.Full,
		Revision: int64(d.Revision),
	}
	for _, e := range d.Entries {
		m.Entries = append(m.Entries, &MirrorEntry{
			Key:      string(e.Key),
			Value:    e.Value,
			Revision: int64(e.Revision),
		})
	}
	for _, r := range d.Removed {
		m.Removed = append(m.Removed, &MirrorRemoval{
			Key:      string(r.Key),
			Revision: int64(r.Revision),
		})
	}
	return m
}

// ToDelta maps a message to a delta.
func ToMirrorDelta(m *MirrorDelta) lacemirror.Delta {
	d := lacemirror.Delta{
		Prefix:   laceplatform.Key(m.GetPrefix()),
		From:     laceplatform.Revision(m.GetFrom()),
		Full:     m.GetFull(),
		Revision: laceplatform.Revision(m.GetRevision()),
	}
	for _, e := range m.GetEntries() {
		d.Entries = append(d.Entries, laceplatform.Entry{
			Key:      laceplatform.Key(e.GetKey()),
			Value:    e.GetValue(),
			Revision: laceplatform.Revision(e.GetRevision()),
		})
	}
	for _, r := range m.GetRemoved() {
		d.Removed = append(d.Removed, lacemirror.Removal{
			Key:      laceplatform.Key(r.GetKey()),
			Revision: laceplatform.Revision(r.GetRevision()),
		})
	}
	return d
}
