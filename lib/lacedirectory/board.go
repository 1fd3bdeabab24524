package lacedirectory

import (
	"cmp"
	"maps"
	"math/rand/v2"
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
type Directory struct {
	self Member
	log  *lacelog.Logger
	now  func() time.Time

	mu      sync.Mutex
	members map[laceunit.InstanceID]Member
	until   map[laceunit.InstanceID]time.Time
	missing map[laceunit.Holder]time.Time
	// lapsed are members whose entries went lately; they may live on out of the store's reach, with what they hold.
	lapsed map[laceunit.InstanceID]lapse
	peak   int
	peaked time.Time
	// counted is whether this instance took callers when peak was set.
	counted bool
	absent  bool
	// active is the set that takes callers, nil when the members have changed since it was chosen; order lists it.
	active map[laceunit.InstanceID]bool
	order  []Member
	// sources are those that watch the store, as chosen with active; origins lists them.
	sources map[laceunit.InstanceID]bool
	origins []Member
	// sharing is how many would take callers if no entry had gone lately.
	sharing int
	// candidates is from how many members active was chosen, told how many take callers by the last line.
	candidates int
	told       int
	// noted counts changes of members by state for the summary, chosen those of the number that takes callers.
	noted  period
	states map[string]int
	chosen period
}

// lapse is a member whose entry has gone at a moment.
type lapse struct {
	member Member
	at     time.Time
}

// NewBoard returns a board that lists only the instance itself.
func NewDirectory(self Member, log *lacelog.Logger) *Directory {
	return &Directory{
		self:    self,
		log:     log,
		now:     time.Now,
		states:  map[string]int{},
		members: map[laceunit.InstanceID]Member{},
		until:   map[laceunit.InstanceID]time.Time{},
		missing: map[laceunit.Holder]time.Time{},
		lapsed:  map[laceunit.InstanceID]lapse{},
	}
}

// Put lists a member.
func (b *Directory) Put(m Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := m.Holder.Instance
	old, known := b.members[id]
	b.members[id] = m
	delete(b.until, id)
	delete(b.missing, m.Holder)
	delete(b.lapsed, id)
	if !known || old != m {
		b.active = nil
	}
	if !known || !old.same(m) {
		b.note(m, stateListed)
	}
}

// Remove drops a member. Its entry may only be missing because the store was away; it stays listed until settles.
func (b *Directory) Remove(now time.Time, id laceunit.InstanceID, settles time.Time) {
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
	b.drop(now, m)
	b.note(m, stateGone)
}

// drop takes a member out of the list; the lock must be held.
func (b *Directory) drop(now time.Time, m Member) {
	id := m.Holder.Instance
	delete(b.members, id)
	b.lapsed[id] = lapse{
		member: m,
		at:     now,
	}
	b.active = nil
}

// Leave takes the instance itself out of the answers.
func (b *Directory) ExcludeSelf() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.absent, b.active = true, nil
}

// Tick drops members whose entries have not come back in time, and writes the summary of what changed.
func (b *Directory) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, until := range b.until {
		if now.Before(until) {
			continue
		}
		m := b.members[id]
		b.note(m, stateLapsed)
		delete(b.until, id)
		b.drop(now, m)
	}
	for id, l := range b.lapsed {
		if now.Sub(l.at) > shrinkTime {
			delete(b.lapsed, id)
			b.active = nil
		}
	}
	b.summarize(b.now())
}

// choose returns the set that takes callers; the lock must be held.
func (b *Directory) choose() map[laceunit.InstanceID]bool {
	if b.active != nil {
		return b.active
	}
	members := make([]Member, 0, len(b.members)+1)
	for id, m := range b.members {
		if id != b.self.Holder.Instance {
			members = append(members, m)
		}
	}
	if !b.absent {
		self := b.self
		self.Load = b.members[self.Holder.Instance].Load
		members = append(members, self)
	}
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Holder.Instance, y.Holder.Instance) })
	b.candidates = len(members)
	b.active = activeSet(members)
	b.sharing = len(b.active)
	if b.outOfReach() {
		all := slices.Clone(members)
		for _, l := range b.lapsed {
			all = append(all, l.member)
		}
		b.sharing = max(b.sharing, len(activeSet(all)))
	}
	b.sources = sourceSet(members, b.active)
	b.order, b.origins = b.order[:0:0], b.origins[:0:0]
	for _, m := range members {
		if b.active[m.Holder.Instance] {
			b.order = append(b.order, m)
		}
		if b.sources[m.Holder.Instance] {
			b.origins = append(b.origins, m)
		}
	}
	b.noteActive(b.now())
	return b.active
}

