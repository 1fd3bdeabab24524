package lacerouter

import (
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacereplica"
)

// configuration shows the replica to the gateway. It does not embed it: the kernel runs and closes the replica under its
// own name, and would do so twice.
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

// replicaFleet shows the membership to the replica.
type replicaFleet struct {
	fleet lacefleet.Fleet
}

// Self implements lacereplica.Fleet.
func (f replicaFleet) Self() lacereplica.Peer {
	record := f.fleet.Record()
	self, ok := record.Find(f.fleet.Self())
	if !ok {
		return lacereplica.Peer{Holder: f.fleet.Self()}
	}
	return replicaPeer(record, self)
}

// Peers implements lacereplica.Fleet.
func (f replicaFleet) Peers() ([]lacereplica.Peer, bool) {
	record := f.fleet.Record()
	var peers []lacereplica.Peer
	for _, m := range f.fleet.Peers() {
		peers = append(peers, replicaPeer(record, m))
	}
	return peers, record.Epoch > 0
}

// replicaPeer ranks a member among those of its region that are not draining, in the order of the record.
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
