package lacenode

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// routesJSON returns the JSON of some routes.
func routesJSON(count int) []byte {
	var text bytes.Buffer
	for i := range count {
		fmt.Fprintf(&text, `{"name":"%x","path_prefix":"/%x/","timeout_ms":%d},`, i*7919, i*104729, 1000+i)
	}
	return text.Bytes()
}

// storeValue simulates an instance whose store has a value under op/ and, under the other prefix, an entry of the same
// revision.
func (p *testPeer) storeValue(t *testing.T, revision int64, value []byte) {
	t.Helper()
	for _, f := range p.node.followers {
		prefix := string(f.Prefix())
		d := delta(prefix, revision, prefix+"1")
		d.Entries[0].Value = []byte(fmt.Sprint(revision))
		if prefix == "op/" {
			d.Entries[0].Value = value
		}
		f.Merge(lacewire.ToMirrorDelta(d))
		f.Confirm(laceplatform.Revision(revision), p.now)
	}
}

// queryOnce queries another instance like a round does, and returns the result and the number of bytes received.
func (p *testPeer) queryOnce(
	t *testing.T, other *testPeer, maxDeltaBytes int64,
) (result peerAnswer, bytesReceived int) {
	t.Helper()
	q := p.newQuery(maxDeltaBytes, true)
	answer, err := other.Fetch(context.Background(), q.request)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range answer.GetDeltas() {
		bytesReceived += len(d.GetPacked())
		for _, e := range d.GetEntries() {
			bytesReceived += len(e.GetValue())
		}
	}
	result, err = p.applyAnswer("partner", p.now, q, answer)
	if err != nil {
		t.Fatal(err)
	}
	return result, bytesReceived
}

// Guards against a large configuration that delays the few bytes of a server's removal, and against a peer that counts
// as lost because of the size of its copy.
func TestLargeDeltaDoesNotDelayOthers(t *testing.T) {
	source, replica := newTestPeer(t, "op/", "servers/"), newTestPeer(t, "op/", "servers/")
	source.storeValue(t, 5, routesJSON(5000))
	answer, size := replica.queryOnce(t, source, maxRoundDeltaBytes)
	if size > maxRoundDeltaBytes || !answer.deltaOmitted {
		t.Errorf("a round received %d bytes, large delta omitted: %t", size, answer.deltaOmitted)
	}
	if replica.now.Sub(answer.syncedAt) > time.Millisecond {
		t.Errorf("the peer counts as synced %s ago", replica.now.Sub(answer.syncedAt))
	}
	documents, servers := replica.node.followers[0], replica.node.followers[1]
	if s := servers.Status(); s.Revision != 5 || replica.now.Sub(s.SyncedAt) > time.Millisecond {
		t.Errorf("status of the servers: %+v", s)
	}
	firstReported := replica.now
	if s := documents.Status(); s.Revision != 0 || s.SyncedAt != 0 || s.PendingSince != firstReported {
		t.Errorf("status of the configuration: %+v", s)
	}
	replica.now = replica.now.Add(time.Second)
	source.storeValue(t, 6, routesJSON(5001))
	replica.queryOnce(t, source, maxRoundDeltaBytes)
	if s := documents.Status(); s.PendingSince != firstReported {
		t.Errorf("a newer revision is pending since %s ago, not since its first report",
			replica.now.Sub(s.PendingSince))
	}
	if answer, _ = replica.queryOnce(t, source, 0); answer.deltaOmitted {
		t.Error("a delta was omitted from the answer to a query without a limit")
	}
	if s := documents.Status(); s.Revision != 6 || s.PendingSince != 0 {
		t.Errorf("status of the configuration after its transfer: %+v", s)
	}
}

