package lacenode

import (
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceunit"
)

// supersededDivisor divides ApplyTimeout: for that fraction of it, an instance keeps using a configuration after it has
// learned that a newer one exists. The rest is for the propagation delay of that information.
const supersededDivisor = 3

// tableFreshness returns the freshness of the routing table.
func (n *Node) tableFreshness() lacerelay.Freshness {
	s, now := n.followers[configsFollower].Status(), n.tracker.Now()
	switch {
	case s.PendingSince > 0 &&
		(now.Sub(s.PendingSince) > n.settings.ApplyTimeout/supersededDivisor ||
			now.Sub(s.SyncedAt) > n.settings.ApplyTimeout):
		return lacerelay.Superseded
	case now.Sub(s.SyncedAt) > n.settings.ApplyTimeout:
		return lacerelay.PossiblyStale
	}
	return lacerelay.Fresh
}

// changePeriod is how long after a change of the backend servers further ones are to be expected: releases and changes of
// their number come in series.
const changePeriod = 10 * time.Second

// serversLate reports whether changes of the backend servers are to be expected and late because this instance's own link
// is saturated. An old copy is not late on a link with room: the store and the peers are unavailable then, and refusing
// all requests would not help.
func (n *Node) serversLate() bool {
	now := n.tracker.Now()
	return now.Sub(n.followers[serversFollower].Status().SyncedAt) > staleAge &&
		now.Sub(laceunit.Uptime(n.serversChangedAt.Load())) < changePeriod && n.link.Saturated(time.Now())
}

// versionsCurrent reports whether this instance knows the software versions in service: its copies of the servers and of
// what instances write are current.
func (n *Node) versionsCurrent() bool {
	now := n.tracker.Now()
	for _, i := range []int{serversFollower, fleetFollower} {
		if now.Sub(n.followers[i].Status().SyncedAt) > staleAge {
			return false
		}
	}
	return true
}

// normalizeServer returns the decoded entry of a backend server, nil if it is malformed. Servers rewrite their entries
// with each report, mostly without a change of content.
func (n *Node) normalizeServer(e laceplatform.Entry) any {
	b, err := n.adapter.DecodeBackend(e)
	if err != nil {
		return nil
	}
	return b
}
