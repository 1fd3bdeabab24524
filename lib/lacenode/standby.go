package lacenode

import (
	"context"
	"math/rand/v2"
	"slices"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceunit"
)

// follow keeps the copies current while the instance stands by.
func (x *exchange) follow(ctx context.Context) {
	x.ask(ctx, x.freshness.SelectPeers(x.view(), rand.IntN))
	answers := x.taken()
	stranded := x.stranded()
	for p, h := range answers {
		if h.large && stranded {
			h.reached = 0
		}
		x.freshness.RecordAnswer(p, h.reached)
	}
	x.transfer(ctx, answers)
	o := x.freshness.Decide(x.view(), rand.IntN)
	if o.ProbeStore {
		x.node.registrar.Renew(ctx)
		o = x.freshness.Decide(x.view(), rand.IntN)
	}
	if o.Wait > 0 && o.Wait <= lacemirror.PollInterval && lacekernel.Sleep(ctx, o.Wait) {
		o = x.freshness.Decide(x.view(), rand.IntN)
	}
	x.apply(o)
	x.note()
}

// stranded reports whether large news has not arrived for long and none is arriving.
func (x *exchange) stranded() bool {
	return x.node.pulse.Now().Sub(x.reached()) > strandedAge && !x.transfers.moving()
}

// note writes a line when a copy that partners keep current becomes old, and when it is current again.
func (x *exchange) note() {
	n := x.node
	now := n.pulse.Now()
	for _, f := range n.followers {
		s := f.Status()
		old := now.Sub(s.SyncedAt) > contactAge
		if old == x.old[f.Prefix()] {
			continue
		}
		x.old[f.Prefix()] = old
		event := lacelog.Regained
		if old {
			event = lacelog.Lost
		}
		n.log.Write(event, append([]lacelog.Pair{
			lacelog.P("prefix", f.Prefix()), lacelog.P(lacelog.Reason, "news of partners"), lacelog.P("partner", x.origin.Peer),
			lacelog.P(lacelog.Revision, s.Revision), lacelog.P(lacelog.Age, age(now, s.SyncedAt).Milliseconds()),
			lacelog.P("lacking", s.PendingSince > 0), lacelog.P("transfers", x.transfers.active()),
		}, n.vitals.pairs()...)...)
	}
}

// view returns what the decision where news comes from is made on.
func (x *exchange) view() lacemirror.View {
	n := x.node
	v := lacemirror.View{
		Now:          n.pulse.Now(),
		FleetSize:    len(n.board.Members()) + 1,
		StoreContact: n.pulse.Connectivity(),
		SyncedAt:     x.reached(),
	}
	for _, m := range n.board.Watchers() {
		if m.PeerAddress == "" {
			continue
		}
		v.Peers = append(v.Peers, m.PeerAddress)
		if m.Place == n.settings.Place {
			v.NearPeers = len(v.Peers)
		}
	}
	return v
}

// reached returns the newest moment at which all copies are known to have been current.
func (x *exchange) reached() laceunit.Uptime {
	oldest := x.node.pulse.Now()
	for _, f := range x.node.followers {
		oldest = min(oldest, f.Status().SyncedAt)
	}
	return oldest
}

// arriving reports whether an answer of the store is on its way, which is not given up for a partner that may know less.
func (x *exchange) arriving() bool {
	return slices.ContainsFunc(x.node.followers, (*lacemirror.Follower).Receiving)
}

// apply carries out where news comes from. Only this loop switches the copies: a question that is still under way when the
// instance takes callers again must not leave it without the store.
func (x *exchange) apply(o lacemirror.Decision) {
	if o.ViaPeers && !x.origin.ViaPeers && x.arriving() {
		return
	}
	for _, f := range x.node.followers {
		f.SetViaPeers(o.ViaPeers)
	}
	if o.ViaPeers != x.origin.ViaPeers || o.ViaPeers && o.Peer != x.origin.Peer {
		n := x.node
		n.log.Write(lacelog.News, lacelog.P("indirect", o.ViaPeers), lacelog.P("partner", o.Peer),
			lacelog.P(lacelog.Age, age(n.pulse.Now(), x.reached()).Milliseconds()),
			lacelog.P("store_ms", age(n.pulse.Now(), n.pulse.Connectivity().LastReachable).Milliseconds()))
	}
	x.origin = o
}
