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

// peered is an instance without a network whose clock the test sets.
type peered struct {
	*exchange

	now  laceunit.Uptime
	text bytes.Buffer
}

func newPeered(t *testing.T, prefixes ...laceplatform.Key) *peered {
	t.Helper()
	p := &peered{now: laceunit.Uptime(time.Hour)}
	n := &Node{
		log:      lacelog.New(&p.text, "test"),
		pulse:    laceplatform.NewConnectivityTracker(func() laceunit.Uptime { return p.now }),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{Name: "rejected"}),
	}
	for _, prefix := range prefixes {
		n.followers = append(n.followers, lacemirror.NewFollower(prefix, nil, n.pulse, n.log, func([]lacemirror.Change, lacemirror.Source) {}))
	}
	p.exchange = newExchange(n)
	return p
}

// answer returns what the instance tells one that has the copies of another.
func (p *peered) answer(t *testing.T, other *peered) *lacewire.MirrorNews {
	t.Helper()
	news, err := p.Fetch(context.Background(), other.question(roundBytes, true).query)
	if err != nil {
		t.Fatal(err)
	}
	return news
}

// hear takes in an answer to a question without bases.
func (p *peered) hear(peer laceunit.Address, asked laceunit.Uptime, news *lacewire.MirrorNews) (laceunit.Uptime, bool) {
	h, err := p.take(peer, asked, question{}, news)
	return h.reached, err == nil
}

// delta is one with an entry of each of some keys.
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

// pack returns a delta as instances send large ones.
func pack(t *testing.T, d *lacewire.MirrorDelta) *lacewire.MirrorDelta {
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

// Guards against news of another instance that can't be meant and makes this one believe that its copies are current, or
// changes them.
func TestMalformedNewsChangesNothing(t *testing.T) {
	var own, foreign []string
	for i := range 1000 {
		own = append(own, fmt.Sprint("a/", i))
		foreign = append(foreign, fmt.Sprint("b/", i))
	}
	change := func(f func(*lacewire.MirrorDelta)) *lacewire.MirrorDelta {
		d := pack(t, delta("a/", 6, own...))
		f(d)
		return d
	}
	cases := map[string]*lacewire.MirrorNews{
		"age below zero":       {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", -1, 5)}},
		"age overflows":        {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", math.MaxInt64/1_000_000+1, 5)}},
		"age wraps around":     {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 18_446_744_073_710, 5)}},
		"confirms no copy":     {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 1, 0)}},
		"confirms a foreigner": {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 1, 5), confirmation("b/", 1, 5)}},
		"foreign prefix":       {Deltas: []*lacewire.MirrorDelta{delta("a/", 6, "a/2"), delta("b/", 6, "b/1")}},
		"foreign key":          {Deltas: []*lacewire.MirrorDelta{delta("a/", 6, "a/2", "b/1")}},
		"no revision":          {Deltas: []*lacewire.MirrorDelta{delta("a/", 0, "a/2")}},
		"confirms one twice":   {Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 1, 5), confirmation("a/", 1, 5)}},
		"foreign removal": {Deltas: []*lacewire.MirrorDelta{{
			Prefix:   "a/",
			From:     5,
			Revision: 6,
			Removed: []*lacewire.MirrorRemoval{{
				Key:      "b/1",
				Revision: 6,
			}},
		}}},
		"before the beginning": {Deltas: []*lacewire.MirrorDelta{{
			Prefix:   "a/",
			From:     -1,
			Revision: 6,
		}}},
		"packed foreign key":                  {Deltas: []*lacewire.MirrorDelta{pack(t, delta("a/", 6, foreign...))}},
		"packed and damaged":                  {Deltas: []*lacewire.MirrorDelta{change(func(d *lacewire.MirrorDelta) { d.Sum++ })}},
		"packed without size":                 {Deltas: []*lacewire.MirrorDelta{change(func(d *lacewire.MirrorDelta) { d.Size = 0 })}},
		"packed and too large":                {Deltas: []*lacewire.MirrorDelta{change(func(d *lacewire.MirrorDelta) { d.Size = math.MaxInt64 })}},
		"packed and unpacked":                 {Deltas: []*lacewire.MirrorDelta{change(func(d *lacewire.MirrorDelta) { d.Entries = delta("a/", 6, "a/2").Entries })}},
		"packed against what was not offered": {Deltas: []*lacewire.MirrorDelta{change(func(d *lacewire.MirrorDelta) { d.BaseRevision = 5 })}},
	}
	for name, news := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPeered(t, "a/")
			if reached, ok := p.hear("peer-1", p.now, &lacewire.MirrorNews{
				Deltas:    []*lacewire.MirrorDelta{delta("a/", 5, "a/1")},
				Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 60_000, 5)},
			}); !ok || p.now.Sub(reached) != time.Minute {
				t.Fatalf("news of a minute ago counts as of %s ago", p.now.Sub(reached))
			}
			before := p.node.followers[0].Status()
			if _, ok := p.hear("peer-1", p.now, news); ok {
				t.Error("it counts as an answer")
			}
			if after := p.node.followers[0].Status(); after != before {
				t.Errorf("the copy was %+v and is %+v", before, after)
			}
			if n := testutil.ToFloat64(p.node.rejected); n != 1 {
				t.Errorf("it was counted %v times", n)
			}
			if err := p.node.log.Close(); err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(p.text.String(), `"from":"peer-1"`); n != 1 {
				t.Errorf("%d log lines name the source: %s", n, p.text.String())
			}
		})
	}
}

