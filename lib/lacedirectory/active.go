package lacedirectory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

const (
	// maxAllActive is the largest fleet in which all instances are active: in such a fleet every instance's capacity
	// is needed, and each still sees enough requests of an account to measure its rate.
	maxAllActive = 12
	// minActiveShare is the share of the fleet's capacity that is active at any load, so that a fleet that has just
	// started has headroom. Operators size a fleet for its peak plus the loss of instances.
	minActiveShare = 1.0 / 8
	// targetUtilization is the average CPU utilization of the active instances above which more become active;
	// response times start to suffer from CPU contention at about twice that.
	targetUtilization = 0.35
	// strongUtilization is the same threshold while only strong instances are active. It is higher because weaker
	// instances get as many callers each as strong ones, so that many of them have to become active at once.
	strongUtilization = 0.6
	// strongFactor is the ratio to the median capacity from which an instance counts as strong, that is, as meant to
	// carry load.
	strongFactor = 2
	// minStrong is how many strong instances suffice without any weaker ones; fewer could all be lost at once.
	minStrong = 4
)

// selectActive chooses the active members, which serve callers: the strongest ones, as few as the load needs.
//
// Callers pick an address at random, so that each active member gets the same share of the load and the weakest one
// bounds the capacity of the set. The choice is a pure function of the members, so that instances with the same list
// agree without coordination. A member that is not chosen is on standby: it holds no tokens and few connections, and
// serves callers as soon as the list changes.
func selectActive(members []Member) map[laceunit.InstanceID]bool {
	active := make(map[laceunit.InstanceID]bool, len(members))
	if len(members) <= maxAllActive {
		for _, m := range members {
			active[m.Holder.Instance] = true
		}
		return active
	}
	order := rankMembers(members)
	var total, load Cores
	for _, m := range members {
		total += m.Capacity
		load += m.Load
	}
	required := max(minActiveShare*total, load/targetUtilization)
	minCount := countNeeded(order, countStrong(order), load)
	switch {
	case minCount < minStrong:
		minCount = maxAllActive
	case load <= strongUtilization*Cores(minCount)*order[minCount-1].Capacity:
		required = min(required, Cores(minCount)*order[minCount-1].Capacity)
	}
	provided := Cores(0)
	for i, m := range order {
		if i >= minCount && provided >= required {
			break
		}
		active[m.Holder.Instance] = true
		provided = max(provided, Cores(i+1)*m.Capacity)
	}
	return active
}

// countStrong counts the strong members, which come first in the ranked list.
func countStrong(order []Member) int {
	median := order[len(order)/2].Capacity
	n := 0
	for n < len(order) && order[n].Capacity >= strongFactor*median {
		n++
	}
	return n
}

// countNeeded returns how many of the strong members are active at least. Where strong members differ in capacity, the
// strongest ones suffice as long as they carry the load: with fewer active members, each sees more requests of an
// account and of a prompt, and holds enough of the account's tokens for them.
func countNeeded(order []Member, strong int, load Cores) int {
	for n := minStrong; n < strong; n++ {
		weakest := order[n-1].Capacity
		if order[n].Capacity < weakest && load <= strongUtilization*Cores(n)*weakest {
			return n
		}
	}
	return strong
}

// rankMembers sorts members by descending capacity; members of equal capacity alternate between zones, so that any
// prefix of the list is spread over them.
func rankMembers(members []Member) []Member {
	type ranked struct {
		Member
		turn int
		hash uint64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{
			Member: m,
			// Members of equal capacity are sorted by a hash, so that their order does not depend on their names.
			hash: xxhash.Sum64String(string(m.Holder.Instance)),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.hash, b.hash),
			cmp.Compare(a.Holder.Instance, b.Holder.Instance))
	})
	type group struct {
		capacity Cores
		zone     laceunit.ZoneID
	}
	turns := map[group]int{}
	for i := range list {
		g := group{
			capacity: list[i].Capacity,
			zone:     list[i].Place.Zone,
		}
		list[i].turn = turns[g]
		turns[g]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.turn, b.turn))
	})
	order := make([]Member, 0, len(list))
	for _, r := range list {
		order = append(order, r.Member)
	}
	return order
}
