package lacedirectory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

const (
	// mostAddresses bounds an answer to a caller.
	mostAddresses = 64
	// shrinkTime is how long a larger number of members keeps counting: shares of fleet-wide bounds must not grow at
	// each instance while entries come back after an outage.
	shrinkTime = 15 * time.Second
	// endedTime is how long an instance is missing before its incarnation counts as ended. It is longer than any
	// outage that an instance is expected to come back from.
	endedTime = 60 * time.Second
)

// Board is the set of members as this instance knows it.
type Board struct {
	self Member
	log  *lacelog.Logger

	mu      sync.Mutex
	members map[laceunit.InstanceID]Member
	until   map[laceunit.InstanceID]time.Time
	missing map[laceunit.Holder]time.Time
	peak    int
	peaked  time.Time
	absent  bool
}

// NewBoard returns a board that lists only the instance itself.
func NewBoard(self Member, log *lacelog.Logger) *Board {
	return &Board{
		self:    self,
		log:     log,
		members: map[laceunit.InstanceID]Member{},
		until:   map[laceunit.InstanceID]time.Time{},
		missing: map[laceunit.Holder]time.Time{},
	}
}

// Put lists a member.
func (b *Board) Put(m Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := m.Holder.Instance
	old, known := b.members[id]
	b.members[id] = m
	delete(b.until, id)
	delete(b.missing, m.Holder)
	if !known || old != m {
		b.note(m, "listed")
	}
}

// Remove drops a member. Its entry may only be missing because the store was away; it stays listed until settles.
func (b *Board) Remove(now time.Time, id laceunit.InstanceID, settles time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[id]
	if !ok {
		return
	}
	b.missing[m.Holder] = now
	if now.Before(settles) {
		b.until[id] = settles
		return
	}
	delete(b.members, id)
	b.note(m, "gone")
}

// Leave takes the instance itself out of the answers.
func (b *Board) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.absent = true
}

// Tick drops members whose entries have not come back in time.
func (b *Board) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, until := range b.until {
		if now.Before(until) {
			continue
		}
		b.note(b.members[id], "lapsed")
		delete(b.members, id)
		delete(b.until, id)
	}
}

// Count returns how many instances share fleet-wide bounds.
func (b *Board) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	n := max(len(b.members), 1)
	if n >= b.peak || now.Sub(b.peaked) > shrinkTime {
		b.peak, b.peaked = n, now
	}
	return b.peak
}

// Live reports whether an incarnation is listed.
func (b *Board) Live(h laceunit.Holder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[h.Instance]
	return ok && m.Holder == h
}

// Ended reports whether an incarnation has been missing for so long that it counts as gone.
func (b *Board) Ended(h laceunit.Holder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if m, ok := b.members[h.Instance]; ok && m.Holder == h {
		return false
	}
	since, ok := b.missing[h]
	if !ok {
		b.missing[h] = now
		return false
	}
	return now.Sub(since) > endedTime
}

// Members returns the other instances in order.
func (b *Board) Members() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Member, 0, len(b.members))
	for _, id := range slices.Sorted(maps.Keys(b.members)) {
		if id != b.self.Holder.Instance {
			list = append(list, b.members[id])
		}
	}
	return list
}

// Addresses returns the addresses for a caller at a place, those of its own zone and region first.
func (b *Board) Addresses(place laceunit.Place) []laceunit.Address {
	list := b.Members()
	b.mu.Lock()
	if !b.absent {
		list = append(list, b.self)
	}
	b.mu.Unlock()
	slices.SortStableFunc(list, func(x, y Member) int {
		return cmp.Compare(distance(x.Place, place), distance(y.Place, place))
	})
	addresses := make([]laceunit.Address, 0, min(len(list), mostAddresses))
	for _, m := range list[:min(len(list), mostAddresses)] {
		addresses = append(addresses, m.Caller)
	}
	return addresses
}

func distance(a, b laceunit.Place) int {
	switch {
	case a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

func (b *Board) note(m Member, state string) {
	b.log.Write(lacelog.Member, lacelog.P("member", m.Holder.String()), lacelog.P("zone", m.Place.Zone),
		lacelog.P("address", m.Caller), lacelog.P("state", state), lacelog.P("members", len(b.members)))
}
