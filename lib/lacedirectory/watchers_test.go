package lacedirectory

import (
	"testing"

	"lacewingcove/lib/laceunit"
)

// withLink sets the link bandwidth of members.
func withLink(members []Member, link Megabits) []Member {
	for i := range members {
		members[i].Link = link
	}
	return members
}

// Guards against a full configuration sent to every instance over narrow links, and against a fleet without watchers
// or with watchers in one zone only.
func TestWatchersHaveWideLinks(t *testing.T) {
	for name, c := range map[string]struct {
		members     []Member
		least, most int
		wideOnly    bool
	}{
		"small and uniform": {members: withLink(fleet("a", 7, 3, 0.4, 0.1), 1000), least: 7, most: 7},
		"small with narrow ones": {
			members: append(
				withLink(fleet("wide", 4, 2, 0.4, 0.1), 200),
				withLink(fleet("narrow", 5, 2, 0.4, 0.1), 10)...,
			),
			least: 4, most: 4, wideOnly: true,
		},
		"links unknown": {members: fleet("a", 300, 6, 0.192, 0), least: 18, most: 18},
		"strong and wide": {
			members: append(
				withLink(fleet("wide", 8, 4, 0.8, 0.1), 200),
				withLink(fleet("narrow", 78, 4, 0.192, 0), 10)...,
			),
			least: 8, most: 8, wideOnly: true,
		},
		"strong and overloaded": {
			members: append(
				withLink(fleet("wide", 8, 4, 0.8, 0.7), 200),
				withLink(fleet("narrow", 78, 4, 0.192, 0), 10)...,
			),
			least: 8, most: 8, wideOnly: true,
		},
		"one wide link": {
			members: append(
				withLink(fleet("wide", 1, 1, 0.4, 0.1), 1000),
				withLink(fleet("narrow", 60, 4, 0.4, 0.1), 100)...,
			),
			least: minWatchers, most: minWatchers,
		},
		"strong and narrow": {
			members: append(
				withLink(fleet("narrow", 8, 4, 0.8, 0.1), 10),
				withLink(fleet("wide", 78, 4, 0.192, 0), 200)...,
			),
			least: minWatchers, most: minWatchers, wideOnly: true,
		},
	} {
		watchers := selectWatchers(c.members, selectActive(c.members))
		if n := len(watchers); n < c.least || n > c.most {
			t.Errorf("%s: %d of %d watch the store, want %d to %d", name, n, len(c.members), c.least, c.most)
		}
		zones := map[laceunit.ZoneID]bool{}
		for _, m := range c.members {
			if !watchers[m.Holder.Instance] {
				continue
			}
			zones[m.Place.Zone] = true
			if c.wideOnly && m.Holder.Instance[:4] != "wide" {
				t.Errorf("%s: %s watches the store over a narrow link", name, m.Holder.Instance)
			}
		}
		if len(zones) < 2 {
			t.Errorf("%s: all watchers are in one zone", name)
		}
	}
}
