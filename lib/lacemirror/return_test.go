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

// reporting returns copies of one entry whose meaning is its value.
func reporting(n int) []*Mirror {
	copies := make([]*Mirror, n)
	for i := range copies {
		copies[i] = NewMirror("servers/")
		copies[i].meaning = func(e laceplatform.Entry) any { return string(e.Value) }
		copies[i].Replace([]laceplatform.Entry{entryAt("servers/a", 10, "x")}, 10)
	}
	return copies
}

func (m *Mirror) removal(revision laceplatform.Revision) {
	m.ApplyEvent(laceplatform.Event{
		Entry:   entryAt("servers/a", revision, ""),
		Deleted: true,
	})
}

func (m *Mirror) through(revision laceplatform.Revision) {
	m.ApplyEvent(laceplatform.Event{
		Entry:    laceplatform.Entry{Revision: revision},
		Progress: true,
	})
}

// Guards against a server that lapsed and came back as it was, and stays missing at an instance that heard of its removal from
// one copy and of its return from another.
func TestAServerThatCameBackIsPassedOn(t *testing.T) {
	for name, learn := range map[string]func(source, watched *Mirror){
		"by a list": func(source, _ *Mirror) {
			source.Replace([]laceplatform.Entry{entryAt("servers/a", 12, "x")}, 12)
		},
		"by a list with a newer page": func(source, _ *Mirror) {
			source.Replace([]laceplatform.Entry{entryAt("servers/a", 12, "x")}, 10)
			source.removal(11)
			source.ApplyEvent(laceplatform.Event{Entry: entryAt("servers/a", 12, "x")})
		},
		"by a partner": func(source, watched *Mirror) {
			d, _ := watched.DeltaSince(10)
			source.Merge(d)
		},
	} {
		t.Run(name, func(t *testing.T) {
			copies := reporting(3)
			watched, source, asker := copies[0], copies[1], copies[2]
			watched.removal(11)
			watched.through(11)
			d, _ := watched.DeltaSince(10)
			asker.Merge(d)
			watched.ApplyEvent(laceplatform.Event{Entry: entryAt("servers/a", 12, "x")})
			watched.through(12)
			learn(source, watched)
			source.through(13)
			d, _ = source.DeltaSince(asker.Revision())
			asker.Merge(d)
			if _, ok := asker.Get("servers/a"); !ok {
				t.Errorf("at revision %d (full %t) the entry is missing", asker.Revision(), d.Full)
			}
		})
	}
}

// Guards against a server that is kept for good, because a whole copy of a partner comes amid the page of the watch that has
// removed it.
func TestAWholeCopyAmidAPageBringsNothingBack(t *testing.T) {
	m := reporting(1)[0]
	m.through(25)
	m.removal(30)
	m.Merge(Delta{
		Prefix:   "servers/",
		Full:     true,
		Revision: 27,
		Entries:  []laceplatform.Entry{entryAt("servers/a", 10, "x")},
	})
	m.through(30)
	if _, ok := m.Get("servers/a"); ok {
		t.Errorf("removed at 30, held at revision %d", m.Revision())
	}
}
