package lacenode

import (
	"testing"
	"time"

	"lacewingcove/lib/lacerelay"
)

// Guards against an instance that answers by a configuration which it knows to be replaced, or says that a route does not exist
// because its own copy is old.
func TestWhatAnOldCopyMayBeUsedFor(t *testing.T) {
	one, two := newPeered(t, "op/", "servers/"), newPeered(t, "op/", "servers/")
	two.node.settings.ApplyTimeout = 3 * time.Second
	expect := func(when string, want lacerelay.Freshness) {
		t.Helper()
		if got := two.node.standing(); got != want {
			t.Errorf("%s: standing %d, not %d", when, got, want)
		}
	}
	expect("without a copy", lacerelay.PossiblyStale)
	one.written(t, 5, routesText(5000))
	two.round(t, one, 0)
	expect("current", lacerelay.Fresh)
	two.now = two.now.Add(2900 * time.Millisecond)
	expect("of 2.9 s ago", lacerelay.Fresh)
	two.now = two.now.Add(200 * time.Millisecond)
	expect("of 3.1 s ago", lacerelay.PossiblyStale)
	one.now = two.now
	one.written(t, 6, append(routesText(9000), routesText(70)...))
	two.round(t, one, 16)
	if two.node.followers[configsFollower].Status().PendingSince == 0 {
		t.Fatal("the new copy came within 16 bytes")
	}
	expect("of 3.1 s ago, and a newer one is known", lacerelay.Superseded)
	two.round(t, one, 0)
	expect("the newer one is here", lacerelay.Fresh)
	one.written(t, 7, append(routesText(9000), routesText(71)...))
	h, _ := two.round(t, one, 16)
	if !h.large {
		t.Fatal("the next copy came within 16 bytes")
	}
	two.now = two.now.Add(900 * time.Millisecond)
	expect("a newer one is known for 0.9 s", lacerelay.Fresh)
	two.now = two.now.Add(200 * time.Millisecond)
	expect("a newer one is known for 1.1 s", lacerelay.Superseded)
	two.now = two.now.Add(10 * time.Second)
	expect("nobody has spoken of it for long", lacerelay.PossiblyStale)
}
