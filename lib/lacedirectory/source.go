package lacedirectory

import (
	"cmp"
	"slices"

	"lacewingcove/lib/laceunit"
)

const (
	// wideFactor is how many times narrower than the widest link one may be for its instance to watch the store.
	wideFactor = 2
	// sourcesInZone is how many instances of a zone watch the store in a large fleet: enough that a zone keeps one when one is
	// lost and one restarts. The store's link carries a whole configuration for each of them.
	sourcesInZone = 3
	// leastSources is how many instances watch at least, whatever their zones; fewer could all be lost at once.
	leastSources = 4
	// freeSources is how many watch without regard to their zones.
	freeSources = 6
)

// Megabits is what a link carries in a second; zero means that it is not known.
type Megabits float64

// sourceSet chooses the members that watch the store; the others hear of changes from them. Whole documents pass only the links of
// these, so that they are chosen by the room on their links: of the active ones those with a wide link, and those with the widest
// where these are too few. Like activeSet it depends on nothing but the members.
func sourceSet(members []Member, active map[laceunit.InstanceID]bool) map[laceunit.InstanceID]bool {
	var widest Megabits
	for _, m := range members {
		widest = max(widest, m.Link)
	}
	sources := make(map[laceunit.InstanceID]bool, len(members))
	inZone := map[laceunit.ZoneID]int{}
	add := func(m Member) {
		sources[m.Holder.Instance] = true
		inZone[m.Place.Zone]++
	}
	order := preference(members)
	wide := func(m Member) bool { return m.Link*wideFactor >= widest }
	for _, m := range order {
		room := len(members) <= wholeFleet || len(sources) < freeSources || inZone[m.Place.Zone] < sourcesInZone
		if active[m.Holder.Instance] && wide(m) && room {
			add(m)
		}
	}
	slices.SortStableFunc(order, func(a, b Member) int { return cmp.Compare(b.Link, a.Link) })
	for _, m := range order {
		if len(sources) < leastSources && !sources[m.Holder.Instance] {
			add(m)
		}
	}
	return sources
}
