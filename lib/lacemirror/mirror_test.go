package lacemirror

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceplatform"
)

// history is a store with the log of its events.
type history struct {
	entries map[laceplatform.Key]laceplatform.Entry
	events  []laceplatform.Event
	last    laceplatform.Revision
}

func (h *history) change(random *rand.Rand) {
	h.last++
	e := laceplatform.Entry{
		Key:      laceplatform.Key(fmt.Sprint("servers/", random.Intn(6))),
		Value:    fmt.Append(nil, h.last),
		Revision: h.last,
	}
	_, exists := h.entries[e.Key]
	deleted := exists && random.Intn(3) == 0
	if deleted {
		delete(h.entries, e.Key)
	} else {
		h.entries[e.Key] = e
	}
	h.events = append(h.events, laceplatform.Event{
		Entry:   e,
		Deleted: deleted,
	})
}

func (h *history) list() []laceplatform.Entry {
	var list []laceplatform.Entry
	for _, e := range h.entries {
		list = append(list, e)
	}
	return list
}

// Guards against entries that reappear after their removal or are missed, when a copy is updated by delayed watches,
// by lists whose pages were read at different revisions, and by other copies.
func TestMirrorsConverge(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("copies equal the store", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		h := &history{entries: map[laceplatform.Key]laceplatform.Entry{}}
		copies := []*Mirror{NewMirror("servers/"), NewMirror("servers/"), NewMirror("servers/")}
		for range 200 {
			m := copies[random.Intn(len(copies))]
			switch random.Intn(6) {
			case 0, 1, 2:
				h.change(random)
			case 3: // A watch that starts at the revision of the copy.
				replay(m, h)
			case 4: // A list whose first page is older than its last.
				at := h.last
				h.change(random)
				m.Replace(h.list(), at)
			case 5:
				if d, ok := copies[random.Intn(len(copies))].DeltaSince(m.Revision()); ok {
					m.Merge(d)
				}
			}
		}
		for _, m := range copies {
			replay(m, h)
			want := NewMirror("servers/")
			want.Replace(h.list(), h.last)
			if d := cmp.Diff(want.Entries(), m.Entries()); d != "" {
				t.Logf("seed %d: %s", seed, d)
				return false
			}
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
}

func replay(m *Mirror, h *history) {
	for _, e := range h.events {
		if e.Entry.Revision > m.Revision() {
			m.ApplyEvent(e)
		}
	}
	m.ApplyEvent(laceplatform.Event{
		Entry:    laceplatform.Entry{Revision: h.last},
		Progress: true,
	})
}

// Guards against removals that an instance never gets after a long disconnection.
func TestCopyBehindTombstonesGetsFullDelta(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	h := &history{entries: map[laceplatform.Key]laceplatform.Entry{}}
	source, stale := NewMirror("servers/"), NewMirror("servers/")
	h.change(random)
	replay(source, h)
	replay(stale, h)
	for range 20 * maxTombstones {
		h.change(random)
	}
	replay(source, h)
	d, ok := source.DeltaSince(stale.Revision())
	if !ok || !d.Full {
		t.Fatalf("delta from before the oldest tombstone: present %t, full %t", ok, d.Full)
	}
	stale.Merge(d)
	if diff := cmp.Diff(source.Entries(), stale.Entries()); diff != "" {
		t.Error(diff)
	}
}

// Guards against an entry that is never removed at an instance whose updates come from a peer that never had the
// entry.
func TestRemovalsOfUnknownEntriesArePropagated(t *testing.T) {
	h := &history{entries: map[laceplatform.Key]laceplatform.Entry{}}
	source, relay, replica := NewMirror("servers/"), NewMirror("servers/"), NewMirror("servers/")
	change := func(key string, deleted bool) {
		h.last++
		h.events = append(h.events, laceplatform.Event{
			Entry: laceplatform.Entry{
				Key:      laceplatform.Key(key),
				Revision: h.last,
			},
			Deleted: deleted,
		})
	}
	change("servers/a", false)
	replay(relay, h)
	change("servers/b", false)
	replay(replica, h)
	change("servers/b", true)
	replay(source, h)
	for _, step := range []struct{ from, to *Mirror }{{from: source, to: relay}, {from: relay, to: replica}} {
		d, ok := step.from.DeltaSince(step.to.Revision())
		if !ok {
			t.Fatal("no delta")
		}
		step.to.Merge(d)
	}
	if d := cmp.Diff(source.Entries(), replica.Entries()); d != "" {
		t.Error(d)
	}
}

// Guards against periodic reports of servers that are propagated to every instance without a change, and against a
// report whose change is suppressed.
func TestUnchangedReportsAreNotPropagated(t *testing.T) {
	source, replica := NewMirror("servers/"), NewMirror("servers/")
	source.normalize = func(e laceplatform.Entry) any { return e.Value[0] }
	report := func(revision laceplatform.Revision, value string) bool {
		_, changed := source.ApplyEvent(laceplatform.Event{Entry: laceplatform.Entry{
			Key:      "servers/a",
			Value:    []byte(value),
			Revision: revision,
		}})
		source.ApplyEvent(laceplatform.Event{
			Entry:    laceplatform.Entry{Revision: revision},
			Progress: true,
		})
		return changed
	}
	propagate := func() int {
		d, ok := source.DeltaSince(replica.Revision())
		if !ok {
			t.Fatal("the revision of the copy is not propagated")
		}
		replica.Merge(d)
		return len(d.Entries)
	}
	for i, c := range []struct {
		value string
		new   bool
	}{
		{value: "a1", new: true},
		{value: "a2"},
		{value: "b3", new: true},
		{value: "b4"},
		{value: "b5"},
		{value: "a6", new: true},
	} {
		if changed := report(laceplatform.Revision(i+1), c.value); changed != c.new {
			t.Errorf("report %s counts as a change: %t", c.value, changed)
		}
		if n := propagate(); (n > 0) != c.new {
			t.Errorf("report %s is propagated in %d entries", c.value, n)
		}
		if replica.Revision() != source.Revision() {
			t.Errorf("the replica is at revision %d, not %d", replica.Revision(), source.Revision())
		}
	}
	// A copy that starts empty gets the latest value.
	empty := NewMirror("servers/")
	d, _ := source.DeltaSince(0)
	if changes := empty.Merge(d); len(changes) != 1 || string(changes[0].Entry.Value) != "a6" {
		t.Errorf("an empty copy gets %v", changes)
	}
}

// Guards against deltas encoded against a value that the receiver does not have, and against unbounded memory for
// previous values.
func TestPreviousValuesAreDeltaBases(t *testing.T) {
	m := NewMirror("op/")
	value := func(i int) []byte { return bytes.Repeat([]byte{byte(i)}, maxPreviousBytes/4) }
	for i := 1; i <= 8; i++ {
		m.ApplyEvent(laceplatform.Event{Entry: laceplatform.Entry{
			Key:      "op/config",
			Value:    value(i),
			Revision: laceplatform.Revision(i),
		}})
	}
	if b, data := m.Base(); b.Revision != 8 || !bytes.Equal(data, value(8)) {
		t.Errorf("the base is %+v", b)
	}
	for revision, want := range map[laceplatform.Revision]bool{3: false, 4: true, 7: true, 8: true, 9: false} {
		data, ok := m.BaseValue(Base{
			Key:      "op/config",
			Revision: revision,
		})
		if ok != want || ok && !bytes.Equal(data, value(int(revision))) {
			t.Errorf("value at revision %d: available %t", revision, ok)
		}
	}
	if m.previous.size > maxPreviousBytes {
		t.Errorf("%d bytes of previous values", m.previous.size)
	}
}
