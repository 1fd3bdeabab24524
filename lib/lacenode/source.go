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

// replicate runs a round that keeps the copies current while the instance does not watch the store.
func (r *replicator) replicate(ctx context.Context) {
	r.queryPeers(ctx, r.selector.SelectPeers(r.selectorView(), rand.IntN))
	answers := r.takeAnswers()
	stalled := r.transferStalled()
	for p, answer := range answers {
		if answer.deltaOmitted && stalled {
			answer.syncedAt = 0
		}
		r.selector.RecordAnswer(p, answer.syncedAt)
	}
	r.startTransfers(ctx, answers)
	decision := r.selector.Decide(r.selectorView(), rand.IntN)
	if decision.ProbeStore {
		r.node.registrar.Renew(ctx)
		decision = r.selector.Decide(r.selectorView(), rand.IntN)
	}
	if decision.Wait > 0 && decision.Wait <= lacemirror.PollInterval && lacekernel.Sleep(ctx, decision.Wait) {
		decision = r.selector.Decide(r.selectorView(), rand.IntN)
	}
	r.applyDecision(decision)
	r.logStaleness()
}

// transferStalled reports whether the oldest copy is older than stalledAge and no transfer is receiving data.
func (r *replicator) transferStalled() bool {
	return r.node.tracker.Now().Sub(r.syncedAt()) > stalledAge && !r.transfers.anyReceiving()
}

// logStaleness logs when a copy that peers keep current becomes stale, and when it is current again.
func (r *replicator) logStaleness() {
	n := r.node
	now := n.tracker.Now()
	for _, f := range n.followers {
		s := f.Status()
		stale := now.Sub(s.SyncedAt) > staleAge
		if stale == r.staleCopies[f.Prefix()] {
			continue
		}
		r.staleCopies[f.Prefix()] = stale
		event := lacelog.SyncRestored
		if stale {
			event = lacelog.SyncLost
		}
		n.log.Write(event, append([]lacelog.Pair{
			lacelog.P("prefix", f.Prefix()), lacelog.P(lacelog.Reason, "updates from peers"),
			lacelog.P("partner", r.decision.Peer),
			lacelog.P(lacelog.Revision, s.Revision),
			lacelog.P(lacelog.Age, roundedUpAge(now, s.SyncedAt).Milliseconds()),
			lacelog.P("lacking", s.PendingSince > 0), lacelog.P("transfers", r.transfers.anyRunning()),
		}, n.monitor.logFields()...)...)
	}
}

// selectorView returns the input of the decision where changes come from.
func (r *replicator) selectorView() lacemirror.View {
	n := r.node
	v := lacemirror.View{
		Now:          n.tracker.Now(),
		FleetSize:    len(n.directory.Members()) + 1,
		StoreContact: n.tracker.Connectivity(),
		SyncedAt:     r.syncedAt(),
	}
	for _, m := range n.directory.Watchers() {
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

// syncedAt returns the latest time at which all copies are known to have been current.
func (r *replicator) syncedAt() laceunit.Uptime {
	oldest := r.node.tracker.Now()
	for _, f := range r.node.followers {
		oldest = min(oldest, f.Status().SyncedAt)
	}
	return oldest
}

// receivingFromStore reports whether a response of the store is being received. It is not abandoned for a peer whose
// copy may be older.
func (r *replicator) receivingFromStore() bool {
	return slices.ContainsFunc(r.node.followers, (*lacemirror.Follower).Receiving)
}

// applyDecision switches the followers between the store and peers. Only this loop does so: a query that is still
// running when the instance becomes a watcher again must not stop the watch of the store.
func (r *replicator) applyDecision(decision lacemirror.Decision) {
	if decision.ViaPeers && !r.decision.ViaPeers && r.receivingFromStore() {
		return
	}
	for _, f := range r.node.followers {
		f.SetViaPeers(decision.ViaPeers)
	}
	if decision.ViaPeers != r.decision.ViaPeers || decision.ViaPeers && decision.Peer != r.decision.Peer {
		n := r.node
		n.log.Write(lacelog.SyncSource, lacelog.P("indirect", decision.ViaPeers), lacelog.P("partner", decision.Peer),
			lacelog.P(lacelog.Age, roundedUpAge(n.tracker.Now(), r.syncedAt()).Milliseconds()),
			lacelog.P("store_ms", roundedUpAge(n.tracker.Now(), n.tracker.Connectivity().LastReachable).Milliseconds()))
	}
	r.decision = decision
}
