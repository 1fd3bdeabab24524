package lacedirectory

import (
	"math/rand/v2"
	"slices"

	"lacewingcove/lib/laceunit"
)

// SetIsolated sets whether this instance reaches no backend server, before its entry in the store says so.
func (d *Directory) SetIsolated(isolated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.Isolated, d.active = isolated, nil
}

// ForwardingTargets returns the addresses for calls between instances of the other active instances that reach the backend
// servers, nearest first, equally near ones in random order.
func (d *Directory) ForwardingTargets() []laceunit.Address {
	d.mu.Lock()
	d.activeSet()
	list := make([]Member, 0, len(d.activeList))
	for _, m := range d.activeList {
		if m.Holder.Instance != d.self.Holder.Instance && !m.Isolated && m.PeerAddress != "" {
			list = append(list, m)
		}
	}
	place := d.self.Place
	d.mu.Unlock()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sortByDistance(list, place)
	addresses := make([]laceunit.Address, 0, len(list))
	for _, m := range list {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// withoutIsolated returns the members that reach the backend servers, or a copy of all if none does.
func withoutIsolated(members []Member) []Member {
	reaching := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Isolated })
	if len(reaching) == 0 {
		return slices.Clone(members)
	}
	return reaching
}

// selectServing chooses the active members like selectActive, in a large fleet among those that reach the backend servers.
// In a small fleet all members are active, whose callers may go on using them.
func selectServing(members []Member) map[laceunit.InstanceID]bool {
	if len(members) <= maxAllActive {
		return selectActive(members)
	}
	reaching := withoutIsolated(members)
	var load, reachingLoad Cores
	for _, m := range members {
		load += m.Load
	}
	for _, m := range reaching {
		reachingLoad += m.Load
	}
	for i := range reaching {
		// The callers of the others come to these.
		reaching[i].Load += (load - reachingLoad) / Cores(len(reaching))
	}
	return selectActive(reaching)
}
