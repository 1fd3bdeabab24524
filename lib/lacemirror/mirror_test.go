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

// history is a store with all of its events.
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

// Guards against entries that come back after their removal or are missed, when a copy is fed by late watches, by lists
// whose pages were read at different moments, and by other copies.
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
			case 3: // A watch that delivers from the copy's own revision.
				feed(m, h)
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
			feed(m, h)
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

func feed(m *Mirror, h *history) {
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

// Guards against removals that an instance which was away for long never hears of.
func TestOldCopiesGetEverything(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	h := &history{entries: map[laceplatform.Key]laceplatform.Entry{}}
	source, behind := NewMirror("servers/"), NewMirror("servers/")
	h.change(random)
	feed(source, h)
	feed(behind, h)
	for range 20 * tombstonesKept {
		h.change(random)
	}
	feed(source, h)
	d, ok := source.DeltaSince(behind.Revision())
	if !ok || !d.Full {
		t.Fatalf("delta over forgotten removals: present %t, full %t", ok, d.Full)
	}
	behind.Merge(d)
	if diff := cmp.Diff(source.Entries(), behind.Entries()); diff != "" {
		t.Error(diff)
	}
}

// Guards against an entry that stays for good at an instance whose news came from one that never held the entry.
func TestRemovalsOfUnknownEntriesArePassedOn(t *testing.T) {
	h := &history{entries: map[laceplatform.Key]laceplatform.Entry{}}
	source, middle, far := NewMirror("servers/"), NewMirror("servers/"), NewMirror("servers/")
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
	feed(middle, h)
	change("servers/b", false)
	feed(far, h)
	change("servers/b", true)
	feed(source, h)
	for _, step := range []struct{ from, to *Mirror }{{from: source, to: middle}, {from: middle, to: far}} {
		d, ok := step.from.DeltaSince(step.to.Revision())
		if !ok {
			t.Fatal("no delta")
		}
		step.to.Merge(d)
	}
	if d := cmp.Diff(source.Entries(), far.Entries()); d != "" {
		t.Error(d)
	}
}

// Guards against servers' regular reports that are passed on to every instance, and against one that hides a change.
func TestReportsThatSayNothingNewAreNotPassedOn(t *testing.T) {
	source, far := NewMirror("servers/"), NewMirror("servers/")
	source.meaning = func(e laceplatform.Entry) any { return e.Value[0] }
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
	pass := func() int {
		d, ok := source.DeltaSince(far.Revision())
		if !ok {
			t.Fatal("the revision of the copy is not passed on")
		}
		far.Merge(d)
		return len(d.Entries)
	}
	for i, c := range []struct {
		value string
		new   bool
	}{{value: "a1", new: true}, {value: "a2"}, {value: "b3", new: true}, {value: "b4"}, {value: "b5"}, {value: "a6", new: true}} {
		if changed := report(laceplatform.Revision(i+1), c.value); changed != c.new {
			t.Errorf("report %s says something new: %t", c.value, changed)
		}
		if n := pass(); (n > 0) != c.new {
			t.Errorf("report %s is passed on in %d entries", c.value, n)
		}
		if far.Revision() != source.Revision() {
			t.Errorf("the other copy is at revision %d, not %d", far.Revision(), source.Revision())
		}
	}
	// A copy that missed all of it gets what stands there now.
	late := NewMirror("servers/")
	d, _ := source.DeltaSince(0)
	if changes := late.Merge(d); len(changes) != 1 || string(changes[0].Entry.Value) != "a6" {
		t.Errorf("a new copy gets %v", changes)
	}
}

// Guards against changes that are described against a value that the asker does not hold, and against former values without end.
func TestFormerValuesAreBasesOfChanges(t *testing.T) {
	m := NewMirror("op/")
	value := func(i int) []byte { return bytes.Repeat([]byte{byte(i)}, formerBytes/4) }
	for i := 1; i <= 8; i++ {
		m.ApplyEvent(laceplatform.Event{Entry: laceplatform.Entry{
			Key:      "op/config",
			Value:    value(i),
			Revision: laceplatform.Revision(i),
		}})
	}
	if b, text := m.Base(); b.Revision != 8 || !bytes.Equal(text, value(8)) {
		t.Errorf("the base is %+v", b)
	}
	for revision, want := range map[laceplatform.Revision]bool{3: false, 4: true, 7: true, 8: true, 9: false} {
		text, ok := m.BaseValue(Base{
			Key:      "op/config",
			Revision: revision,
		})
		if ok != want || ok && !bytes.Equal(text, value(int(revision))) {
			t.Errorf("value at revision %d: held %t", revision, ok)
		}
	}
	if m.former.size > formerBytes {
		t.Errorf("%d bytes of former values", m.former.size)
	}
}
