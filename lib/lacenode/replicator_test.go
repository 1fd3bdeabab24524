package lacenode

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// testPeer is an instance without a network whose clock is set by the test.
type testPeer struct {
	*replicator

	now       laceunit.Uptime
	logOutput bytes.Buffer
}

func newTestPeer(t *testing.T, prefixes ...laceplatform.Key) *testPeer {
	t.Helper()
	p := &testPeer{now: laceunit.Uptime(time.Hour)}
	n := &Node{
		log:            lacelog.New(&p.logOutput, "test"),
		tracker:        laceplatform.NewConnectivityTracker(func() laceunit.Uptime { return p.now }),
		rejectedInputs: prometheus.NewCounter(prometheus.CounterOpts{Name: "rejected"}),
	}
	for _, prefix := range prefixes {
		n.followers = append(n.followers,
			lacemirror.NewFollower(prefix, nil, n.tracker, n.log, func([]lacemirror.Change, lacemirror.Source) {}))
	}
	p.replicator = newReplicator(n)
	return p
}

// answerQuery returns the answer of this instance to a query of another one.
func (p *testPeer) answerQuery(t *testing.T, other *testPeer) *lacewire.MirrorNews {
	t.Helper()
	answer, err := p.Fetch(context.Background(), other.newQuery(maxRoundDeltaBytes, true).request)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// receive applies an answer to a query without bases.
func (p *testPeer) receive(
	peer laceunit.Address, sentAt laceunit.Uptime, answer *lacewire.MirrorNews,
) (laceunit.Uptime, bool) {
	result, err := p.applyAnswer(peer, sentAt, query{}, answer)
	return result.syncedAt, err == nil
}

// delta returns a full delta with an entry for each key.
func delta(prefix string, revision int64, keys ...string) *lacewire.MirrorDelta {
	d := &lacewire.MirrorDelta{
		Prefix:   prefix,
		Full:     true,
		Revision: revision,
	}
	for _, k := range keys {
		d.Entries = append(d.Entries, &lacewire.MirrorEntry{
			Key:      k,
			Revision: revision,
		})
	}
	return d
}

// withGrace returns a delta after setting its removal grace in milliseconds.
func withGrace(d *lacewire.MirrorDelta, ms int64) *lacewire.MirrorDelta {
	d.RemovalGraceMs = &ms
	return d
}

// packDelta returns a delta in the packed form in which instances send large ones.
func packDelta(t *testing.T, d *lacewire.MirrorDelta) *lacewire.MirrorDelta {
	t.Helper()
	packed, err := new(lacewire.Packer).Pack(d, lacewire.Base{})
	if err != nil || len(packed.GetPacked()) == 0 {
		t.Fatalf("delta was not packed, error %v", err)
	}
	return packed
}

func confirmation(prefix string, age, revision int64) *lacewire.MirrorConfirmation {
	return &lacewire.MirrorConfirmation{
		Prefix:   prefix,
		AgeMs:    age,
		Revision: revision,
	}
}

// Guards against a malformed answer of another instance that marks the copies of this one as current, or changes them.
func TestMalformedAnswersAreIgnored(t *testing.T) {
	var own, foreign []string
	for i := range 1000 {
		own = append(own, fmt.Sprint("a/", i))
		foreign = append(foreign, fmt.Sprint("b/", i))
	}
	packedWith := func(modify func(*lacewire.MirrorDelta)) *lacewire.MirrorDelta {
		d := packDelta(t, delta("a/", 6, own...))
		modify(d)
		return d
	}
	cases := map[string]*lacewire.MirrorNews{
		"age below zero": {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", -1, 5)}},
		"age overflows": {Confirmed: []*lacewire.MirrorConfirmation{
			confirmation("a/", math.MaxInt64/1_000_000+1, 5),
		}},
		"age wraps around": {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 18_446_744_073_710, 5)}},
		"confirms no copy": {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 1, 0)}},
		"confirms a foreign prefix": {Confirmed: []*lacewire.MirrorConfirmation{
			confirmation("a/", 1, 5), confirmation("b/", 1, 5),
		}},
		"foreign prefix": {Deltas: []*lacewire.MirrorDelta{delta("a/", 6, "a/2"), delta("b/", 6, "b/1")}},
		"foreign key":    {Deltas: []*lacewire.MirrorDelta{delta("a/", 6, "a/2", "b/1")}},
		"no revision":    {Deltas: []*lacewire.MirrorDelta{delta("a/", 0, "a/2")}},
		"confirms a prefix twice": {Confirmed: []*lacewire.MirrorConfirmation{
			confirmation("a/", 1, 5), confirmation("a/", 1, 5),
		}},
		"foreign removal": {Deltas: []*lacewire.MirrorDelta{{
			Prefix:   "a/",
			From:     5,
			Revision: 6,
			Removed: []*lacewire.MirrorRemoval{{
				Key:      "b/1",
				Revision: 6,
			}},
		}}},
		"negative revision": {Deltas: []*lacewire.MirrorDelta{{
			Prefix:   "a/",
			From:     -1,
			Revision: 6,
		}}},
		"packed foreign key": {Deltas: []*lacewire.MirrorDelta{packDelta(t, delta("a/", 6, foreign...))}},
		"packed and damaged": {Deltas: []*lacewire.MirrorDelta{
			packedWith(func(d *lacewire.MirrorDelta) { d.Sum++ }),
		}},
		"packed without size": {Deltas: []*lacewire.MirrorDelta{
			packedWith(func(d *lacewire.MirrorDelta) { d.Size = 0 }),
		}},
		"packed and too large": {Deltas: []*lacewire.MirrorDelta{
			packedWith(func(d *lacewire.MirrorDelta) { d.Size = math.MaxInt64 }),
		}},
		"packed and unpacked": {Deltas: []*lacewire.MirrorDelta{
			packedWith(func(d *lacewire.MirrorDelta) { d.Entries = delta("a/", 6, "a/2").Entries }),
		}},
		"negative removal grace": {Deltas: []*lacewire.MirrorDelta{withGrace(delta("a/", 6, "a/2"), -1)}},
		"removal grace too long": {Deltas: []*lacewire.MirrorDelta{withGrace(delta("a/", 6, "a/2"), math.MaxInt64)}},
		"packed against an unknown base": {Deltas: []*lacewire.MirrorDelta{
			packedWith(func(d *lacewire.MirrorDelta) { d.BaseRevision = 5 }),
		}},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPeer(t, "a/")
			if syncedAt, ok := p.receive("peer-1", p.now, &lacewire.MirrorNews{
				Deltas:    []*lacewire.MirrorDelta{delta("a/", 5, "a/1")},
				Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 60_000, 5)},
			}); !ok || p.now.Sub(syncedAt) != time.Minute {
				t.Fatalf("an answer of 1m ago counts as synced %s ago", p.now.Sub(syncedAt))
			}
			before := p.node.followers[0].Status()
			if _, ok := p.receive("peer-1", p.now, answer); ok {
				t.Error("the malformed answer was accepted")
			}
			if after := p.node.followers[0].Status(); after != before {
				t.Errorf("the copy changed from %+v to %+v", before, after)
			}
			if n := testutil.ToFloat64(p.node.rejectedInputs); n != 1 {
				t.Errorf("the malformed answer was counted %v times", n)
			}
			if err := p.node.log.Close(); err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(p.logOutput.String(), `"from":"peer-1"`); n != 1 {
				t.Errorf("%d log lines name the sender: %s", n, p.logOutput.String())
			}
		})
	}
}

