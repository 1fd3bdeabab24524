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
)

// exchange asks other instances for what the store does not tell this one.
type exchange struct {
	node   *Node
	client *http.Client
}

func newExchange(n *Node) *exchange {
	return &exchange{
		node: n,
		client: &http.Client{
			Timeout: fetchTimeout,
			Transport: &http.Transport{
				DialContext:     laceconn.Dialer().DialContext,
				IdleConnTimeout: time.Minute,
			},
		},
	}
}

// Serve implements suture.Service.
func (x *exchange) Serve(ctx context.Context) error {
	return lacekernel.Every(ctx, fetchInterval, x.step)
}

func (x *exchange) step(ctx context.Context) {
	now := time.Now()
	stale := false
	for _, f := range x.node.followers {
		s := f.Status()
		stale = stale || s.Failing || now.Sub(s.Contact) > contactAge
	}
	if !stale {
		return
	}
	peer, ok := x.choose()
	if !ok {
		return
	}
	query := &lacewire.MirrorQuery{Instance: string(x.node.settings.Instance)}
	for _, f := range x.node.followers {
		query.States = append(query.States, &lacewire.MirrorState{
			Prefix:   string(f.Prefix()),
			Revision: int64(f.Status().Revision),
		})
	}
	news, err := lacewire.NewMirrorProtobufClient("http://"+string(peer), x.client).Fetch(ctx, query)
	if err != nil {
		// An unreachable instance tells nothing; the next round asks another one.
		return
	}
	for _, m := range news.GetDeltas() {
		for _, f := range x.node.followers {
			if string(f.Prefix()) == m.GetPrefix() {
				f.Merge(lacewire.ToDelta(m))
			}
		}
	}
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
	for _, s := range q.GetStates() {
		if d, ok := x.since(laceplatform.Key(s.GetPrefix()), laceplatform.Revision(s.GetRevision())); ok {
			news.Deltas = append(news.Deltas, lacewire.FromDelta(d))
		}
	}
	return news, nil
}

func (x *exchange) since(prefix laceplatform.Key, revision laceplatform.Revision) (lacemirror.Delta, bool) {
	for _, f := range x.node.followers {
		if f.Prefix() == prefix {
			return f.Since(revision)
		}
	}
	return lacemirror.Delta{}, false
}