// Guards against a question that can't be meant and leaves no trace, and against one that keeps the rest from being answered.
func TestMalformedQueriesLeaveATrace(t *testing.T) {
	for name, state := range map[string]*lacewire.MirrorState{
		"unknown prefix":       {Prefix: "b/"},
		"before the beginning": {Prefix: "a/", Revision: -1},
	} {
		p := newPeered(t, "a/")
		p.hear("peer-1", p.now, &lacewire.MirrorNews{Deltas: []*lacewire.MirrorDelta{delta("a/", 5, "a/1")}})
		news, err := p.Fetch(context.Background(), &lacewire.MirrorQuery{
			Instance: "other",
			States:   []*lacewire.MirrorState{state, state, {Prefix: "a/"}},
		})
		if err != nil || len(news.GetDeltas()) != 1 || testutil.ToFloat64(p.node.rejected) != 1 {
			t.Errorf("%s: answered with %v, %v", name, news, err)
		}
	}
}

// direct plays an instance whose store has answered at a moment.
func (p *peered) direct(revision int64, reached laceunit.Uptime) {
	for _, f := range p.node.followers {
		prefix := string(f.Prefix())
		f.Merge(lacewire.ToDelta(delta(prefix, revision, prefix+"1")))
		f.Confirm(laceplatform.Revision(revision), reached)
	}
}

// Guards against news that gets younger on its way: by rounding, from an instance that was suspended before, while or after
// it answered, and in a chain of instances.
func TestNewsOnlyGetsOlder(t *testing.T) {
	for name, c := range map[string]struct{ way, frozen time.Duration }{
		"calm":      {way: 7*time.Millisecond + 300*time.Microsecond},
		"at once":   {frozen: 300 * time.Microsecond},
		"suspended": {way: 7 * time.Millisecond, frozen: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			way, frozen := c.way, c.frozen
			chain := []*peered{newPeered(t, "a/", "b/"), newPeered(t, "a/", "b/"), newPeered(t, "a/", "b/")}
			reached := chain[0].now
			chain[0].direct(5, reached)
			pass := func(d time.Duration) {
				for _, p := range chain {
					p.now = p.now.Add(d)
				}
			}
			pass(frozen)
			for i, p := range chain[1:] {
				asked := p.now
				pass(way)
				news := chain[i].answer(t, p)
				pass(way + frozen)
				told, ok := p.hear("partner", asked, news)
				if !ok || told > reached || reached.Sub(told) > time.Duration(i+1)*(2*way+time.Millisecond) {
					t.Errorf("news of %s ago counts as of %s ago at instance %d", p.now.Sub(reached), p.now.Sub(told), i+1)
				}
				if r := p.reached(); r != told {
					t.Errorf("the copies of instance %d are of %s ago, not %s", i+1, p.now.Sub(r), p.now.Sub(told))
				}
			}
		})
	}
}

// Guards against copies that count as current by what another instance says of newer ones, or of some of them: the members and
// the servers are as old as the oldest copy.
func TestNewsCountsForWholeCopies(t *testing.T) {
	cases := map[string]func(news *lacewire.MirrorNews){
		"delta is missing":      func(n *lacewire.MirrorNews) { n.Deltas = nil },
		"delta is of the past":  func(n *lacewire.MirrorNews) { n.Deltas[1].Revision-- },
		"delta starts too late": func(n *lacewire.MirrorNews) { n.Deltas[1].Full, n.Deltas[1].From = false, 4 },
		"age is missing":        func(n *lacewire.MirrorNews) { n.Confirmed = n.Confirmed[:1] },
		"older than the start":  func(n *lacewire.MirrorNews) { n.Confirmed[1].AgeMs = (2 * time.Hour).Milliseconds() },
	}
	for name, change := range cases {
		one, two := newPeered(t, "a/", "members/"), newPeered(t, "a/", "members/")
		one.direct(5, one.now)
		news := one.answer(t, two)
		change(news)
		told, ok := two.hear("partner", two.now, news)
		if !ok || told != 0 || two.reached() != 0 {
			t.Errorf("%s: news counts as of %s ago, the copies as of %s ago", name, two.now.Sub(told), two.now.Sub(two.reached()))
		}
	}
	empty, other := newPeered(t, "a/"), newPeered(t, "a/")
	empty.node.followers[0].Confirm(0, empty.now)
	if news := empty.answer(t, other); len(news.GetConfirmed()) > 0 {
		t.Errorf("an instance without a copy calls it current: %v", news)
	}
}