// Guards against an instance that refuses its callers forever because a peer has reported a revision that does not
// exist.
func TestWrongPendingRevisionIsDropped(t *testing.T) {
	source, replica := newTestPeer(t, "op/", "servers/"), newTestPeer(t, "op/", "servers/")
	source.storeValue(t, 5, routesJSON(10))
	replica.queryOnce(t, source, 0)
	wrongAnswer := &lacewire.MirrorNews{Confirmed: []*lacewire.MirrorConfirmation{{
		Prefix:   "op/",
		AgeMs:    1,
		Revision: 1 << 40,
		Newest:   1 << 40,
		Large:    true,
	}}}
	if _, err := replica.applyAnswer("liar", replica.now, query{}, wrongAnswer); err != nil {
		t.Fatal(err)
	}
	documents := replica.node.followers[0]
	if documents.Status().PendingSince == 0 {
		t.Fatal("no newer revision is pending")
	}
	replica.now = replica.now.Add(time.Second)
	source.now = replica.now
	source.storeValue(t, 6, routesJSON(11))
	replica.queryOnce(t, source, 0)
	if s := documents.Status(); s.PendingSince != 0 || s.Revision != 6 {
		t.Errorf("status of the configuration after a current peer has confirmed it: %+v", s)
	}
}

// Guards against small changes of a large configuration that do not fit in a round.
func TestChangeOfLargeConfigurationFitsInRound(t *testing.T) {
	source, replica := newTestPeer(t, "op/", "servers/"), newTestPeer(t, "op/", "servers/")
	text := routesJSON(5000)
	source.storeValue(t, 5, text)
	replica.queryOnce(t, source, 0)
	for revision := int64(6); revision < 20; revision++ {
		text = bytes.Replace(text, []byte(`"timeout_ms":1`), []byte(`"timeout_ms":2`), 1)
		source.storeValue(t, revision, text)
		if revision%3 != 0 {
			// The replica misses some versions, so that its base is older.
			continue
		}
		answer, size := replica.queryOnce(t, source, maxRoundDeltaBytes)
		if answer.deltaOmitted || size > maxRoundDeltaBytes/4 {
			t.Errorf("revision %d took %d bytes, delta omitted: %t", revision, size, answer.deltaOmitted)
		}
		if s := replica.node.followers[0].Status(); int64(s.Revision) != revision {
			t.Errorf("the copy is at revision %d, want %d", s.Revision, revision)
		}
	}
}

// Guards against a second transfer while the first one is receiving data, and against waiting for one that does not
// start.
func TestTransferHedging(t *testing.T) {
	var all transfers
	now := time.Now()
	start := func(delay time.Duration, peer laceunit.Address) *transfer {
		r, _ := all.start(now.Add(delay), peer)
		return r
	}
	first := start(0, "a")
	if first == nil || start(0, "a") != nil || start(transferHedgeDelay/2, "b") != nil {
		t.Fatal("a second transfer before the hedge delay of the first one")
	}
	second := start(transferHedgeDelay, "b")
	if second == nil || start(transferHedgeDelay, "c") != nil {
		t.Fatal("no second transfer, or a third one, after the hedge delay")
	}
	all.markReceiving(second)
	all.end("a", true)
	if start(slowTransferAge/2, "c") != nil {
		t.Error("another transfer while one is receiving data")
	}
	if all.useBases() {
		t.Error("bases are used again after a failed transfer")
	}
	if start(transferHedgeDelay+slowTransferAge, "c") == nil {
		t.Error("no second transfer while one is too slow")
	}
	all.end("b", false)
	all.end("c", false)
	if start(0, "d") == nil || !all.useBases() {
		t.Error("no transfer after all others have ended")
	}
}

// Guards against an answer that is rejected as malformed because the answering instance has applied only part of a page
// of its watch: those changes are newer than the revision up to which its copy is complete.
func TestAnswerAmidPageIsValid(t *testing.T) {
	source, replica := newTestPeer(t, "op/", "servers/"), newTestPeer(t, "op/", "servers/")
	source.storeValue(t, 5, routesJSON(10))
	d := delta("servers/", 6, "servers/2")
	d.Entries[0].Revision = 7
	source.node.followers[serversFollower].Merge(lacewire.ToMirrorDelta(d))
	if answer, _ := replica.queryOnce(t, source, maxRoundDeltaBytes); answer.deltaOmitted ||
		replica.node.followers[serversFollower].Status().Revision != 6 {
		t.Errorf("status after the answer: %+v", replica.node.followers[serversFollower].Status())
	}
}
