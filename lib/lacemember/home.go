package lacemember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

const (
	// maxWitnesses is how many members may hold copies of a home's journal of non-idempotent requests.
	maxWitnesses = 3
	// minCopies is how many of them must hold a copy before a call is sent. With two of three, a copy survives the
	// loss of the home and any one witness, and any two witnesses together have a copy of every run.
	minCopies = 2
)

// Key is the hash of a request; equal keys of different requests only cause a refusal.
type Key uint64

// KeyOf returns the key of a request.
func KeyOf(request laceledger.Request) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(request.Account))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(request.ID))
	return Key(d.Sum64())
}

// Home returns the member that runs a request in an outage, by rendezvous hashing.
func (r Record) Home(key Key) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, m := range r.Members {
		s := rendezvousScore(m.Holder.Instance, uint64(key))
		if !found || s > bestScore || (s == bestScore && m.Holder.Incarnation > best.Holder.Incarnation) {
			best, bestScore, found = m, s, true
		}
	}
	return best, found
}

// Witnesses returns the members that hold copies of a holder's journal, preferring those in other availability zones.
func (r Record) Witnesses(holder laceunit.Holder) []Member {
	self, _ := r.Find(holder)
	others := slices.DeleteFunc(slices.Clone(r.Members), func(m Member) bool { return m.Holder == holder })
	salt := xxhash.Sum64String(string(holder.Instance))
	slices.SortFunc(others, func(a, b Member) int {
		if sameZone := a.Place == self.Place; sameZone != (b.Place == self.Place) {
			if sameZone {
				return 1
			}
			return -1
		}
		sa, sb := rendezvousScore(a.Holder.Instance, salt), rendezvousScore(b.Holder.Instance, salt)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return compareMembers(a, b)
	})
	return others[:min(len(others), maxWitnesses)]
}

// RequiredCopies returns how many witnesses must hold a copy before a non-idempotent call is sent.
func (r Record) RequiredCopies(holder laceunit.Holder) int {
	return min(minCopies, len(r.Witnesses(holder)))
}

// RequiredSeals returns how many witnesses must be sealed to fence a holder: the unsealed ones are then too few for
// another run, and the sealed ones together have a copy of every run.
func (r Record) RequiredSeals(holder laceunit.Holder) int {
	return len(r.Witnesses(holder)) - r.RequiredCopies(holder) + 1
}

func rendezvousScore(instance laceunit.InstanceID, salt uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], salt)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(instance))
	return d.Sum64()
}
