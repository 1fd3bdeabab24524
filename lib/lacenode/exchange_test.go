package lacenode

import (
	"bytes"
	"context"
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
		pulse:    laceplatform.NewPulse(func() laceunit.Uptime { return p.now }),
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
	news, err := p.Fetch(context.Background(), other.query())
	if err != nil {
		t.Fatal(err)
	}
	return news
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
	}
	for name, news := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPeered(t, "a/")
			if reached, ok := p.take("peer-1", p.now, &lacewire.MirrorNews{
				Deltas:    []*lacewire.MirrorDelta{delta("a/", 5, "a/1")},
				Confirmed: []*lacewire.MirrorConfirmation{confirmation("a/", 60_000, 5)},
			}); !ok || p.now.Sub(reached) != time.Minute {
				t.Fatalf("news of a minute ago counts as of %s ago", p.now.Sub(reached))
			}
			before := p.node.followers[0].Status()
			if _, ok := p.take("peer-1", p.now, news); ok {
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
		p.take("peer-1", p.now, &lacewire.MirrorNews{Deltas: []*lacewire.MirrorDelta{delta("a/", 5, "a/1")}})
		news, err := p.Fetch(context.Background(), &lacewire.MirrorQuery{
			Instance: "other",
			States:   []*lacewire.MirrorState{state, state, {Prefix: "a/"}},
		})
		if err != nil || len(news.GetDeltas()) != 1 || testutil.ToFloat64(p.node.rejected) != 1 {
			t.Errorf("%s: answered with %v, %v", name, news, err)
		}
	}
}
