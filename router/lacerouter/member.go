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

// members shows the fleet to the gateway and to the ledger.
type members struct {
	fleet  lacefleet.Fleet
	scheme string
}

// Authorize implements lacegateway.Members. The machine names peers' addresses; callers need their own.
func (m members) Authorize(request laceledger.Request, idempotent bool) lacemember.Decision {
	d := m.fleet.Authorize(request, idempotent)
	d.RedirectAddress = m.caller(d.RedirectAddress)
	return d
}

// Enabled implements lacegateway.Members.
func (m members) Enabled() bool { return m.fleet.Enabled() }

// Abandon implements lacegateway.Members.
func (m members) Abandon(request laceledger.Request) {
	m.fleet.Abandon(request)
}

// caller returns the address for callers of the member with a peer address.
func (m members) caller(peer laceunit.Address) laceunit.Address {
	for _, x := range m.fleet.Record().Members {
		if peer != "" && x.Address == peer {
			return x.CallerAddress
		}
	}
	return ""
}

// Addresses implements lacegateway.Members.
func (m members) Addresses() ([]lacegateway.AddressEntry, time.Duration) {
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

// Other implements lacegateway.Members.
func (m members) RedirectAddress() laceunit.Address {
	self := m.fleet.Self()
	list, _ := m.fleet.Addresses()
	for _, x := range list {
		if x.Holder != self {
			return x.CallerAddress
		}
	}
	return ""
}

// url returns the base URL of a peer address.
func (m members) url(address laceunit.Address) laceunit.Address {
	return laceunit.Address(m.scheme) + "://" + address
}

// Peers implements lacewriter.Peers.
func (m members) Peers() []lacewriter.Peer {
	list := m.fleet.Peers()
	peers := make([]lacewriter.Peer, 0, len(list))
	for _, x := range list {
		peers = append(peers, lacewriter.Peer{
			Holder:  x.Holder,
			Address: m.url(x.Address),
		})
	}
	return peers
}
