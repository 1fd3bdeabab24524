package lacequarantine

import "time"

const (
	// maxGeneration is the size at which a generation of the history is full; the history holds two.
	maxGeneration = 4096
	// maxNewParts bounds the parts that one answer adds to the history. The next answer on the same parts adds others.
	maxNewParts = 64
)

// partRecord is what is known of a part on which a server has written an answer.
type partRecord struct {
	// crashes counts the crashes since the last answer that are at least minCrashGap apart; lastCrash is the latest.
	crashes   int
	lastCrash time.Time
	// answeredAt is when a server last wrote an answer on the part.
	answeredAt time.Time
}

// history remembers the parts on which servers have written answers. It keeps two generations of bounded size, of which
// the older one is forgotten when the younger one is full. The zero value is empty.
type history struct {
	young, old map[Part]*partRecord
	// youngByHash and oldByHash find the same records by the hashes of their parts.
	youngByHash, oldByHash map[partHash]*partRecord
}

// find returns the record of a part, or nil.
func (h *history) find(p Part) *partRecord {
	if r := h.young[p]; r != nil {
		return r
	}
	return h.old[p]
}

// recordSuccess records that a server has written an answer on a prompt.
func (h *history) recordSuccess(now time.Time, prompt []Part) {
	added := 0
	for _, p := range prompt {
		if r := h.young[p]; r != nil {
			r.crashes, r.answeredAt = 0, now
			continue
		}
		if added++; added > maxNewParts && h.old[p] == nil {
			continue
		}
		h.add(p, &partRecord{answeredAt: now})
	}
}

func (h *history) add(p Part, r *partRecord) {
	if len(h.young) >= maxGeneration || h.young == nil {
		h.young, h.old = make(map[Part]*partRecord), h.young
		h.youngByHash, h.oldByHash = make(map[partHash]*partRecord), h.youngByHash
	}
	h.young[p.clone()], h.youngByHash[p.hash()] = r, r
}

// recordCrash records that a server crashed at a time while a request with a part had not settled.
func (h *history) recordCrash(at time.Time, part partHash) {
	r := h.youngByHash[part]
	if r == nil {
		r = h.oldByHash[part]
	}
	if r == nil || at.Before(r.answeredAt) || at.Sub(r.lastCrash).Abs() < minCrashGap {
		return
	}
	r.crashes++
	r.lastCrash = at
}

// harmless reports whether a server has written an answer on a part, and only few have crashed since.
func (h *history) harmless(p Part) bool {
	r := h.find(p)
	return r != nil && r.crashes < minCrashes
}

// answeredSince reports whether a server has written an answer on a part later than a point in time.
func (h *history) answeredSince(p Part, since time.Time) bool {
	r := h.find(p)
	return r != nil && r.answeredAt.After(since)
}

// size returns the number of parts that are remembered.
func (h *history) size() int { return len(h.young) + len(h.old) }
