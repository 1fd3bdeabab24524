package lacenode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacedirectory"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// staleAge is the age from which a copy is stale. An instance that watches the store then queries peers as well.
	staleAge = 2500 * time.Millisecond
	// firstByteTimeout bounds the wait for the first byte of a peer's response, readTimeout the wait for each further
	// read. Calls time out only when no data arrives, not because of their total duration. A round stops waiting for
	// them after lacemirror.QueryTimeout.
	firstByteTimeout = 2 * time.Second
	readTimeout      = 2 * time.Second
	// maxPeerResponseBytes bounds a response of a peer; the configuration of the design scale takes 1.6 MB.
	maxPeerResponseBytes = 16 << 20
)

// replicator fetches changes of the store from peers while this instance does not watch the store or can't reach it,
// and serves the queries of peers.
type replicator struct {
	node   *Node
	client *http.Client
	packer lacewire.Packer
	// selector decides where changes come from while the instance does not watch the store, decision is its last
	// result. Only the loop uses them.
	selector lacemirror.SourceSelector
	decision lacemirror.Decision

	// staleCopies are the prefixes whose copies were logged as stale while peers supply the changes.
	staleCopies map[laceplatform.Key]bool

	transfers transfers
	// offerNoBases is true after an answer that could not be applied, until one was.
	offerNoBases atomic.Bool
	// tasks are the running queries and transfers.
	tasks sync.WaitGroup

	mu sync.Mutex
	// pendingPeers are the peers with a running query, answers the answers since the last round.
	pendingPeers map[laceunit.Address]bool
	answers      map[laceunit.Address]peerAnswer
}

func newReplicator(n *Node) *replicator {
	return &replicator{
		node: n,
		client: &http.Client{
			Transport: &laceconn.TimeoutTransport{
				Base:                  peerTransport(&n.monitor.controlTraffic),
				ResponseHeaderTimeout: firstByteTimeout,
				BodyIdleTimeout:       readTimeout,
			},
		},
		staleCopies:  map[laceplatform.Key]bool{},
		pendingPeers: map[laceunit.Address]bool{},
		answers:      map[laceunit.Address]peerAnswer{},
	}
}

// peerTransport returns a transport for calls to peers that counts their bytes.
func peerTransport(traffic *laceconn.Traffic) *laceconn.Transport {
	return laceconn.NewTransport(&http.Transport{
		DialContext:     traffic.DialControl,
		IdleConnTimeout: time.Minute,
	}, maxPeerResponseBytes)
}

// newPeerClient returns an HTTP client for short calls to peers.
func newPeerClient(traffic *laceconn.Traffic) *http.Client {
	return &http.Client{
		Timeout:   lacemirror.QueryTimeout,
		Transport: peerTransport(traffic),
	}
}

// Serve implements suture.Service.
func (r *replicator) Serve(ctx context.Context) error {
	defer r.tasks.Wait()
	// The random delay keeps instances that start together from querying at the same time.
	lacekernel.Sleep(ctx, rand.N(lacemirror.PollInterval))
	return lacekernel.RunEvery(ctx, lacemirror.PollInterval, r.step)
}

func (r *replicator) step(ctx context.Context) {
	if r.node.replicating.Load() {
		r.replicate(ctx)
		return
	}
	r.selector = lacemirror.SourceSelector{}
	r.applyDecision(lacemirror.Decision{})
	if !r.anyCopyStale() {
		return
	}
	r.queryPeers(ctx, r.selectPeers())
	r.startTransfers(ctx, r.takeAnswers())
}

// anyCopyStale reports whether a copy is stale or its last call to the store has failed.
func (r *replicator) anyCopyStale() bool {
	now := r.node.tracker.Now()
	for _, f := range r.node.followers {
		if s := f.Status(); s.Failing || now.Sub(s.SyncedAt) > staleAge {
			return true
		}
	}
	return false
}

// selectPeers returns the addresses of two random peers: one that watches the store, and one of all, since all watchers
// may have lost the store.
func (r *replicator) selectPeers() []laceunit.Address {
	n := r.node
	candidates := slices.Clone(n.settings.Seeds)
	var selected []laceunit.Address
	for _, list := range [][]laceunit.Address{
		peerAddresses(n.directory.Watchers()),
		append(candidates, peerAddresses(n.directory.Members())...),
	} {
		list = slices.DeleteFunc(list, func(a laceunit.Address) bool {
			return a == n.settings.PeerAddress || slices.Contains(selected, a)
		})
		if len(list) > 0 {
			selected = append(selected, list[rand.IntN(len(list))])
		}
	}
	return selected
}

// peerAddresses returns the peer addresses of members that have one.
func peerAddresses(members []lacedirectory.Member) []laceunit.Address {
	var list []laceunit.Address
	for _, m := range members {
		if m.PeerAddress != "" {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// queryPeers queries several peers concurrently and waits for at most lacemirror.QueryTimeout. Later answers count for
// the next round; a peer with a running query is not queried again.
func (r *replicator) queryPeers(ctx context.Context, addresses []laceunit.Address) {
	var round sync.WaitGroup
	for _, p := range addresses {
		if !r.beginQuery(p) {
			continue
		}
		round.Add(1)
		r.tasks.Go(func() {
			defer round.Done()
			r.endQuery(p, r.queryPeer(ctx, p))
		})
	}
	done := make(chan struct{})
	r.tasks.Go(func() {
		round.Wait()
		close(done)
	})
	timer := time.NewTimer(lacemirror.QueryTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// beginQuery marks a peer as queried; it returns false if a query to it is already running.
func (r *replicator) beginQuery(peer laceunit.Address) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingPeers[peer] {
		return false
	}
	r.pendingPeers[peer] = true
	return true
}

// queryPeer sends the query of a round to a peer; it returns nil if the query fails.
func (r *replicator) queryPeer(ctx context.Context, peer laceunit.Address) *peerAnswer {
	answer, err := r.fetch(ctx, peer, r.newQuery(maxRoundDeltaBytes, !r.offerNoBases.Load()))
	if err != nil {
		// Not logged: the next round queries other peers.
		return nil
	}
	return &answer
}

func (r *replicator) endQuery(peer laceunit.Address, answer *peerAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingPeers, peer)
	if answer != nil {
		r.answers[peer] = *answer
	}
}

// takeAnswers returns and clears the answers since the last round.
func (r *replicator) takeAnswers() map[laceunit.Address]peerAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := r.answers
	r.answers = map[laceunit.Address]peerAnswer{}
	return answers
}
