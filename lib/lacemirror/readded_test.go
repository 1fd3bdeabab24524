package lacemirror

import (
	"testing"

	"lacewingcove/lib/laceplatform"
)

func entryAt(key laceplatform.Key, revision laceplatform.Revision, value string) laceplatform.Entry {
	return laceplatform.Entry{
		Key:      key,
		Value:    []byte(value),
		Revision: revision,
	}
}

// newMirrors returns copies of one entry whose normalized content is its value.
func newMirrors(n int) []*Mirror {
	copies := make([]*Mirror, n)
	for i := range copies {
		copies[i] = NewMirror("servers/")
		copies[i].normalize = func(e laceplatform.Entry) any { return string(e.Value) }
		copies[i].Replace([]laceplatform.Entry{entryAt("servers/a", 10, "x")}, 10)
	}
	return copies
}

func (m *Mirror) applyRemoval(revision laceplatform.Revision) {
	m.ApplyEvent(laceplatform.Event{
		Entry:   entryAt("servers/a", revision, ""),
		Deleted: true,
	})
}

func (m *Mirror) applyProgress(revision laceplatform.Revision) {
	m.ApplyEvent(laceplatform.Event{
		Entry:    laceplatform.Entry{Revision: revision},
		Progress: true,
	})
}

// Guards against a server that expires, registers again with the same content, and stays missing at an instance that
// got its removal from one copy and its return from another.
func TestReaddedServerIsPropagated(t *testing.T) {
	for name, update := range map[string]func(source, watched *Mirror){
		"by a list": func(source, _ *Mirror) {
			source.Replace([]laceplatform.Entry{entryAt("servers/a", 12, "x")}, 12)
		},
		"by a list with a newer page": func(source, _ *Mirror) {
			source.Replace([]laceplatform.Entry{entryAt("servers/a", 12, "x")}, 10)
			source.applyRemoval(11)
			source.ApplyEvent(laceplatform.Event{Entry: entryAt("servers/a", 12, "x")})
		},
		"by a peer": func(source, watched *Mirror) {
			d, _ := watched.DeltaSince(10)
			source.Merge(d)
		},
	} {
		t.Run(name, func(t *testing.T) {
			copies := newMirrors(3)
			watched, source, receiver := copies[0], copies[1], copies[2]
			watched.applyRemoval(11)
			watched.applyProgress(11)
			d, _ := watched.DeltaSince(10)
			receiver.Merge(d)
			watched.ApplyEvent(laceplatform.Event{Entry: entryAt("servers/a", 12, "x")})
			watched.applyProgress(12)
			update(source, watched)
			source.applyProgress(13)
			d, _ = source.DeltaSince(receiver.Revision())
			receiver.Merge(d)
			if _, ok := receiver.Get("servers/a"); !ok {
				t.Errorf("the entry is missing at revision %d (full delta: %t)", receiver.Revision(), d.Full)
			}
		})
	}
}

// Guards against a server that is never removed, because a full delta of a peer arrives in the middle of the watch
// page that has removed it.
func TestFullDeltaDuringWatchPageRestoresNothing(t *testing.T) {
	m := newMirrors(1)[0]
	m.applyProgress(25)
	m.applyRemoval(30)
	m.Merge(Delta{
		Prefix:   "servers/",
		Full:     true,
		Revision: 27,
		Entries:  []laceplatform.Entry{entryAt("servers/a", 10, "x")},
	})
	m.applyProgress(30)
	if _, ok := m.Get("servers/a"); ok {
		t.Errorf("an entry removed at revision 30 is present at revision %d", m.Revision())
	}
}
