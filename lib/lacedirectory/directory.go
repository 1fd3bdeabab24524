package lacedirectory

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// maxAddresses bounds the number of addresses in a response to a caller.
	maxAddresses = 64
	// shrinkDelay is how long a larger member count stays in effect after the fleet has shrunk: no instance may raise
	// its share of fleet-wide limits while entries are registered again after an outage.
	shrinkDelay = 15 * time.Second
	// endedTimeout is how long an instance has to be missing until its incarnation counts as ended. It is longer than
	// any outage that an instance is expected to survive.
	endedTimeout = 60 * time.Second
)

// Directory is the membership as this instance sees it. It derives from it which members serve callers and which
// watch the store.
type Directory struct {
	self Member
	log  *lacelog.Logger
	now  func() time.Time

	mu           sync.Mutex
	members      map[laceunit.InstanceID]Member
	removeAt     map[laceunit.InstanceID]time.Time
	missingSince map[laceunit.Holder]time.Time
	// departed are the members whose entries were removed or have expired recently; they may still run without access
	// to the store and keep the resources that they hold.
	departed  map[laceunit.InstanceID]departure
	peakCount int
	peakAt    time.Time
	// peakActive is whether this instance was active when peakCount was set.
	peakActive   bool
	selfExcluded bool
	// active is the set of active members, nil when the members have changed since it was computed; activeList has
	// the same members in order.
	active     map[laceunit.InstanceID]bool
	activeList []Member
	// watchers are the members that watch the store, computed together with active; watcherList has the same members
	// in order.
	watchers    map[laceunit.InstanceID]bool
	watcherList []Member
	// sharingCount is how many members would be active if no entry had been removed recently.
	sharingCount int
	// candidateCount is the number of members from which active was chosen, loggedActive the number of active members
	// in the last log line about it.
	candidateCount int
	loggedActive   int
	// memberChanges counts the changes of members, stateCounts the same by state for the summary; activeChanges
	// counts the changes of the number of active members.
	memberChanges logPeriod
	stateCounts   map[string]int
	activeChanges logPeriod
}

// departure is a member with the time at which its entry was removed.
type departure struct {
	member Member
	at     time.Time
}

// NewDirectory returns a directory that lists only the instance itself.
func NewDirectory(self Member, log *lacelog.Logger) *Directory {
	return &Directory{
		self:         self,
		log:          log,
		now:          time.Now,
		stateCounts:  map[string]int{},
		members:      map[laceunit.InstanceID]Member{},
		removeAt:     map[laceunit.InstanceID]time.Time{},
		missingSince: map[laceunit.Holder]time.Time{},
		departed:     map[laceunit.InstanceID]departure{},
	}
}

// Put adds or updates a member.
func (d *Directory) Put(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := m.Holder.Instance
	old, known := d.members[id]
	d.members[id] = m
	delete(d.removeAt, id)
	delete(d.missingSince, m.Holder)
	delete(d.departed, id)
	if !known || old != m {
		d.active = nil
	}
	if !known || !old.equalExceptLoad(m) {
		d.logMember(m, stateListed)
	}
}

// Remove removes a member. Its entry may be missing only because of an outage of the store, so that the member stays
// listed until finalAt.
func (d *Directory) Remove(now time.Time, id laceunit.InstanceID, finalAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[id]
	if !ok {
		return
	}
	d.missingSince[m.Holder] = now
	if now.Before(finalAt) {
		d.removeAt[id] = finalAt
		return
	}
	d.drop(now, m)
	d.logMember(m, stateGone)
}

// drop deletes a member from the list; the lock must be held.
func (d *Directory) drop(now time.Time, m Member) {
	id := m.Holder.Instance
	delete(d.members, id)
	d.departed[id] = departure{
		member: m,
		at:     now,
	}
	d.active = nil
}

// ExcludeSelf removes the instance itself from the addresses that it gives to callers.
func (d *Directory) ExcludeSelf() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selfExcluded, d.active = true, nil
}

// Tick drops members whose entries were not registered again in time, and logs the summary of changes.
func (d *Directory) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, removeAt := range d.removeAt {
		if now.Before(removeAt) {
			continue
		}
		m := d.members[id]
		d.logMember(m, stateLapsed)
		delete(d.removeAt, id)
		d.drop(now, m)
	}
	for id, l := range d.departed {
		if now.Sub(l.at) > shrinkDelay {
			delete(d.departed, id)
			d.active = nil
		}
	}
	d.summarize(d.now())
}

// activeSet returns the set of active members and computes it if necessary; the lock must be held.
func (d *Directory) activeSet() map[laceunit.InstanceID]bool {
	if d.active != nil {
		return d.active
	}
	members := make([]Member, 0, len(d.members)+1)
	for id, m := range d.members {
		if id != d.self.Holder.Instance {
			members = append(members, m)
		}
	}
	if !d.selfExcluded {
		self := d.self
		self.Load = d.members[self.Holder.Instance].Load
		members = append(members, self)
	}
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Holder.Instance, y.Holder.Instance) })
	d.candidateCount = len(members)
	d.active = selectServing(members)
	d.sharingCount = len(d.active)
	if d.assumeDepartedAlive() {
		all := slices.Clone(members)
		for _, l := range d.departed {
			all = append(all, l.member)
		}
		d.sharingCount = max(d.sharingCount, len(selectServing(all)))
	}
	d.watchers = selectWatchers(members, d.active)
	d.activeList, d.watcherList = d.activeList[:0:0], d.watcherList[:0:0]
	for _, m := range members {
		if d.active[m.Holder.Instance] {
			d.activeList = append(d.activeList, m)
		}
		if d.watchers[m.Holder.Instance] {
			d.watcherList = append(d.watcherList, m)
		}
	}
	d.logActive(d.now())
	return d.active
}

