package lacequarantine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// maxReportHashes and maxCrashHashes bound the hashes of parts in one report on a crash and in all of them.
	maxReportHashes = 2 * MaxParts
	maxCrashHashes  = 4 * MaxParts
	// hashBytes is the size of a hash in a record.
	hashBytes = 4
)

// partHash identifies a part where there is no room for its id.
type partHash uint32

func (p Part) hash() partHash { return partHash(xxhash.Sum64String(p.String())) }

// hashSet is a sorted list of hashes without duplicates. The zero value is empty.
type hashSet []partHash

func (s hashSet) has(h partHash) bool {
	_, ok := slices.BinarySearch(s, h)
	return ok
}

// with returns a set that also has the hashes of parts, and at most limit hashes.
func (s hashSet) with(limit int, parts ...Part) hashSet {
	hashes := make(hashSet, 0, len(parts))
	for _, p := range parts {
		hashes = append(hashes, p.hash())
	}
	return s.union(limit, hashes)
}

// union returns a set with the hashes of both, and of other as many as a limit permits.
func (s hashSet) union(limit int, other hashSet) hashSet {
	added := slices.DeleteFunc(slices.Clone(other), s.has)
	if len(added) == 0 {
		return s
	}
	slices.Sort(added)
	added = slices.Compact(added)
	merged := append(slices.Clone(s), added[:min(len(added), max(limit-len(s), 0))]...)
	slices.Sort(merged)
	return merged
}

// without returns a set without the hashes of parts.
func (s hashSet) without(parts []Part) hashSet {
	drop := hashSet(nil).with(len(parts), parts...)
	if !slices.ContainsFunc(s, drop.has) {
		return s
	}
	return slices.DeleteFunc(slices.Clone(s), drop.has)
}

// encode returns the stored form.
func (s hashSet) encode() []byte {
	text := make([]byte, 0, hashBytes*len(s))
	for _, h := range s {
		text = binary.LittleEndian.AppendUint32(text, uint32(h))
	}
	return text
}

// decodeHashes parses and validates the stored form of a set.
func decodeHashes(text []byte) (hashSet, error) {
	if len(text)%hashBytes != 0 || len(text) > hashBytes*maxReportHashes {
		return nil, errors.Wrap(ErrRecord, "hashes of parts are out of bounds")
	}
	var s hashSet
	for ; len(text) > 0; text = text[hashBytes:] {
		s = append(s, partHash(binary.LittleEndian.Uint32(text)))
	}
	slices.Sort(s)
	return slices.Compact(s), nil
}
