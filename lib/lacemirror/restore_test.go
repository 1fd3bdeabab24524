package lacemirror

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

func revisionOf(t *testing.T, era laceplatform.Era, number int64) laceplatform.Revision {
	t.Helper()
	r, err := laceplatform.NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// restore puts the store back to an earlier state and begins a new era.
func (h *history) restore(to history) {
	next, err := laceplatform.NewRevision(h.last.Era()+1, to.last.Number())
	if err != nil {
		panic(err)
	}
	// The history before the backup can't be watched from a revision of the new era.
	*h = history{
		entries: map[laceplatform.Key]laceplatform.Entry{},
		last:    next,
	}
	for k, e := range to.entries {
		e.Revision, err = laceplatform.NewRevision(next.Era(), e.Revision.Number())
		if err != nil {
			panic(err)
		}
		h.entries[k] = e
	}
}

func (h *history) clone() history {
	c := *h
	c.entries, c.events = map[laceplatform.Key]laceplatform.Entry{}, slices.Clone(h.events)
	for k, e := range h.entries {
		c.entries[k] = e
	}
	return c
}

// Guards against copies that keep entries of a lost history, or miss entries of the new one, when a store is restored from
// a backup and gives its revisions out again.
func TestCopiesConvergeAcrossRestores(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(58))
	properties.Property("copies equal the store", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		h := &history{entries: map[laceplatform.Key]laceplatform.Entry{}}
		h.change(random)
		backup := h.clone()
		copies := []*Mirror{NewMirror("servers/"), NewMirror("servers/"), NewMirror("servers/")}
		for range 200 {
			m := copies[random.Intn(len(copies))]
			switch random.Intn(12) {
			case 0, 1, 2, 3, 4:
				h.change(random)
			case 5:
				backup = h.clone()
			case 6:
				h.restore(backup)
			case 7, 8: // A watch, or a list if the watch is refused.
				if m.Revision().Era() != h.last.Era() {
					m.Replace(h.list(), h.last)
				} else {
					replay(m, h)
				}
			case 9:
				m.Replace(h.list(), h.last)
			default:
				if d, ok := copies[random.Intn(len(copies))].DeltaSince(m.Revision()); ok {
					m.Merge(d)
				}
			}
		}
		want := NewMirror("servers/")
		want.Replace(h.list(), h.last)
		copies[0].Replace(h.list(), h.last)
		for i, m := range copies {
			if d, ok := copies[0].DeltaSince(m.Revision()); ok && i > 0 {
				m.Merge(d)
			}
			if d := cmp.Diff(want.Entries(), m.Entries()); d != "" {
				t.Logf("seed %d, copy %d: %s", seed, i, d)
				return false
			}
		}
		return true
	}, gen.Int64()))
	properties.TestingRun(t)
}

// outdatedStore returns lists that are older than the first one.
type outdatedStore struct {
	scriptedStore

	lists chan laceplatform.Revision
}

// List implements laceplatform.Store.
func (s *outdatedStore) List(ctx context.Context, _ laceplatform.Key) (
	[]laceplatform.Entry, laceplatform.Revision, error,
) {
	select {
	case r := <-s.lists:
		return []laceplatform.Entry{{Key: "servers/a", Revision: r}}, r, nil
	case <-ctx.Done():
		return nil, 0, errors.Wrap(laceplatform.ErrUnavailable, ctx.Err().Error())
	}
}

// Guards against a copy that counts as current because of a list that was dropped as older than the copy. An instance
// then serves by an old configuration and reports to its peers that it is current.
func TestDroppedListDoesNotMakeCopyCurrent(t *testing.T) {
	store := &outdatedStore{lists: make(chan laceplatform.Revision, 1)}
	clock := laceunit.Uptime(time.Hour)
	tracker := laceplatform.NewConnectivityTracker(func() laceunit.Uptime { return clock })
	f := NewFollower("servers/", store, tracker, lacelog.Discard(), func([]Change, Source) {})
	store.lists <- 20
	if _, err := f.list(t.Context()); err != nil || f.Status().SyncedAt != clock {
		t.Fatalf("first list: %v, status %+v", err, f.Status())
	}
	syncedAt := clock
	clock = clock.Add(time.Second)
	store.lists <- 10
	if n, err := f.list(t.Context()); err != nil || n != 0 {
		t.Errorf("result of a list that is older than the copy: %d changes, %v", n, err)
	}
	if s := f.Status(); s.SyncedAt != syncedAt || s.Revision != 20 {
		t.Errorf("status after a list that is older than the copy: %+v", s)
	}
}

