package lacenode

import (
	"time"

	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

// fleet implements laceshare.Fleet.
type fleet struct {
	node *Node
}

// Members implements laceshare.Fleet.
func (f fleet) Members() []laceunit.Holder {
	holders := []laceunit.Holder{f.node.directory.Self()}
	for _, m := range f.node.directory.ActivePeers() {
		holders = append(holders, m.Holder)
	}
	return holders
}

// Live implements laceshare.Fleet.
func (f fleet) Live(h laceunit.Holder) bool { return f.node.directory.Live(h) }

// Listed implements laceshare.Fleet.
func (f fleet) Listed(s laceshare.Server) bool { return f.node.backends.Contains(s.ID, s.StartTime) }

// Age implements laceshare.Fleet.
func (f fleet) Age() time.Duration {
	return roundedUpAge(f.node.tracker.Now(), f.node.followers[fleetFollower].Status().SyncedAt)
}
