package lacerouter

import (
	"context"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
)

// members shows the fleet to the gateway and to the ledger.
type members struct {
	fleet lacefleet.Fleet
}

// Authorize implements lacegateway.Members.
func (m members) Authorize(_ context.Context, request laceledger.Request, idempotent bool) (lacegateway.Mode, *lacefault.Fault) {
	d := m.fleet.Authorize(request, idempotent)
	switch d.Verdict {
	case lacemember.Online:
		return lacegateway.ModeOnline, nil
	case lacemember.Offline, lacemember.Known:
		return lacegateway.ModeOffline, nil
	}
	return lacegateway.ModeRefuse, &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       d.Code,
		Message:    "this instance may not run the request now",
		RetryAfter: d.RetryAfter,
		Instance:   m.caller(d.Instance),
	}
}

// caller returns the address for callers of the member with a peer address.
func (m members) caller(peer laceunit.Address) laceunit.Address {
	for _, x := range m.fleet.Record().Members {
		if peer != "" && x.Address == peer {
			return x.Caller
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
			Address:  x.Caller,
		})
	}
	return entries, keep
}

// Other implements lacegateway.Members.
func (m members) Other() laceunit.Address {
	self := m.fleet.Self()
	list, _ := m.fleet.Addresses()
	for _, x := range list {
		if x.Holder != self {
			return x.Caller
		}
	}
	return ""
}

// Peers implements lacewriter.Peers.
func (m members) Peers() []lacewriter.Peer {
	list := m.fleet.Peers()
	peers := make([]lacewriter.Peer, 0, len(list))
	for _, x := range list {
		peers = append(peers, lacewriter.Peer{
			Holder:  x.Holder,
			Address: x.Address,
		})
	}
	return peers
}
