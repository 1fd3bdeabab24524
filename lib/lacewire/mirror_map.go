package lacewire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
)

// FromMirrorDelta maps a delta of a copy of the store.
func FromMirrorDelta(d lacemirror.Delta) *MirrorDelta {
	m := &MirrorDelta{
		Prefix:   string(d.Prefix),
		From:     int64(d.From),
		Full:     d.Full,
		Revision: int64(d.Revision),
		// Rounded up, so that a removal is never final too early.
		RemovalGraceMs: proto.Int64((d.RemovalGrace + time.Millisecond - 1).Milliseconds()),
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

// ToMirrorDelta maps a delta of a copy of the store.
func ToMirrorDelta(m *MirrorDelta) lacemirror.Delta {
	d := lacemirror.Delta{
		Prefix:       laceplatform.Key(m.GetPrefix()),
		From:         laceplatform.Revision(m.GetFrom()),
		Full:         m.GetFull(),
		Revision:     laceplatform.Revision(m.GetRevision()),
		RemovalGrace: lacemirror.DefaultRemovalGrace,
	}
	if m.RemovalGraceMs != nil {
		d.RemovalGrace = time.Duration(m.GetRemovalGraceMs()) * time.Millisecond
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