// Guards against a copy of a lost history that counts as current because the restored store answers other calls, or
// because a peer confirms its copy of another era.
func TestOtherErasDoNotMakeCopyCurrent(t *testing.T) {
	clock := laceunit.Uptime(time.Hour)
	tracker := laceplatform.NewConnectivityTracker(func() laceunit.Uptime { return clock })
	f := NewFollower("servers/", nil, tracker, lacelog.Discard(), func([]Change, Source) {})
	tracker.RecordEra(1)
	f.Merge(Delta{
		Full:     true,
		Revision: revisionOf(t, 1, 20),
	})
	if !f.Confirm(revisionOf(t, 1, 20), clock) {
		t.Error("a confirmation of the same revision was ignored")
	}
	f.startWatch(clock)
	syncedAt := clock
	clock = clock.Add(time.Second)
	tracker.RecordEra(2)
	tracker.RecordResult(t.Context(), clock, nil)
	if s := f.Status(); s.SyncedAt != syncedAt {
		t.Errorf("a response in a later era made the copy current %s later", s.SyncedAt.Sub(syncedAt))
	}
	f.endWatch(false)
	f.Merge(Delta{
		Full:     true,
		Revision: revisionOf(t, 2, 10),
	})
	if f.Confirm(revisionOf(t, 1, 15), clock) {
		t.Error("a peer's copy of an earlier era confirmed this one")
	}
}

// Guards against a server that gets requests again because a backup has an earlier state of it, and against one that
// stays away although it has written its entry since.
func TestWritersOrderOutlivesRestore(t *testing.T) {
	m := NewMirror("servers/")
	m.sequence = func(e laceplatform.Entry) (Sequence, bool) {
		var s Sequence
		_, err := fmt.Sscanf(string(e.Value), "%d.%d", &s.Start, &s.Number)
		return s, err == nil
	}
	entry := func(name, value string, era laceplatform.Era, number int64) laceplatform.Entry {
		return laceplatform.Entry{
			Key:      laceplatform.Key("servers/" + name),
			Value:    []byte(value),
			Revision: revisionOf(t, era, number),
		}
	}
	m.Replace([]laceplatform.Entry{
		entry("kept", "7.1", 1, 1),
		entry("changed", "7.5", 1, 15),
		entry("gone", "7.3", 1, 3),
		entry("returned", "7.3", 1, 4),
		entry("unreadable", "?", 1, 5),
	}, revisionOf(t, 1, 16))
	for i, name := range []string{"gone", "returned"} {
		m.ApplyEvent(laceplatform.Event{
			Entry:   entry(name, "", 1, int64(17+i)),
			Deleted: true,
		})
	}
	m.Replace([]laceplatform.Entry{
		entry("kept", "7.1", 2, 1),
		entry("changed", "7.2", 2, 2),
		entry("gone", "7.3", 2, 3),
		entry("returned", "8.1", 2, 9),
		entry("unreadable", "7.1", 2, 5),
	}, revisionOf(t, 2, 10))
	got := map[laceplatform.Key]string{}
	for _, e := range m.Entries() {
		got[e.Key] = string(e.Value)
	}
	want := map[laceplatform.Key]string{
		"servers/kept": "7.1", "servers/changed": "7.5", "servers/returned": "8.1", "servers/unreadable": "7.1",
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("entries after the restore: %s", d)
	}
	m.ApplyEvent(laceplatform.Event{Entry: entry("gone", "7.4", 2, 11)})
	if _, ok := m.Get("servers/gone"); !ok {
		t.Error("a server that has written its entry again is missing")
	}
}

// Guards against a server that has left and gets requests again, because the restored store is listed a second time while it
// has the entry of the backup.
func TestSecondListDoesNotBringServersBack(t *testing.T) {
	m := NewMirror("servers/")
	m.sequence = func(e laceplatform.Entry) (Sequence, bool) {
		n, err := strconv.ParseInt(string(e.Value), 10, 64)
		return Sequence{Number: n}, err == nil
	}
	entry := func(value string, era laceplatform.Era, number int64) laceplatform.Entry {
		return laceplatform.Entry{
			Key:      "servers/a",
			Value:    []byte(value),
			Revision: revisionOf(t, era, number),
		}
	}
	m.Replace([]laceplatform.Entry{entry("3", 1, 3)}, revisionOf(t, 1, 3))
	m.ApplyEvent(laceplatform.Event{
		Entry:   entry("", 1, 9),
		Deleted: true,
	})
	for number := int64(5); number < 8; number++ {
		m.Replace([]laceplatform.Entry{entry("2", 2, 2)}, revisionOf(t, 2, number))
		if _, ok := m.Get("servers/a"); ok {
			t.Errorf("the entry of the backup is back with the list at %d", number)
		}
	}
	m.Replace([]laceplatform.Entry{entry("4", 2, 8)}, revisionOf(t, 2, 8))
	if _, ok := m.Get("servers/a"); !ok {
		t.Error("a server that has written its entry again is missing")
	}
	m.Replace(nil, revisionOf(t, 2, 9))
	m.Replace([]laceplatform.Entry{entry("4", 2, 10)}, revisionOf(t, 2, 10))
	if _, ok := m.Get("servers/a"); !ok {
		t.Error("an entry that was removed and written in the present era is missing")
	}
}
