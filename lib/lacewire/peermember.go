// Package lacewire holds the protobuf messages between processes and their mapping to domain types.
package lacewire

import (
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// FromHolder maps a holder to its message.
func FromHolder(holder laceunit.Holder) *PeerHolder {
	return &PeerHolder{
		Instance:    string(holder.Instance),
		Incarnation: uint64(holder.Incarnation),
	}
}

// ToHolder maps a message to a holder; a missing message is the zero holder.
func ToHolder(holder *PeerHolder) laceunit.Holder {
	return laceunit.Holder{
		Instance:    laceunit.InstanceID(holder.GetInstance()),
		Incarnation: laceunit.Incarnation(holder.GetIncarnation()),
	}
}

// FromHolders maps a list of holders.
func FromHolders(holders []laceunit.Holder) []*PeerHolder {
	return mapped(holders, FromHolder)
}

// ToHolders maps a list of holder messages.
func ToHolders(holders []*PeerHolder) []laceunit.Holder {
	return mapped(holders, ToHolder)
}

// FromMember maps a member to its message.
func FromMember(member lacemember.Member) *PeerMember {
	return &PeerMember{
		Holder:   FromHolder(member.Holder),
		Address:  string(member.Address),
		Region:   string(member.Place.Region),
		Zone:     string(member.Place.Zone),
		Draining: member.Draining,
		Joined:   uint64(member.JoinEpoch),
		Caller:   string(member.CallerAddress),
	}
}

// ToMember maps a message to a member.
func ToMember(member *PeerMember) lacemember.Member {
	return lacemember.Member{
		Holder:        ToHolder(member.GetHolder()),
		Address:       laceunit.Address(member.GetAddress()),
		CallerAddress: laceunit.Address(member.GetCaller()),
		Place: laceunit.Place{
			Region: laceunit.RegionID(member.GetRegion()),
			Zone:   laceunit.ZoneID(member.GetZone()),
		},
		Draining:  member.GetDraining(),
		JoinEpoch: laceunit.Epoch(member.GetJoined()),
	}
}

// FromRecord maps a membership record to its message; the record before the first join maps to nil.
func FromMembershipRecord(record lacemember.Record) *PeerRecord {
	if record.Epoch == 0 {
		return nil
	}
	return &PeerRecord{
		Epoch:    uint64(record.Epoch),
		Members:  mapped(record.Members, FromMember),
		Departed: mapped(record.Departed, FromMember),
		Fenced:   FromHolders(record.Fenced),
		Shrunk:   uint64(record.LastRemoval),
	}
}

// ToRecord maps a message to a membership record.
func ToMembershipRecord(record *PeerRecord) lacemember.Record {
	return lacemember.Record{
		Epoch:       laceunit.Epoch(record.GetEpoch()),
		LastRemoval: laceunit.Epoch(record.GetShrunk()),
		Members:     mapped(record.GetMembers(), ToMember),
		Departed:    mapped(record.GetDeparted(), ToMember),
		Fenced:      ToHolders(record.GetFenced()),
	}
}

// FromBinding maps a binding to its message.
func FromBinding(binding lacemember.Binding) *PeerBinding {
	return &PeerBinding{
		Home:   FromHolder(binding.Home.Holder),
		Round:  binding.Round,
		Record: FromMembershipRecord(binding.Record),
	}
}

// ToBinding maps a message to a binding.
func ToBinding(binding *PeerBinding) lacemember.Binding {
	record := ToMembershipRecord(binding.GetRecord())
	home, _ := record.Find(ToHolder(binding.GetHome()))
	return lacemember.Binding{
		Home:   home,
		Round:  binding.GetRound(),
		Record: record,
	}
}

func mapped[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, 0, len(list))
	for _, a := range list {
		out = append(out, f(a))
	}
	return out
}
