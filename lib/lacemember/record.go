package lacemember

import (
	"slices"

	"lacewingcove/lib/laceunit"
)

// Member is one process of the fleet as the membership record lists it.
type Member struct {
	Holder laceunit.Holder
	// Address is where other instances reach the process, Caller where callers do.
	Address       laceunit.Address
	CallerAddress laceunit.Address
	Place         laceunit.Place
	Draining      bool
	// Joined is the epoch at which this incarnation joined.
	JoinEpoch laceunit.Epoch
}

// Record is one agreed membership; a zero Record is the state before the first join.
type Record struct {
	Epoch laceunit.Epoch
	// Shrunk is the last epoch that removed a member; what a home knows of earlier requests is incomplete until it
	// reads the ledger again.
	LastRemoval laceunit.Epoch
	Members     []Member
	// Departed lists the removed members that may still hold outage authority.
	Departed []Member
	// Fenced lists the holders whose process an operator has declared gone.
	Fenced []laceunit.Holder
}

// Find returns the member with a holder.
func (r Record) Find(holder laceunit.Holder) (Member, bool) {
	return find(r.Members, holder)
}

// Has reports whether a holder is a member.
func (r Record) Has(holder laceunit.Holder) bool {
	_, ok := r.Find(holder)
	return ok
}

// Holders returns the holders of all members.
func (r Record) Holders() []laceunit.Holder {
	holders := make([]laceunit.Holder, 0, len(r.Members))
	for _, m := range r.Members {
		holders = append(holders, m.Holder)
	}
	return holders
}

// Join returns the next record with a member added; older incarnations at the same address are gone.
func (r Record) Join(member Member) Record {
	n := r.next()
	before := len(n.Members)
	superseded := func(m Member) bool { return member.Supersedes(m) || m.Holder == member.Holder }
	n.Members = slices.DeleteFunc(n.Members, superseded)
	n.Departed = slices.DeleteFunc(n.Departed, superseded)
	n.shrink(before)
	member.JoinEpoch = n.Epoch
	n.Members = append(n.Members, member)
	slices.SortFunc(n.Members, compareMembers)
	return n
}

// Leave returns the next record without a member that has flushed and released everything.
func (r Record) Leave(holder laceunit.Holder) Record {
	n := r.next()
	n.Members = slices.DeleteFunc(n.Members, func(m Member) bool { return m.Holder == holder })
	n.shrink(len(r.Members))
	return n
}

// Remove returns the next record without the members that have lost their lease key.
// Those that the remover can't clear stay listed as departed.
func (r Record) Remove(gone []laceunit.Holder, cleared func(laceunit.Holder) bool) Record {
	n := r.next()
	n.Members = nil
	for _, m := range r.Members {
		switch {
		case !slices.Contains(gone, m.Holder):
			n.Members = append(n.Members, m)
		case !cleared(m.Holder):
			n.Departed = append(n.Departed, m)
		}
	}
	n.Departed = slices.DeleteFunc(n.Departed, func(m Member) bool { return cleared(m.Holder) })
	n.Fenced = slices.DeleteFunc(n.Fenced, func(h laceunit.Holder) bool {
		_, departed := find(n.Departed, h)
		return cleared(h) && !departed && !n.Has(h)
	})
	n.shrink(len(r.Members))
	return n
}

// Drain returns the next record with a member marked as draining.
func (r Record) Drain(holder laceunit.Holder) Record {
	n := r.next()
	for i := range n.Members {
		if n.Members[i].Holder == holder {
			n.Members[i].Draining = true
		}
	}
	return n
}

// Fence returns the next record in which an operator has declared a holder's process gone.
func (r Record) Fence(holder laceunit.Holder) Record {
	n := r.next()
	n.Members = slices.DeleteFunc(n.Members, func(m Member) bool { return m.Holder == holder })
	n.Departed = slices.DeleteFunc(n.Departed, func(m Member) bool { return m.Holder == holder })
	if !slices.Contains(n.Fenced, holder) {
		n.Fenced = append(n.Fenced, holder)
	}
	n.shrink(len(r.Members))
	return n
}

// Supersedes reports whether a member proves that another one's process is gone: it has the same address and is newer.
// Only the address proves it, because two processes can't listen at one; an instance id can move to another host.
func (m Member) Supersedes(other Member) bool {
	return m.Address == other.Address && m.Holder.Incarnation > other.Holder.Incarnation
}

func (r Record) next() Record {
	return Record{
		Epoch:       r.Epoch + 1,
		LastRemoval: r.LastRemoval,
		Members:     slices.Clone(r.Members),
		Departed:    slices.Clone(r.Departed),
		Fenced:      slices.Clone(r.Fenced),
	}
}

func (r *Record) shrink(before int) {
	if len(r.Members) < before {
		r.LastRemoval = r.Epoch
	}
}

// superseded reports whether the record has a newer incarnation at a member's address.
func (r Record) superseded(member Member) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.Supersedes(member) })
}

// senior reports whether a member or departed member joined before the given one.
func (r Record) senior(member Member) bool {
	return len(r.Departed) > 0 || slices.ContainsFunc(r.Members, func(m Member) bool { return m.JoinEpoch < member.JoinEpoch })
}

func find(members []Member, holder laceunit.Holder) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Holder == holder })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func compareMembers(a, b Member) int {
	switch {
	case a.Holder.Instance != b.Holder.Instance:
		if a.Holder.Instance < b.Holder.Instance {
			return -1
		}
		return 1
	case a.Holder.Incarnation < b.Holder.Incarnation:
		return -1
	case a.Holder.Incarnation > b.Holder.Incarnation:
		return 1
	}
	return 0
}
