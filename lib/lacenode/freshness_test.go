package lacenode

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacelimit"
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

// Guards against requests that are placed by a list of servers which is old because the instance's own link is full while
// servers change, and against an instance that refuses everything without contact to the store and to peers, or while
// no server changes.
func TestServersAreLateOnlyBehindSaturatedLink(t *testing.T) {
	const rate = 1 << 20
	for _, c := range []struct {
		age       time.Duration
		saturated bool
		changed   time.Duration
		late      bool
	}{
		{age: 2400 * time.Millisecond, saturated: true},
		{age: 2600 * time.Millisecond},
		{age: 2600 * time.Millisecond, saturated: true, late: true},
		{age: 2600 * time.Millisecond, saturated: true, changed: changePeriod},
	} {
		source, p := newTestPeer(t, "op/", "servers/"), newTestPeer(t, "op/", "servers/")
		source.storeValue(t, 5, routesJSON(1))
		p.queryOnce(t, source, 0)
		p.now = p.now.Add(c.age)
		p.node.serversChangedAt.Store(int64(p.now.Add(-c.changed)))
		var traffic lacelimit.LinkTraffic
		p.node.link = newLink(rate*bitsPerByte/bitsPerMegabit, func() lacelimit.LinkTraffic { return traffic },
			prometheus.NewRegistry())
		start := time.Now()
		p.node.link.Saturated(start)
		if c.saturated {
			traffic.In = rate
		}
		p.node.link.Saturated(start.Add(time.Second))
		if got := p.node.serversLate(); got != c.late {
			t.Errorf("servers of %s ago, saturated link %t, changed %s ago: late %t", c.age, c.saturated, c.changed, got)
		}
	}
}
