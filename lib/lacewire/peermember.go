package lacewire

import (
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// FromHolder maps a holder.
func FromHolder(holder laceunit.Holder) *PeerHolder {
	return &PeerHolder{
		Instance:    string(holder.Instance),
		Incarnation: uint64(holder.Incarnation),
	}
}

// ToHolder maps a holder; a missing message is the zero holder.
func ToHolder(holder *PeerHolder) laceunit.Holder {
	return laceunit.Holder{
		Instance:    laceunit.InstanceID(holder.GetInstance()),
		Incarnation: laceunit.Incarnation(holder.GetIncarnation()),
	}
}

// FromHolders maps a list of holders.
func FromHolders(holders []laceunit.Holder) []*PeerHolder {
	return mapSlice(holders, FromHolder)
}

// ToHolders maps a list of holders.
func ToHolders(holders []*PeerHolder) []laceunit.Holder {
	return mapSlice(holders, ToHolder)
}

// FromMember maps a member.
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

// ToMember maps a member.
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

// FromMembershipRecord maps a membership record; the zero record, the state before the first join, maps to nil.
func FromMembershipRecord(record lacemember.Record) *PeerRecord {
	if record.Epoch == 0 {
		return nil
	}
	return &PeerRecord{
		Epoch:    uint64(record.Epoch),
		Members:  mapSlice(record.Members, FromMember),
		Departed: mapSlice(record.Departed, FromMember),
		Fenced:   FromHolders(record.Fenced),
		Shrunk:   uint64(record.LastRemoval),
	}
}

// ToMembershipRecord maps a membership record; a missing message is the zero record.
func ToMembershipRecord(record *PeerRecord) lacemember.Record {
	return lacemember.Record{
		Epoch:       laceunit.Epoch(record.GetEpoch()),
		LastRemoval: laceunit.Epoch(record.GetShrunk()),
		Members:     mapSlice(record.GetMembers(), ToMember),
		Departed:    mapSlice(record.GetDeparted(), ToMember),
		Fenced:      ToHolders(record.GetFenced()),
	}
}

// FromBinding maps a binding of a member to a home.
func FromBinding(binding lacemember.Binding) *PeerBinding {
	return &PeerBinding{
		Home:   FromHolder(binding.Home.Holder),
		Round:  binding.Round,
		Record: FromMembershipRecord(binding.Record),
	}
}

// ToBinding maps a binding of a member to a home.
func ToBinding(binding *PeerBinding) lacemember.Binding {
	record := ToMembershipRecord(binding.GetRecord())
	home, _ := record.Find(ToHolder(binding.GetHome()))
	return lacemember.Binding{
		Home:   home,
		Round:  binding.GetRound(),
		Record: record,
	}
}

func mapSlice[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, 0, len(list))
	for _, a := range list {
		out = append(out, f(a))
	}
	return out
}
