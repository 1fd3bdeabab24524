package lacerouter

import (
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacereplica"
)

// configuration adapts the replica to the gateway. It does not embed the replica, which is registered in the kernel
// under its own name: the kernel would run and close it twice.
type configuration struct {
	replica *lacereplica.Service
}

// Current implements lacegateway.Configuration.
func (c configuration) Current() *laceconfig.Document {
	return c.replica.Current()
}

// Fresh implements lacegateway.Configuration.
func (c configuration) Fresh() bool {
	return c.replica.Freshness().AcceptsWork()
}

// replicaFleet adapts the membership to the replica.
type replicaFleet struct {
	fleet lacefleet.Fleet
}

// Self implements lacereplica.Membership.
func (f replicaFleet) Self() lacereplica.Peer {
	record := f.fleet.Record()
	self, ok := record.Find(f.fleet.Self())
	if !ok {
		return lacereplica.Peer{Holder: f.fleet.Self()}
	}
	return replicaPeer(record, self)
}

// Peers implements lacereplica.Membership.
func (f replicaFleet) Peers() ([]lacereplica.Peer, bool) {
	record := f.fleet.Record()
	var peers []lacereplica.Peer
	for _, m := range f.fleet.Peers() {
		peers = append(peers, replicaPeer(record, m))
	}
	return peers, record.Epoch > 0
}

// replicaPeer returns a member with its rank among the members of its region that are not draining, in record order.
func replicaPeer(record lacemember.Record, member lacemember.Member) lacereplica.Peer {
	rank := 0
	for _, m := range record.Members {
		if m.Holder == member.Holder {
			break
		}
		if m.Place.Region == member.Place.Region && !m.Draining {
			rank++
		}
	}
	return lacereplica.Peer{
		Holder:  member.Holder,
		Address: member.Address,
		Region:  member.Place.Region,
		Rank:    rank,
	}
}
