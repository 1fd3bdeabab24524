package lacenode

import (
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacerelay"
)

// supersededPart is the part of the time in which a configuration has to be in force that an instance serves on from an older one
// although it knows of the newer. The rest is what that news may take to come here.
const supersededPart = 3

// standing tells what the routing table may be used for.
func (n *Node) standing() lacerelay.Freshness {
	s, now := n.followers[configsFollower].Status(), n.pulse.Now()
	switch {
	case s.PendingSince > 0 &&
		(now.Sub(s.PendingSince) > n.settings.ApplyTimeout/supersededPart || now.Sub(s.SyncedAt) > n.settings.ApplyTimeout):
		return lacerelay.Superseded
	case now.Sub(s.SyncedAt) > n.settings.ApplyTimeout:
		return lacerelay.PossiblyStale
	}
	return lacerelay.Fresh
}

// meaning returns what a server's entry says. Servers write theirs again at each report, most of which say nothing new.
func (n *Node) meaning(e laceplatform.Entry) any {
	b, err := n.adapter.DecodeBackend(e)
	if err != nil {
		return nil
	}
	return b
}
