package lacenode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// contactAge is the age of the copies from which other instances are asked by one that watches the store itself.
const contactAge = 2500 * time.Millisecond

// exchange asks other instances for what the store does not tell this one.
type exchange struct {
	node   *Node
	client *http.Client
	// freshness decides where news comes from while the instance stands by, origin is its last decision; only the loop uses
	// them.
	freshness lacemirror.Freshness
	origin    lacemirror.Origin
}

func newExchange(n *Node) *exchange {
	return &exchange{
		node:   n,
		client: newPeerClient(),
	}
}

// newPeerClient returns a client for calls to other instances.
func newPeerClient() *http.Client {
	return &http.Client{
		Timeout: lacemirror.QuestionTimeout,
		Transport: &http.Transport{
			DialContext:     laceconn.Dial,
			IdleConnTimeout: time.Minute,
		},
	}
}

// Serve implements suture.Service.
func (x *exchange) Serve(ctx context.Context) error {
	return lacekernel.Every(ctx, lacemirror.RoundInterval, x.step)
}

func (x *exchange) step(ctx context.Context) {
	if x.node.following.Load() {
		x.follow(ctx)
		return
	}
	x.freshness = lacemirror.Freshness{}
	x.apply(lacemirror.Origin{})
	if !x.stale() {
		return
	}
	if peer, ok := x.choose(); ok {
		x.fetch(ctx, peer)
	}
}

// stale reports whether the store has not confirmed all copies lately.
func (x *exchange) stale() bool {
	now := x.node.pulse.Now()
	for _, f := range x.node.followers {
		if s := f.Status(); s.Failing || now.Sub(s.Reached) > contactAge {
			return true
		}
	}
	return false
}

// fetch takes in what another instance knows. It returns the newest moment at which all of its copies are known to have been
// current, zero if that is not known, and whether it answered.
func (x *exchange) fetch(ctx context.Context, peer laceunit.Address) (reached laceunit.Uptime, answered bool) {
	query := x.query()
	asked := x.node.pulse.Now()
	news, err := lacewire.NewMirrorProtobufClient("http://"+string(peer), x.client).Fetch(ctx, query)
	if err != nil {
		// An unreachable instance tells nothing; the next round asks others.
		return 0, false
	}
	return x.take(peer, asked, news)
}

// query returns a question for what this instance's copies lack.
func (x *exchange) query() *lacewire.MirrorQuery {
	q := &lacewire.MirrorQuery{Instance: string(x.node.settings.Instance)}
	for _, f := range x.node.followers {
		q.States = append(q.States, &lacewire.MirrorState{
			Prefix:   string(f.Prefix()),
			Revision: int64(f.Status().Revision),
		})
	}
	return q
}

// take takes in the answer to a question that was asked at a moment. One that can't be meant is no answer.
func (x *exchange) take(peer laceunit.Address, asked laceunit.Uptime, news *lacewire.MirrorNews) (reached laceunit.Uptime, answered bool) {
	if fault := x.fault(news); fault != "" {
		x.node.malformed(fault, string(peer))
		return 0, false
	}
	for _, m := range news.GetDeltas() {
		x.follower(laceplatform.Key(m.GetPrefix())).Merge(lacewire.ToDelta(m))
	}
	return x.confirm(asked, news.GetConfirmed()), true
}

// confirm takes in how old the copies of another instance are, by an answer without fault, and returns the oldest moment.
func (x *exchange) confirm(asked laceunit.Uptime, confirmed []*lacewire.MirrorConfirmation) laceunit.Uptime {
	oldest, known := asked, 0
	for _, c := range confirmed {
		at := asked.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		if f := x.follower(laceplatform.Key(c.GetPrefix())); at > 0 && f.Confirm(laceplatform.Revision(c.GetRevision()), at) {
			known++
			oldest = min(oldest, at)
		}
	}
	if known < len(x.node.followers) {
		return 0
	}
	return oldest
}

// follower returns the follower of a prefix, or nil.
func (x *exchange) follower(prefix laceplatform.Key) *lacemirror.Follower {
	for _, f := range x.node.followers {
		if f.Prefix() == prefix {
			return f
		}
	}
	return nil
}

// choose returns the peer address of another instance at random.
func (x *exchange) choose() (laceunit.Address, bool) {
	var peers []laceunit.Address
	for _, m := range x.node.board.Members() {
		if m.Peer != "" {
			peers = append(peers, m.Peer)
		}
	}
	for _, s := range x.node.settings.Seeds {
		if s != x.node.settings.Peer {
			peers = append(peers, s)
		}
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[rand.IntN(len(peers))], true
}

// Fetch implements lacewire.Mirror.
func (x *exchange) Fetch(_ context.Context, q *lacewire.MirrorQuery) (*lacewire.MirrorNews, error) {
	news := &lacewire.MirrorNews{Direct: !x.node.following.Load()}
	now, unread := x.node.pulse.Now(), false
	for _, s := range q.GetStates() {
		f := x.follower(laceplatform.Key(s.GetPrefix()))
		if f == nil || s.GetRevision() < 0 {
			// An instance of another version may follow more; what it asks beside that is answered.
			unread = true
			continue
		}
		// The age comes first: changes after it are in the copy or have moved its revision.
		status := f.Status()
		if d, ok := f.Since(laceplatform.Revision(s.GetRevision())); ok {
			news.Deltas = append(news.Deltas, lacewire.FromDelta(d))
		}
		if status.Reached > 0 && status.Revision > 0 {
			news.Confirmed = append(news.Confirmed, &lacewire.MirrorConfirmation{
				Prefix:   s.GetPrefix(),
				AgeMs:    age(now, status.Reached).Milliseconds(),
				Revision: int64(status.Revision),
			})
		}
	}
	if unread {
		x.node.malformed("news query", q.GetInstance())
	}
	return news, nil
}

// age returns how old news is, in whole milliseconds that are never too few.
func age(now, reached laceunit.Uptime) time.Duration {
	return max(now.Sub(reached), 0).Truncate(time.Millisecond) + time.Millisecond
}
