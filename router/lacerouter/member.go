package lacerouter

import (
	"time"

	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
)

// membershipAdapter adapts the fleet to the gateway and to the ledger.
type membershipAdapter struct {
	fleet  lacefleet.Fleet
	scheme string
}

// Authorize implements lacegateway.Membership. The decision of the membership contains a peer address, which is
// translated into the address for callers.
func (m membershipAdapter) Authorize(request laceledger.Request, idempotent bool) lacemember.Decision {
	d := m.fleet.Authorize(request, idempotent)
	d.RedirectAddress = m.callerAddress(d.RedirectAddress)
	return d
}

// Enabled implements lacegateway.Membership.
func (m membershipAdapter) Enabled() bool { return m.fleet.Enabled() }

// Abandon implements lacegateway.Membership.
func (m membershipAdapter) Abandon(request laceledger.Request) {
	m.fleet.Abandon(request)
}

// callerAddress returns the address for callers of the member with the given peer address.
func (m membershipAdapter) callerAddress(peer laceunit.Address) laceunit.Address {
	for _, x := range m.fleet.Record().Members {
		if peer != "" && x.Address == peer {
			return x.CallerAddress
		}
	}
	return ""
}

// Addresses implements lacegateway.Membership.
func (m membershipAdapter) Addresses() ([]lacegateway.AddressEntry, time.Duration) {
	list, keep := m.fleet.Addresses()
	entries := make([]lacegateway.AddressEntry, 0, len(list))
	for _, x := range list {
		entries = append(entries, lacegateway.AddressEntry{
			Instance: x.Holder.Instance,
			Zone:     x.Place.Zone,
			Address:  x.CallerAddress,
		})
	}
	return entries, keep
}

// RedirectAddress implements lacegateway.Membership.
func (m membershipAdapter) RedirectAddress() laceunit.Address {
	self := m.fleet.Self()
	list, _ := m.fleet.Addresses()
	for _, x := range list {
		if x.Holder != self {
			return x.CallerAddress
		}
	}
	return ""
}

// peerURL returns the base URL of a peer address.
func (m membershipAdapter) peerURL(address laceunit.Address) laceunit.Address {
	return laceunit.Address(m.scheme) + "://" + address
}

// Peers implements lacewriter.Peers.
func (m membershipAdapter) Peers() []lacewriter.Peer {
	list := m.fleet.Peers()
	peers := make([]lacewriter.Peer, 0, len(list))
	for _, x := range list {
		peers = append(peers, lacewriter.Peer{
			Holder:  x.Holder,
			Address: m.peerURL(x.Address),
		})
	}
	return peers
}