// outOfReach reports whether members that lapsed lately are taken to live on without the store. In a fleet that is small
// enough for all of it to take callers, these move to the others with what they need, and the parts follow them; in a larger
// one an instance that stood by a moment ago would take the parts of all others. The lock must be held.
func (b *Directory) outOfReach() bool {
	return len(b.lapsed) > 0 && len(b.members)+len(b.lapsed) > wholeFleet
}

// Reserves reports whether some instances stand by.
func (b *Directory) Reserves() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choose()
	return len(b.order) < len(b.members)
}

// Active reports whether this instance takes callers; otherwise it stands by.
func (b *Directory) Active() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.choose()[b.self.Holder.Instance]
}

// Watches reports whether this instance watches the store; otherwise it hears of changes from those that do.
func (b *Directory) IsWatcher() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choose()
	return b.sources[b.self.Holder.Instance]
}

// Sources returns the other instances that watch the store, those of this instance's zone first.
func (b *Directory) Watchers() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choose()
	return b.others(b.origins)
}

// Self returns this instance.
func (b *Directory) Self() laceunit.Holder { return b.self.Holder }

// Partners returns the other instances that take callers, those of this instance's zone first.
func (b *Directory) ActivePeers() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choose()
	return b.others(b.order)
}

// others returns members without this instance, the near ones first.
func (b *Directory) others(members []Member) []Member {
	list := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Holder.Instance != b.self.Holder.Instance {
			list = append(list, m)
		}
	}
	nearest(list, b.self.Place)
	return list
}

// nearest sorts members by their distance from a place.
func nearest(list []Member, place laceunit.Place) {
	slices.SortStableFunc(list, func(x, y Member) int {
		return cmp.Compare(distance(x.Place, place), distance(y.Place, place))
	})
}

// standbyWeight is how many active instances' shares of a fleet-wide bound each instance counts as that stands by: only
// requests that check on it reach it.
const standbyWeight = 4

// Count returns among how many instances fleet-wide bounds are divided, as this one has to see it. What stands by takes
// part with little, so that all shares together stay within the margin that such bounds keep.
func (b *Directory) ShareCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	active := b.choose()
	n := max(len(b.order), 1)
	if !active[b.self.Holder.Instance] {
		n = standbyWeight * max(len(b.members), 1)
	}
	now := time.Now()
	if n >= b.peak || now.Sub(b.peaked) > shrinkTime || active[b.self.Holder.Instance] != b.counted {
		b.peak, b.peaked, b.counted = n, now, active[b.self.Holder.Instance]
	}
	return b.peak
}

// Size returns how many instances share what callers need. In a large fleet those whose entries went lately count.
func (b *Directory) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choose()
	return max(b.sharing, 1)
}

// Live reports whether an incarnation is listed, or was until lately.
func (b *Directory) Live(h laceunit.Holder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[h.Instance]
	if !ok && b.outOfReach() {
		m = b.lapsed[h.Instance].member
	}
	return m.Holder == h
}

// Ended reports whether an incarnation has been missing for so long that it counts as gone.
func (b *Directory) Ended(h laceunit.Holder) bool {
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

// Peer returns the address of an instance for other instances.
func (b *Directory) PeerAddress(id laceunit.InstanceID) (laceunit.Address, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[id]
	return m.PeerAddress, ok && m.PeerAddress != ""
}

// Members returns the other instances in order.
func (b *Directory) Members() []Member {
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
func (b *Directory) Addresses(place laceunit.Place) []laceunit.Address {
	b.mu.Lock()
	b.choose()
	list := slices.Clone(b.order)
	b.mu.Unlock()
	if len(list) > mostAddresses {
		// Each answer names another part, so that all of them get callers.
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	nearest(list, place)
	list = list[:min(len(list), mostAddresses)]
	addresses := make([]laceunit.Address, 0, len(list))
	for _, m := range list {
		addresses = append(addresses, m.CallerAddress)
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
