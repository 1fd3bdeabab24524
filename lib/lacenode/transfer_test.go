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

// routesText returns a configuration with some routes.
func routesText(n int) []byte {
	var text bytes.Buffer
	for i := range n {
		fmt.Fprintf(&text, `{"name":"%x","path_prefix":"/%x/","timeout_ms":%d},`, i*7919, i*104729, 1000+i)
	}
	return text.Bytes()
}

// written plays an instance whose store holds a value and, under the other prefix, an entry that is as new.
func (p *peered) written(t *testing.T, revision int64, value []byte) {
	t.Helper()
	for _, f := range p.node.followers {
		prefix := string(f.Prefix())
		d := delta(prefix, revision, prefix+"1")
		d.Entries[0].Value = []byte(fmt.Sprint(revision))
		if prefix == "op/" {
			d.Entries[0].Value = value
		}
		f.Merge(lacewire.ToDelta(d))
		f.Confirm(laceplatform.Revision(revision), p.now)
	}
}

// round asks another instance as a round does and returns what it says and how many bytes that took.
func (p *peered) round(t *testing.T, other *peered, limit int64) (h heard, size int) {
	t.Helper()
	q := p.question(limit, true)
	news, err := other.Fetch(context.Background(), q.query)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range news.GetDeltas() {
		size += len(d.GetPacked())
		for _, e := range d.GetEntries() {
			size += len(e.GetValue())
		}
	}
	h, err = p.take("partner", p.now, q, news)
	if err != nil {
		t.Fatal(err)
	}
	return h, size
}

// Guards against a large configuration that holds up the few bytes that say that a server leaves, and against a partner that
// counts as lost for the size of what it holds.
func TestLargeNewsHoldsUpNoOther(t *testing.T) {
	one, two := newPeered(t, "op/", "servers/"), newPeered(t, "op/", "servers/")
	one.written(t, 5, routesText(5000))
	h, size := two.round(t, one, roundBytes)
	if size > roundBytes || !h.large {
		t.Errorf("a round brings %d bytes, large news is left: %t", size, h.large)
	}
	if two.now.Sub(h.reached) > time.Millisecond {
		t.Errorf("the partner counts as of %s ago", two.now.Sub(h.reached))
	}
	documents, servers := two.node.followers[0], two.node.followers[1]
	if s := servers.Status(); s.Revision != 5 || two.now.Sub(s.SyncedAt) > time.Millisecond {
		t.Errorf("the servers are %+v", s)
	}
	since := two.now
	if s := documents.Status(); s.Revision != 0 || s.SyncedAt != 0 || s.PendingSince != since {
		t.Errorf("the configuration is %+v", s)
	}
	two.now = two.now.Add(time.Second)
	one.written(t, 6, routesText(5001))
	two.round(t, one, roundBytes)
	if s := documents.Status(); s.PendingSince != since {
		t.Errorf("the copy lacks something since %s ago, not since the first news of it", two.now.Sub(s.PendingSince))
	}
	if h, _ = two.round(t, one, 0); h.large {
		t.Error("a question without a limit leaves something out")
	}
	if s := documents.Status(); s.Revision != 6 || s.PendingSince != 0 {
		t.Errorf("the configuration is %+v after its transfer", s)
	}
}

// Guards against an instance that refuses its callers for good because another one spoke of a copy that does not exist.
func TestACopyThatDoesNotExistIsForgotten(t *testing.T) {
	one, two := newPeered(t, "op/", "servers/"), newPeered(t, "op/", "servers/")
	one.written(t, 5, routesText(10))
	two.round(t, one, 0)
	foreign := &lacewire.MirrorNews{Confirmed: []*lacewire.MirrorConfirmation{{
		Prefix:   "op/",
		AgeMs:    1,
		Revision: 1 << 40,
		Newest:   1 << 40,
		Large:    true,
	}}}
	if _, err := two.take("liar", two.now, question{}, foreign); err != nil {
		t.Fatal(err)
	}
	documents := two.node.followers[0]
	if documents.Status().PendingSince == 0 {
		t.Fatal("the copy lacks nothing")
	}
	two.now = two.now.Add(time.Second)
	one.now = two.now
	one.written(t, 6, routesText(11))
	two.round(t, one, 0)
	if s := documents.Status(); s.PendingSince != 0 || s.Revision != 6 {
		t.Errorf("the configuration is %+v after a partner that is current has confirmed it", s)
	}
}

// Guards against changes of a large configuration that need more than a round.
func TestAChangeOfALargeConfigurationFitsARound(t *testing.T) {
	one, two := newPeered(t, "op/", "servers/"), newPeered(t, "op/", "servers/")
	text := routesText(5000)
	one.written(t, 5, text)
	two.round(t, one, 0)
	for revision := int64(6); revision < 20; revision++ {
		text = bytes.Replace(text, []byte(`"timeout_ms":1`), []byte(`"timeout_ms":2`), 1)
		one.written(t, revision, text)
		if revision%3 != 0 {
			// The asker misses some versions and holds an older base.
			continue
		}
		h, size := two.round(t, one, roundBytes)
		if h.large || size > roundBytes/4 {
			t.Errorf("revision %d took %d bytes, left out: %t", revision, size, h.large)
		}
		if s := two.node.followers[0].Status(); int64(s.Revision) != revision {
			t.Errorf("the copy is at revision %d, not %d", s.Revision, revision)
		}
	}
}

// Guards against a transfer that is repeated while it moves, and against an instance that waits for one that does not begin.
func TestOneTransferAtATimeWhileItMoves(t *testing.T) {
	var x transfers
	now := time.Now()
	begin := func(after time.Duration, peer laceunit.Address) *transfer {
		r, _ := x.begin(now.Add(after), peer)
		return r
	}
	first := begin(0, "a")
	if first == nil || begin(0, "a") != nil || begin(transferHedge/2, "b") != nil {
		t.Fatal("two transfers at once before the first had time to begin")
	}
	second := begin(transferHedge, "b")
	if second == nil || begin(transferHedge, "c") != nil {
		t.Fatal("no second transfer, or a third, beside one that does not begin")
	}
	x.arrive(second)
	x.end("a", true)
	if begin(transferSlow/2, "c") != nil {
		t.Error("a transfer beside one that moves")
	}
	if x.packed() {
		t.Error("the next transfer refers again to what could not be put together")
	}
	if begin(transferHedge+transferSlow, "c") == nil {
		t.Error("no transfer beside one that moves for too long")
	}
	x.end("b", false)
	x.end("c", false)
	if begin(0, "d") == nil || !x.packed() {
		t.Error("no transfer after the end of the others")
	}
}

// Guards against an answer that counts as malformed because the answering instance has taken in a part of a page of its watch, whose
// changes are newer than the revision at which its copy is complete.
func TestAnAnswerAmidAPageIsSound(t *testing.T) {
	one, two := newPeered(t, "op/", "servers/"), newPeered(t, "op/", "servers/")
	one.written(t, 5, routesText(10))
	d := delta("servers/", 6, "servers/2")
	d.Entries[0].Revision = 7
	one.node.followers[serversFollower].Merge(lacewire.ToDelta(d))
	if h, _ := two.round(t, one, roundBytes); h.large || two.node.followers[serversFollower].Status().Revision != 6 {
		t.Errorf("the answer brought %+v", two.node.followers[serversFollower].Status())
	}
}
