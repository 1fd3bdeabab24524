package lacedirectory

import (
	"testing"

	"lacewingcove/lib/laceunit"
)

// linked gives members a link.
func linked(members []Member, link Megabits) []Member {
	for i := range members {
		members[i].Link = link
	}
	return members
}

// Guards against whole configurations that every instance takes over the narrow link of its machine, and against a fleet in which
// nobody, or one zone only, watches the store.
func TestWhoWatchesTheStoreHasRoom(t *testing.T) {
	for name, c := range map[string]struct {
		members     []Member
		least, most int
		wideOnly    bool
	}{
		"small and alike":        {members: linked(fleet("a", 7, 3, 0.4, 0.1), 1000), least: 7, most: 7},
		"small with narrow ones": {members: append(linked(fleet("wide", 4, 2, 0.4, 0.1), 200), linked(fleet("narrow", 5, 2, 0.4, 0.1), 10)...), least: 4, most: 4, wideOnly: true},
		"links not known":        {members: fleet("a", 300, 6, 0.192, 0), least: 18, most: 18},
		"strong and wide": {
			members: append(linked(fleet("wide", 8, 4, 0.8, 0.1), 200), linked(fleet("narrow", 78, 4, 0.192, 0), 10)...),
			least:   8, most: 8, wideOnly: true,
		},
		"strong and overloaded": {
			members: append(linked(fleet("wide", 8, 4, 0.8, 0.7), 200), linked(fleet("narrow", 78, 4, 0.192, 0), 10)...),
			least:   8, most: 8, wideOnly: true,
		},
		"one wide link": {
			members: append(linked(fleet("wide", 1, 1, 0.4, 0.1), 1000), linked(fleet("narrow", 60, 4, 0.4, 0.1), 100)...),
			least:   leastSources, most: leastSources,
		},
		"strong and narrow": {
			members: append(linked(fleet("narrow", 8, 4, 0.8, 0.1), 10), linked(fleet("wide", 78, 4, 0.192, 0), 200)...),
			least:   leastSources, most: leastSources, wideOnly: true,
		},
	} {
		sources := sourceSet(c.members, activeSet(c.members))
		if n := len(sources); n < c.least || n > c.most {
			t.Errorf("%s: %d of %d watch the store, not %d to %d", name, n, len(c.members), c.least, c.most)
		}
		zones := map[laceunit.ZoneID]bool{}
		for _, m := range c.members {
			if !sources[m.Holder.Instance] {
				continue
			}
			zones[m.Place.Zone] = true
			if c.wideOnly && m.Holder.Instance[:4] != "wide" {
				t.Errorf("%s: %s watches the store over a narrow link", name, m.Holder.Instance)
			}
		}
		if len(zones) < 2 {
			t.Errorf("%s: all instances that watch the store are in one zone", name)
		}
	}
}