// assumeDepartedAlive reports whether recently departed members are assumed to run on without the store. In a fleet
// that is small enough for all instances to be active, their callers move to the other instances, and the shares have
// to follow; in a larger one an instance that was on standby a moment ago would take over the shares of all others.
// The lock must be held.
func (d *Directory) assumeDepartedAlive() bool {
	return len(d.departed) > 0 && len(d.members)+len(d.departed) > maxAllActive
}

// HasStandby reports whether there are standby instances.
func (d *Directory) HasStandby() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeSet()
	return len(d.activeList) < len(d.members)
}

// Active reports whether this instance serves callers; otherwise it is on standby.
func (d *Directory) Active() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeSet()[d.self.Holder.Instance]
}

// IsWatcher reports whether this instance watches the store; otherwise it replicates changes from those that do.
func (d *Directory) IsWatcher() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeSet()
	return d.watchers[d.self.Holder.Instance]
}

// Watchers returns the other instances that watch the store, nearest first.
func (d *Directory) Watchers() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeSet()
	return d.othersByDistance(d.watcherList)
}

// Self returns the instance itself.
func (d *Directory) Self() laceunit.Holder { return d.self.Holder }

// ActivePeers returns the other active instances, nearest first.
func (d *Directory) ActivePeers() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeSet()
	return d.othersByDistance(d.activeList)
}

// othersByDistance returns members without this instance, nearest first.
func (d *Directory) othersByDistance(members []Member) []Member {
	list := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Holder.Instance != d.self.Holder.Instance {
			list = append(list, m)
		}
	}
	sortByDistance(list, d.self.Place)
	return list
}

// sortByDistance sorts members by their distance from a place; members at the same distance keep their order.
func sortByDistance(list []Member, place laceunit.Place) {
	slices.SortStableFunc(list, func(x, y Member) int {
		return cmp.Compare(distance(x.Place, place), distance(y.Place, place))
	})
}

// standbyWeight is the weight of each member in a standby instance's divisor of fleet-wide limits. Its share is that
// small because only requests that probe it reach it.
const standbyWeight = 4

// ShareCount returns the divisor of fleet-wide limits for this instance. A standby instance gets a small share, so
// that all shares together stay within the margin that such limits keep.
func (d *Directory) ShareCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	active := d.activeSet()
	n := max(len(d.activeList), 1)
	if !active[d.self.Holder.Instance] {
		n = standbyWeight * max(len(d.members), 1)
	}
	now := time.Now()
	if n >= d.peakCount || now.Sub(d.peakAt) > shrinkDelay || active[d.self.Holder.Instance] != d.peakActive {
		d.peakCount, d.peakAt, d.peakActive = n, now, active[d.self.Holder.Instance]
	}
	return d.peakCount
}

// Size returns among how many instances the tokens and connections for callers are divided. In a large fleet it
// includes members whose entries were removed recently.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeSet()
	return max(d.sharingCount, 1)
}

// Live reports whether an incarnation is listed; in a large fleet also whether it was until recently.
func (d *Directory) Live(h laceunit.Holder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[h.Instance]
	if !ok && d.assumeDepartedAlive() {
		m = d.departed[h.Instance].member
	}
	return m.Holder == h
}

// HasEarlier reports whether another listed instance may have used the store before an era.
func (d *Directory) HasEarlier(era laceplatform.Era) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, m := range d.members {
		if id != d.self.Holder.Instance && m.Era < era {
			return true
		}
	}
	return false
}

// Ended reports whether an incarnation has been missing for longer than endedTimeout.
func (d *Directory) Ended(h laceunit.Holder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if m, ok := d.members[h.Instance]; ok && m.Holder == h {
		return false
	}
	since, ok := d.missingSince[h]
	if !ok {
		d.missingSince[h] = now
		return false
	}
	return now.Sub(since) > endedTimeout
}

// PeerAddress returns the address of an instance for calls between instances.
func (d *Directory) PeerAddress(id laceunit.InstanceID) (laceunit.Address, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[id]
	return m.PeerAddress, ok && m.PeerAddress != ""
}

// Members returns the other instances, sorted by ID.
func (d *Directory) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Member, 0, len(d.members))
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		if id != d.self.Holder.Instance {
			list = append(list, d.members[id])
		}
	}
	return list
}

// Addresses returns the addresses for a caller at a place, those in its own zone and then its region first.
func (d *Directory) Addresses(place laceunit.Place) []laceunit.Address {
	d.mu.Lock()
	d.activeSet()
	list := withoutIsolated(d.activeList)
	d.mu.Unlock()
	if len(list) > maxAddresses {
		// Each response has another random subset, so that all active instances get callers.
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	sortByDistance(list, place)
	list = list[:min(len(list), maxAddresses)]
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
