package lacedirectory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

const (
	// wholeFleet is the size up to which all instances take callers: every one of them counts then, and each still sees
	// enough requests of an account to know its rate.
	wholeFleet = 12
	// basePart is the part of the fleet's processors that takes callers whatever the load is, so that a fleet that just
	// started has room. Operators size a fleet for its peak beside the loss of instances.
	basePart = 1.0 / 8
	// targetUse is the share of their processors that the active instances use on average before more become active;
	// answers wait for the processor from about twice that.
	targetUse = 0.35
	// strongUse is the same for strong instances before weaker ones join them: those get as many callers each, so that many
	// have to join at once.
	strongUse = 0.6
	// strongFactor is how many times the median capacity makes an instance one of those that were meant to carry load.
	strongFactor = 2
	// fewStrong is how many strong instances are enough to do without the others; fewer could all be lost at once.
	fewStrong = 4
)

// activeSet chooses the members that take callers: the strongest ones, as few as the load needs.
//
// Callers pick among the addresses at random, so that each active member gets the same part of the load and the weakest
// of them bounds what the set carries. The choice depends on nothing but the members, so that instances with the same
// list agree without a word. A member that is not chosen stands by: it holds no tokens and few connections, and takes
// callers as soon as the list changes.
func activeSet(members []Member) map[laceunit.InstanceID]bool {
	active := make(map[laceunit.InstanceID]bool, len(members))
	if len(members) <= wholeFleet {
		for _, m := range members {
			active[m.Holder.Instance] = true
		}
		return active
	}
	order := preference(members)
	var total, load Cores
	for _, m := range members {
		total += m.Capacity
		load += m.Load
	}
	need := max(basePart*total, load/targetUse)
	least := strongMembers(order)
	switch {
	case least < fewStrong:
		least = wholeFleet
	case load <= strongUse*Cores(least)*order[least-1].Capacity:
		need = min(need, Cores(least)*order[least-1].Capacity)
	}
	carried := Cores(0)
	for i, m := range order {
		if i >= least && carried >= need {
			break
		}
		active[m.Holder.Instance] = true
		carried = max(carried, Cores(i+1)*m.Capacity)
	}
	return active
}

// strongMembers counts the members at the beginning of an order that were meant to carry load.
func strongMembers(order []Member) int {
	median := order[len(order)/2].Capacity
	n := 0
	for n < len(order) && order[n].Capacity >= strongFactor*median {
		n++
	}
	return n
}

// preference orders members by capacity; among equals the zones take turns, so that a prefix is spread over them.
func preference(members []Member) []Member {
	type ranked struct {
		Member
		turn int
		hash uint64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{
			Member: m,
			// Equal members take turns in an order that does not follow their names.
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