// Guards against malformed states in a query that are not reported, or that prevent the answer to its valid states.
func TestMalformedQueriesAreReported(t *testing.T) {
	for name, state := range map[string]*lacewire.MirrorState{
		"unknown prefix":    {Prefix: "b/"},
		"negative revision": {Prefix: "a/", Revision: -1},
	} {
		p := newTestPeer(t, "a/")
		p.receive("peer-1", p.now, &lacewire.MirrorNews{Deltas: []*lacewire.MirrorDelta{delta("a/", 5, "a/1")}})
		answer, err := p.Fetch(context.Background(), &lacewire.MirrorQuery{
			Instance: "other",
			States:   []*lacewire.MirrorState{state, state, {Prefix: "a/"}},
		})
		if err != nil || len(answer.GetDeltas()) != 1 || testutil.ToFloat64(p.node.rejectedInputs) != 1 {
			t.Errorf("%s: answered with %v, %v", name, answer, err)
		}
	}
}

// syncFromStore simulates an instance whose store has confirmed its copies at a time.
func (p *testPeer) syncFromStore(revision int64, syncedAt laceunit.Uptime) {
	for _, f := range p.node.followers {
		prefix := string(f.Prefix())
		f.Merge(lacewire.ToMirrorDelta(delta(prefix, revision, prefix+"1")))
		f.Confirm(laceplatform.Revision(revision), syncedAt)
	}
}

