package lacedirectory

import (
	"cmp"
	"slices"

	"lacewingcove/lib/laceunit"
)

const (
	// wideLinkFactor is by which factor the link of a watcher may be narrower than the widest link of the fleet.
	wideLinkFactor = 2
	// maxWatchersPerZone bounds the watchers of a zone in a large fleet: enough that a zone keeps one while one is
	// lost and another restarts. The store's network link carries a full configuration for each watcher.
	maxWatchersPerZone = 3
	// minWatchers is the minimum number of watchers in any zones; fewer could all be lost at once.
	minWatchers = 4
	// zoneFreeWatchers is how many watchers are chosen before the limit for each zone applies.
	zoneFreeWatchers = 6
)

// Megabits is network bandwidth in megabits per second; zero means unknown.
type Megabits float64

// selectWatchers chooses the members that watch the store; the others replicate changes from them. Full documents
// travel only over the links of watchers, so that these are chosen by bandwidth: the active members with a wide link,
// and if these are too few, the members with the widest links. Like selectActive, it is a pure function of the
// members.
func selectWatchers(members []Member, active map[laceunit.InstanceID]bool) map[laceunit.InstanceID]bool {
	var widest Megabits
	for _, m := range members {
		widest = max(widest, m.Link)
	}
	watchers := make(map[laceunit.InstanceID]bool, len(members))
	inZone := map[laceunit.ZoneID]int{}
	add := func(m Member) {
		watchers[m.Holder.Instance] = true
		inZone[m.Place.Zone]++
	}
	order := rankMembers(members)
	wide := func(m Member) bool { return m.Link*wideLinkFactor >= widest }
	for _, m := range order {
		belowLimit := len(members) <= maxAllActive || len(watchers) < zoneFreeWatchers ||
			inZone[m.Place.Zone] < maxWatchersPerZone
		if active[m.Holder.Instance] && wide(m) && belowLimit {
			add(m)
		}
	}
	slices.SortStableFunc(order, func(a, b Member) int { return cmp.Compare(b.Link, a.Link) })
	for _, m := range order {
		if len(watchers) < minWatchers && !watchers[m.Holder.Instance] {
			add(m)
		}
	}
	return watchers
}
