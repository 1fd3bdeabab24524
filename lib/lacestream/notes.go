package lacestream

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// completedAge is how long a stream is remembered after its last event was sent; its client may have lost the end.
	completedAge = 10 * time.Second
	// maxNotes bounds the streams that an instance remembers, maxStored those that it notes in the store. The ones that
	// began first are dropped first.
	maxNotes  = 1 << 14
	maxStored = 1 << 10
)

// note is what an instance remembers of a stream.
type note struct {
	service laceunit.ServiceID
	version laceunit.SoftwareVersion
	// running is how many requests for the stream are being served: a client may take it up before the instance has
	// noticed that the client has left.
	running int
	// complete is true once the last event was sent.
	complete bool
	endedAt  time.Time
}

// notes are the streams that an instance remembers.
type notes struct {
	byKey map[streamKey]*note
	// order are the keys in the order in which the streams began, possibly with keys that are no longer in byKey.
	order []streamKey
}

func (n *notes) begin(k streamKey, service laceunit.ServiceID, version laceunit.SoftwareVersion) {
	x := n.byKey[k]
	if x == nil {
		x = &note{}
		n.byKey[k] = x
		n.order = append(n.order, k)
	}
	// A client may have sent the same attempt again, and got another stream.
	x.service, x.version, x.complete = service, version, false
	x.running++
	for len(n.byKey) > maxNotes {
		delete(n.byKey, n.order[0])
		n.order = n.order[1:]
	}
}

// find returns the version of a stream, and false if it is not remembered.
func (n *notes) find(k streamKey) (laceunit.SoftwareVersion, bool) {
	x := n.byKey[k]
	if x == nil {
		return "", false
	}
	return x.version, true
}

func (n *notes) end(now time.Time, k streamKey, complete bool) {
	x := n.byKey[k]
	if x == nil {
		return
	}
	x.running--
	x.complete = x.complete || complete
	x.endedAt = now
}

// expire drops the streams that can't be taken up any more.
func (n *notes) expire(now time.Time) {
	n.order = slices.DeleteFunc(n.order, func(k streamKey) bool {
		x := n.byKey[k]
		if x == nil {
			return true
		}
		age := memory
		if x.complete {
			age = completedAge
		}
		if x.running > 0 || now.Sub(x.endedAt) < age {
			return false
		}
		delete(n.byKey, k)
		return true
	})
}

// stored returns the streams of some services that belong in the store: those that are not complete.
func (n *notes) stored(services map[laceunit.ServiceID]bool) map[laceunit.SoftwareVersion][]streamKey {
	byVersion := map[laceunit.SoftwareVersion][]streamKey{}
	count := 0
	for _, k := range slices.Backward(n.order) {
		x := n.byKey[k]
		if x == nil || x.complete || !services[x.service] {
			continue
		}
		byVersion[x.version] = append(byVersion[x.version], k)
		if count++; count == maxStored {
			break
		}
	}
	return byVersion
}
