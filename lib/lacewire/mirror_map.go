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
		From:     d.From.Number(),
		Full:     d.Full,
		Revision: d.Revision.Number(),
		Era:      FromEra(d.Revision),
		// Rounded up, so that a removal is never final too early.
		RemovalGraceMs: proto.Int64((d.RemovalGrace + time.Millisecond - 1).Milliseconds()),
	}
	for _, e := range d.Entries {
		m.Entries = append(m.Entries, &MirrorEntry{
			Key:      string(e.Key),
			Value:    e.Value,
			Revision: e.Revision.Number(),
		})
	}
	for _, r := range d.Removed {
		m.Removed = append(m.Removed, &MirrorRemoval{
			Key:      string(r.Key),
			Revision: r.Revision.Number(),
		})
	}
	return m
}

// ToMirrorDelta maps a delta of a copy of the store.
func ToMirrorDelta(m *MirrorDelta) lacemirror.Delta {
	d := lacemirror.Delta{
		Prefix:       laceplatform.Key(m.GetPrefix()),
		From:         ToRevision(m.GetEra(), m.GetFrom()),
		Full:         m.GetFull(),
		Revision:     ToRevision(m.GetEra(), m.GetRevision()),
		RemovalGrace: lacemirror.DefaultRemovalGrace,
	}
	if m.RemovalGraceMs != nil {
		d.RemovalGrace = time.Duration(m.GetRemovalGraceMs()) * time.Millisecond
	}
	for _, e := range m.GetEntries() {
		d.Entries = append(d.Entries, laceplatform.Entry{
			Key:      laceplatform.Key(e.GetKey()),
			Value:    e.GetValue(),
			Revision: ToRevision(m.GetEra(), e.GetRevision()),
		})
	}
	for _, r := range m.GetRemoved() {
		d.Removed = append(d.Removed, lacemirror.Removal{
			Key:      laceplatform.Key(r.GetKey()),
			Revision: ToRevision(m.GetEra(), r.GetRevision()),
		})
	}
	return d
}

// FromEra maps the era of a revision.
func FromEra(r laceplatform.Revision) *int64 { return proto.Int64(int64(r.Era())) }

// ToRevision maps a revision and its era; it returns zero, which is no revision, if one of them is out of range.
func ToRevision(era, number int64) laceplatform.Revision {
	r, err := laceplatform.NewRevision(laceplatform.Era(era), number)
	if err != nil {
		return 0
	}
	return r
}