// Guards against ages of copies that are understated: by rounding, by an instance that was suspended before, during or
// after its answer, and in a chain of instances.
func TestSyncTimeIsNeverOverstated(t *testing.T) {
	for name, c := range map[string]struct{ delay, suspension time.Duration }{
		"calm":      {delay: 7*time.Millisecond + 300*time.Microsecond},
		"at once":   {suspension: 300 * time.Microsecond},
		"suspended": {delay: 7 * time.Millisecond, suspension: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			delay, suspension := c.delay, c.suspension
			chain := []*testPeer{newTestPeer(t, "a/", "b/"), newTestPeer(t, "a/", "b/"), newTestPeer(t, "a/", "b/")}
			syncedAt := chain[0].now
			chain[0].syncFromStore(5, syncedAt)
			advance := func(d time.Duration) {
				for _, p := range chain {
					p.now = p.now.Add(d)
				}
			}
			advance(suspension)
			for i, p := range chain[1:] {
				sentAt := p.now
				advance(delay)
				answer := chain[i].answerQuery(t, p)
				advance(delay + suspension)
				received, ok := p.receive("partner", sentAt, answer)
				if !ok || received > syncedAt ||
					syncedAt.Sub(received) > time.Duration(i+1)*(2*delay+time.Millisecond) {
					t.Errorf("a copy synced %s ago counts as synced %s ago at instance %d",
						p.now.Sub(syncedAt), p.now.Sub(received), i+1)
				}
				if syncedNow := p.syncedAt(); syncedNow != received {
					t.Errorf("the copies of instance %d were synced %s ago, want %s", i+1, p.now.Sub(syncedNow),
						p.now.Sub(received))
				}
			}
		})
	}
}

// Guards against copies that are marked as current because a peer has confirmed newer ones, or only some of them: the
// instance as a whole is as stale as its oldest copy.
func TestOnlyCompleteCopiesAreConfirmed(t *testing.T) {
	cases := map[string]func(answer *lacewire.MirrorNews){
		"delta is missing":         func(n *lacewire.MirrorNews) { n.Deltas = nil },
		"delta of an old revision": func(n *lacewire.MirrorNews) { n.Deltas[1].Revision-- },
		"delta starts too late":    func(n *lacewire.MirrorNews) { n.Deltas[1].Full, n.Deltas[1].From = false, 4 },
		"age is missing":           func(n *lacewire.MirrorNews) { n.Confirmed = n.Confirmed[:1] },
		"age exceeds the uptime":   func(n *lacewire.MirrorNews) { n.Confirmed[1].AgeMs = (2 * time.Hour).Milliseconds() },
	}
	for name, modify := range cases {
		sender, receiver := newTestPeer(t, "a/", "members/"), newTestPeer(t, "a/", "members/")
		sender.syncFromStore(5, sender.now)
		answer := sender.answerQuery(t, receiver)
		modify(answer)
		received, ok := receiver.receive("partner", receiver.now, answer)
		if !ok || received != 0 || receiver.syncedAt() != 0 {
			t.Errorf("%s: the answer counts as synced %s ago, the copies %s ago", name,
				receiver.now.Sub(received), receiver.now.Sub(receiver.syncedAt()))
		}
	}
	empty, other := newTestPeer(t, "a/"), newTestPeer(t, "a/")
	empty.node.followers[0].Confirm(0, empty.now)
	if answer := empty.answerQuery(t, other); len(answer.GetConfirmed()) > 0 {
		t.Errorf("an instance without a copy confirms it: %v", answer)
	}
}

// Guards against removals that a peer may still take back and that are final here, and against final ones that are
// kept, whether or not the delta is large; an instance of an older version does not say which they are.
func TestRemovalGraceTravelsWithDelta(t *testing.T) {
	var keys []string
	for i := range 1000 {
		keys = append(keys, fmt.Sprint("a/", i))
	}
	for _, grace := range []time.Duration{0, time.Millisecond, 1800 * time.Millisecond} {
		small := withGrace(delta("a/", 6, "a/2"), grace.Milliseconds())
		large := packDelta(t, withGrace(delta("a/", 6, keys...), grace.Milliseconds()))
		for _, d := range []*lacewire.MirrorDelta{small, large} {
			unpacked, err := lacewire.UnpackDelta(d, lacewire.Base{})
			if err != nil {
				t.Fatal(err)
			}
			if got := lacewire.ToMirrorDelta(unpacked).RemovalGrace; got != grace {
				t.Errorf("grace %s, %d entries: received as %s", grace, len(unpacked.GetEntries()), got)
			}
		}
	}
	if got := lacewire.ToMirrorDelta(delta("a/", 6, "a/2")).RemovalGrace; got != lacemirror.DefaultRemovalGrace {
		t.Errorf("removals of an older version have a grace of %s", got)
	}
	sent := lacemirror.Delta{RemovalGrace: time.Microsecond}
	if got := lacewire.ToMirrorDelta(lacewire.FromMirrorDelta(sent)).RemovalGrace; got < sent.RemovalGrace {
		t.Errorf("a grace of %s was sent as %s", sent.RemovalGrace, got)
	}
}
