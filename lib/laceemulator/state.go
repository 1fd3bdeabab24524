package laceemulator

import (
	"slices"
	"strings"
	"time"

	"lacewingcove/lib/laceplatform"
)

// DefaultHistory is how many changes are kept for watches before the oldest are compacted.
const DefaultHistory = 10000

// State is the key-value service's state machine; it takes time as input and is not safe for concurrent use.
type State struct {
	// History is how many changes are kept for watches; zero means DefaultHistory.
	History int

	revision  laceplatform.Revision
	compacted laceplatform.Revision
	keys      []laceplatform.Key
	entries   map[laceplatform.Key]laceplatform.Entry
	events    []laceplatform.Event
	leases    map[laceplatform.LeaseID]*lease
	lastLease laceplatform.LeaseID
	// due is no later than the earliest deadline of a lease, so most calls need no scan.
	due time.Time
}

// Revision returns the revision of the last change.
func (s *State) Revision() laceplatform.Revision {
	return s.revision
}

// Get returns one key, or ErrMissing.
func (s *State) Get(key laceplatform.Key) (laceplatform.Entry, error) {
	e, ok := s.entries[key]
	if !ok {
		return laceplatform.Entry{}, laceplatform.ErrMissing
	}
	return clone(e), nil
}

// List returns the keys with a prefix in key order.
func (s *State) List(prefix laceplatform.Key) []laceplatform.Entry {
	at, _ := slices.BinarySearch(s.keys, prefix)
	var found []laceplatform.Entry
	for _, k := range s.keys[at:] {
		if !strings.HasPrefix(string(k), string(prefix)) {
			break
		}
		found = append(found, clone(s.entries[k]))
	}
	return found
}

// Swap writes a key if it stands at the expected revision.
func (s *State) Swap(swap laceplatform.Swap) (laceplatform.Revision, error) {
	if len(swap.Value) > laceplatform.MaxValueBytes {
		return 0, laceplatform.ErrTooLarge
	}
	old := s.entries[swap.Key]
	if old.Revision != swap.Expect {
		return 0, laceplatform.ErrConflict
	}
	if swap.Lease != 0 && s.leases[swap.Lease] == nil {
		return 0, laceplatform.ErrLeaseGone
	}
	s.attach(swap.Key, old.Lease, swap.Lease)
	s.revision++
	e := laceplatform.Entry{
		Key:      swap.Key,
		Value:    slices.Clone(swap.Value),
		Revision: s.revision,
		Lease:    swap.Lease,
	}
	if s.entries == nil {
		s.entries = map[laceplatform.Key]laceplatform.Entry{}
	}
	if at, ok := slices.BinarySearch(s.keys, swap.Key); !ok {
		s.keys = slices.Insert(s.keys, at, swap.Key)
	}
	s.entries[swap.Key] = e
	s.record(laceplatform.Event{
		Entry: e,
	})
	return s.revision, nil
}

// Delete removes a key if it stands at the expected revision; an absent key stands at zero.
func (s *State) Delete(key laceplatform.Key, expect laceplatform.Revision) error {
	old := s.entries[key]
	if old.Revision != expect {
		return laceplatform.ErrConflict
	}
	if old.Revision != 0 {
		s.attach(key, old.Lease, 0)
		s.remove(key)
	}
	return nil
}

// Since returns the changes of a prefix after a revision, and the revision that they lead up to.
func (s *State) EventsSince(prefix laceplatform.Key, after laceplatform.Revision) ([]laceplatform.Event, laceplatform.Revision, error) {
	if after < s.compacted {
		return nil, after, laceplatform.ErrCompacted
	}
	at, _ := slices.BinarySearchFunc(s.events, after+1, func(e laceplatform.Event, r laceplatform.Revision) int {
		return int(e.Entry.Revision - r)
	})
	var found []laceplatform.Event
	for _, e := range s.events[at:] {
		if strings.HasPrefix(string(e.Entry.Key), string(prefix)) {
			found = append(found, laceplatform.Event{
				Entry:   clone(e.Entry),
				Deleted: e.Deleted,
			})
		}
	}
	return found, max(after, s.revision), nil
}

// Compact forgets the changes up to a revision; a watch can't start before it afterwards.
func (s *State) Compact(through laceplatform.Revision) {
	through = min(through, s.revision)
	if through <= s.compacted {
		return
	}
	s.compacted = through
	s.events = slices.DeleteFunc(s.events, func(e laceplatform.Event) bool {
		return e.Entry.Revision <= through
	})
}

// remove deletes a key at a revision of its own.
func (s *State) remove(key laceplatform.Key) {
	delete(s.entries, key)
	if at, ok := slices.BinarySearch(s.keys, key); ok {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
	s.revision++
	s.record(laceplatform.Event{
		Entry: laceplatform.Entry{
			Key:      key,
			Revision: s.revision,
		},
		Deleted: true,
	})
}

// record appends to the history and compacts it in steps of an eighth, so that the cost per change stays small.
func (s *State) record(event laceplatform.Event) {
	s.events = append(s.events, event)
	keep := s.History
	if keep == 0 {
		keep = DefaultHistory
	}
	if len(s.events) > keep+keep/8 {
		s.Compact(s.events[len(s.events)-keep-1].Entry.Revision)
	}
}

// clone copies the value, so that no caller shares memory with the state.
func clone(e laceplatform.Entry) laceplatform.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}
