package lacenode

import (
	"testing"
	"time"

	"lacewingcove/lib/lacerelay"
)

// Guards against an instance that serves with a configuration that it knows to be superseded, or denies that a route
// exists because its own copy is stale.
func TestTableFreshness(t *testing.T) {
	source, replica := newTestPeer(t, "op/", "servers/"), newTestPeer(t, "op/", "servers/")
	replica.node.settings.ApplyTimeout = 3 * time.Second
	expect := func(state string, want lacerelay.Freshness) {
		t.Helper()
		if got := replica.node.tableFreshness(); got != want {
			t.Errorf("%s: freshness is %d, want %d", state, got, want)
		}
	}
	expect("without a copy", lacerelay.PossiblyStale)
	source.storeValue(t, 5, routesJSON(5000))
	replica.queryOnce(t, source, 0)
	expect("current", lacerelay.Fresh)
	replica.now = replica.now.Add(2900 * time.Millisecond)
	expect("synced 2.9 s ago", lacerelay.Fresh)
	replica.now = replica.now.Add(200 * time.Millisecond)
	expect("synced 3.1 s ago", lacerelay.PossiblyStale)
	source.now = replica.now
	source.storeValue(t, 6, append(routesJSON(9000), routesJSON(70)...))
	replica.queryOnce(t, source, 16)
	if replica.node.followers[configsFollower].Status().PendingSince == 0 {
		t.Fatal("the newer version arrived within 16 bytes")
	}
	expect("synced 3.1 s ago, newer version pending", lacerelay.Superseded)
	replica.queryOnce(t, source, 0)
	expect("newer version applied", lacerelay.Fresh)
	source.storeValue(t, 7, append(routesJSON(9000), routesJSON(71)...))
	answer, _ := replica.queryOnce(t, source, 16)
	if !answer.deltaOmitted {
		t.Fatal("the next version arrived within 16 bytes")
	}
	replica.now = replica.now.Add(900 * time.Millisecond)
	expect("newer version pending for 0.9 s", lacerelay.Fresh)
	replica.now = replica.now.Add(200 * time.Millisecond)
	expect("newer version pending for 1.1 s", lacerelay.Superseded)
	replica.now = replica.now.Add(10 * time.Second)
	expect("newer version not reported for 10 s", lacerelay.PossiblyStale)
}
