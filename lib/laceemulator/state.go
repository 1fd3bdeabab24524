package laceemulator

import (
	"slices"
	"strings"
	"time"

	"lacewingcove/lib/laceplatform"
)

// DefaultHistory is how many changes are kept for watches before the oldest are compacted.
const DefaultHistory = 10000

// State is the state machine of the key-value store. It takes the time as input and is not safe for concurrent use.
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
	// nextExpiry is a lower bound of the lease deadlines, so that most calls need no scan of the leases.
	nextExpiry time.Time
}

// Revision returns the revision of the last change.
func (s *State) Revision() laceplatform.Revision {
	return s.revision
}

// Get returns the entry of a key, or ErrMissing.
func (s *State) Get(key laceplatform.Key) (laceplatform.Entry, error) {
	e, ok := s.entries[key]
	if !ok {
		return laceplatform.Entry{}, laceplatform.ErrMissing
	}
	return clone(e), nil
}

// List returns the entries with a prefix in key order.
func (s *State) List(prefix laceplatform.Key) []laceplatform.Entry {
	index, _ := slices.BinarySearch(s.keys, prefix)
	var entries []laceplatform.Entry
	for _, k := range s.keys[index:] {
		if !strings.HasPrefix(string(k), string(prefix)) {
			break
		}
		entries = append(entries, clone(s.entries[k]))
	}
	return entries
}

// Swap is a compare-and-swap: it writes a key if its revision is the expected one. An absent key has revision zero.
func (s *State) Swap(swap laceplatform.Swap) (laceplatform.Revision, error) {
	if len(swap.Value) > laceplatform.MaxValueBytes {
		return 0, laceplatform.ErrTooLarge
	}
	current := s.entries[swap.Key]
	if current.Revision != swap.Expect {
		return 0, laceplatform.ErrConflict
	}
	if swap.Lease != 0 && s.leases[swap.Lease] == nil {
		return 0, laceplatform.ErrLeaseNotFound
	}
	s.moveToLease(swap.Key, current.Lease, swap.Lease)
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
	if index, ok := slices.BinarySearch(s.keys, swap.Key); !ok {
		s.keys = slices.Insert(s.keys, index, swap.Key)
	}
	s.entries[swap.Key] = e
	s.record(laceplatform.Event{
		Entry: e,
	})
	return s.revision, nil
}

// Delete is a compare-and-delete: it removes a key if its revision is the expected one. An absent key has revision
// zero.
func (s *State) Delete(key laceplatform.Key, expect laceplatform.Revision) error {
	current := s.entries[key]
	if current.Revision != expect {
		return laceplatform.ErrConflict
	}
	if current.Revision != 0 {
		s.moveToLease(key, current.Lease, 0)
		s.removeKey(key)
	}
	return nil
}

// EventsSince returns the changes of a prefix after a revision, and the revision up to which they are complete.
func (s *State) EventsSince(
	prefix laceplatform.Key, after laceplatform.Revision,
) ([]laceplatform.Event, laceplatform.Revision, error) {
	if after < s.compacted {
		return nil, after, laceplatform.ErrCompacted
	}
	index, _ := slices.BinarySearchFunc(s.events, after+1, func(e laceplatform.Event, r laceplatform.Revision) int {
		return int(e.Entry.Revision - r)
	})
	var events []laceplatform.Event
	for _, e := range s.events[index:] {
		if strings.HasPrefix(string(e.Entry.Key), string(prefix)) {
			events = append(events, laceplatform.Event{
				Entry:   clone(e.Entry),
				Deleted: e.Deleted,
			})
		}
	}
	return events, max(after, s.revision), nil
}

// Compact discards the changes up to and including a revision. A watch can't start before that revision afterwards.
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

// removeKey deletes a key in a new revision.
func (s *State) removeKey(key laceplatform.Key) {
	delete(s.entries, key)
	if index, ok := slices.BinarySearch(s.keys, key); ok {
		s.keys = slices.Delete(s.keys, index, index+1)
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

// record appends an event to the history. It compacts the history in steps of an eighth of its length, so that the
// amortized cost per change stays small.
func (s *State) record(event laceplatform.Event) {
	s.events = append(s.events, event)
	limit := s.History
	if limit == 0 {
		limit = DefaultHistory
	}
	if len(s.events) > limit+limit/8 {
		s.Compact(s.events[len(s.events)-limit-1].Entry.Revision)
	}
}

// clone copies the value, so that callers do not share memory with the state.
func clone(e laceplatform.Entry) laceplatform.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}
