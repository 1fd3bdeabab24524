package lacemember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

const (
	// witnessCount is how many members may hold copies of a home's journal of non-idempotent requests.
	witnessCount = 3
	// copyCount is how many of them must hold a copy before a call is sent. Two of three survive the loss of the
	// home together with any one witness, and any two witnesses know of every run.
	copyCount = 2
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
	var top uint64
	found := false
	for _, m := range r.Members {
		s := score(m.Holder.Instance, uint64(key))
		if !found || s > top || (s == top && m.Holder.Incarnation > best.Holder.Incarnation) {
			best, top, found = m, s, true
		}
	}
	return best, found
}

// Witnesses returns the members that hold copies of a holder's journal, those of other availability zones first.
func (r Record) Witnesses(holder laceunit.Holder) []Member {
	self, _ := r.Find(holder)
	others := slices.DeleteFunc(slices.Clone(r.Members), func(m Member) bool { return m.Holder == holder })
	salt := xxhash.Sum64String(string(holder.Instance))
	slices.SortFunc(others, func(a, b Member) int {
		if near := a.Place == self.Place; near != (b.Place == self.Place) {
			if near {
				return 1
			}
			return -1
		}
		sa, sb := score(a.Holder.Instance, salt), score(b.Holder.Instance, salt)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return compareMembers(a, b)
	})
	return others[:min(len(others), witnessCount)]
}

// Copies returns how many witnesses must hold a copy before a non-idempotent call is sent.
func (r Record) RequiredCopies(holder laceunit.Holder) int {
	return min(copyCount, len(r.Witnesses(holder)))
}

// Seals returns how many sealed witnesses leave a holder too few to copy to, and together know of every run.
func (r Record) RequiredSeals(holder laceunit.Holder) int {
	return len(r.Witnesses(holder)) - r.RequiredCopies(holder) + 1
}

func score(instance laceunit.InstanceID, salt uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], salt)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(instance))
	return d.Sum64()
}
