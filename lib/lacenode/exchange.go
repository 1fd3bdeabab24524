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

const (
	// fetchInterval is how often an instance without contact to the store asks another one. News reaches all of them
	// within a few rounds.
	fetchInterval = 300 * time.Millisecond
	// fetchTimeout bounds one question.
	fetchTimeout = 500 * time.Millisecond
	// contactAge is the age of the last contact from which other instances are asked. Watches answer every two seconds.
	contactAge = 2500 * time.Millisecond
	// partnerTime is how long an instance that stands by goes on without an answer of any partner before it asks the store
	// itself. Changes have to be in force within a few seconds.
	partnerTime = 1500 * time.Millisecond
)

// exchange asks other instances for what the store does not tell this one.
type exchange struct {
	node   *Node
	client *http.Client
	// partner is who answered last, answered when; only the loop uses them.
	partner  laceunit.Address
	answered time.Time
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
		Timeout: fetchTimeout,
		Transport: &http.Transport{
			DialContext:     laceconn.Dialer().DialContext,
			IdleConnTimeout: time.Minute,
		},
	}
}

// Serve implements suture.Service.
func (x *exchange) Serve(ctx context.Context) error {
	return lacekernel.Every(ctx, fetchInterval, x.step)
}

func (x *exchange) step(ctx context.Context) {
	if x.node.standby.Load() {
		x.follow(ctx)
		return
	}
	x.indirect(false)
	if !x.stale(time.Now()) {
		return
	}
	if peer, ok := x.choose(); ok {
		x.fetch(ctx, peer)
	}
}

// stale reports whether the store has not confirmed all copies lately.
func (x *exchange) stale(now time.Time) bool {
	for _, f := range x.node.followers {
		if s := f.Status(); s.Failing || now.Sub(s.Contact) > contactAge {
			return true
		}
	}
	return false
}

// follow asks a partner for news while the instance stands by. A partner that has no recent news itself is replaced; when
// no partner answers, the store is asked directly.
func (x *exchange) follow(ctx context.Context) {
	began := time.Now()
	if x.partner == "" {
		x.partner = x.anyPartner()
	}
	if x.partner != "" && x.fetch(ctx, x.partner) {
		x.answered = began
	} else {
		x.partner = ""
	}
	if x.stale(time.Now()) {
		x.partner = ""
	}
	x.indirect(time.Since(x.answered) <= partnerTime)
}

// indirect switches all copies between the store and other instances. Only this loop does: a question that is still under
// way when the instance takes callers again must not leave it without the store.
func (x *exchange) indirect(indirect bool) {
	for _, f := range x.node.followers {
		f.Indirect(indirect)
	}
}

// anyPartner returns an instance that takes callers, one of the same availability zone if there is any.
func (x *exchange) anyPartner() laceunit.Address {
	partners := x.node.board.Partners()
	near := 0
	for near < len(partners) && partners[near].Place == x.node.settings.Place {
		near++
	}
	if near == 0 || x.partnerless() {
		near = len(partners)
	}
	if near == 0 {
		return ""
	}
	return partners[rand.IntN(near)].Peer
}

// partnerless reports whether the last partners did not answer, so that those of other zones are asked as well.
func (x *exchange) partnerless() bool { return time.Since(x.answered) > partnerTime/2 }

// fetch takes in what another instance knows and reports whether it answered.
func (x *exchange) fetch(ctx context.Context, peer laceunit.Address) bool {
	query := &lacewire.MirrorQuery{Instance: string(x.node.settings.Instance)}
	for _, f := range x.node.followers {
		query.States = append(query.States, &lacewire.MirrorState{
			Prefix:   string(f.Prefix()),
			Revision: int64(f.Status().Revision),
		})
	}
	asked := time.Now()
	news, err := lacewire.NewMirrorProtobufClient("http://"+string(peer), x.client).Fetch(ctx, query)
	if err != nil {
		// An unreachable instance tells nothing; the next round asks another one.
		return false
	}
	for _, m := range news.GetDeltas() {
		if f := x.follower(laceplatform.Key(m.GetPrefix())); f != nil {
			f.Merge(lacewire.ToDelta(m))
		}
	}
	for _, c := range news.GetConfirmed() {
		if f := x.follower(laceplatform.Key(c.GetPrefix())); f != nil && c.GetAgeMs() >= 0 {
			f.Confirm(asked.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond))
		}
	}
	return true
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
	news := &lacewire.MirrorNews{}
	now := time.Now()
	for _, s := range q.GetStates() {
		f := x.follower(laceplatform.Key(s.GetPrefix()))
		if f == nil {
			continue
		}
		if d, ok := f.Since(laceplatform.Revision(s.GetRevision())); ok {
			news.Deltas = append(news.Deltas, lacewire.FromDelta(d))
		}
		if at := f.Status().Contact; !at.IsZero() {
			news.Confirmed = append(news.Confirmed, &lacewire.MirrorConfirmation{
				Prefix: s.GetPrefix(),
				AgeMs:  now.Sub(at).Milliseconds(),
			})
		}
	}
	return news, nil
}
