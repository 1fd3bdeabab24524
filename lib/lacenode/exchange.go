package lacenode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
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
	// contactAge is the age of the copies from which other instances are asked by one that watches the store itself.
	contactAge = 2500 * time.Millisecond
	// answerWait is how long an answer of another instance may take to begin, pieceWait how long each further piece of it may
	// take. Silence ends a call, not its length; a round goes on without it after lacemirror.QueryTimeout.
	answerWait = 2 * time.Second
	pieceWait  = 2 * time.Second
)

// exchange asks other instances for what the store does not tell this one.
type exchange struct {
	node   *Node
	client *http.Client
	packer lacewire.Packer
	// freshness decides where news comes from while the instance stands by, origin is its last decision; only the loop uses
	// them.
	freshness lacemirror.SourceSelector
	origin    lacemirror.Decision

	// old are the prefixes whose copies have become old while partners keep them current.
	old map[laceplatform.Key]bool

	transfers transfers
	// work are the questions and transfers under way.
	work sync.WaitGroup

	mu sync.Mutex
	// pending are the instances whose answers are awaited, answers what others have said since the last round.
	pending map[laceunit.Address]bool
	answers map[laceunit.Address]heard
}

func newExchange(n *Node) *exchange {
	return &exchange{
		node: n,
		client: &http.Client{
			Transport: &laceconn.TimeoutTransport{
				Base:                  peerTransport(&n.vitals.control),
				ResponseHeaderTimeout: answerWait,
				BodyIdleTimeout:       pieceWait,
			},
		},
		old:     map[laceplatform.Key]bool{},
		pending: map[laceunit.Address]bool{},
		answers: map[laceunit.Address]heard{},
	}
}

// peerTransport returns a transport for calls to other instances whose bytes are counted.
func peerTransport(traffic *laceconn.Traffic) *http.Transport {
	return &http.Transport{
		DialContext:     traffic.DialControl,
		IdleConnTimeout: time.Minute,
	}
}

// newPeerClient returns a client for short calls to other instances.
func newPeerClient(traffic *laceconn.Traffic) *http.Client {
	return &http.Client{
		Timeout:   lacemirror.QueryTimeout,
		Transport: peerTransport(traffic),
	}
}

// Serve implements suture.Service.
func (x *exchange) Serve(ctx context.Context) error {
	defer x.work.Wait()
	// Instances that start together would ask in step.
	lacekernel.Sleep(ctx, rand.N(lacemirror.PollInterval))
	return lacekernel.Every(ctx, lacemirror.PollInterval, x.step)
}

func (x *exchange) step(ctx context.Context) {
	if x.node.following.Load() {
		x.follow(ctx)
		return
	}
	x.freshness = lacemirror.SourceSelector{}
	x.apply(lacemirror.Decision{})
	if !x.stale() {
		return
	}
	x.ask(ctx, x.choose())
	x.transfer(ctx, x.taken())
}

// stale reports whether the store has not confirmed all copies lately.
func (x *exchange) stale() bool {
	now := x.node.pulse.Now()
	for _, f := range x.node.followers {
		if s := f.Status(); s.Failing || now.Sub(s.SyncedAt) > contactAge {
			return true
		}
	}
	return false
}

// choose returns the addresses of two other instances at random: one that watches the store, and any one, since all of those may
// have lost it.
func (x *exchange) choose() []laceunit.Address {
	n := x.node
	seeds := slices.Clone(n.settings.Seeds)
	var chosen []laceunit.Address
	for _, list := range [][]laceunit.Address{peers(n.board.Watchers()), append(seeds, peers(n.board.Members())...)} {
		list = slices.DeleteFunc(list, func(a laceunit.Address) bool {
			return a == n.settings.PeerAddress || slices.Contains(chosen, a)
		})
		if len(list) > 0 {
			chosen = append(chosen, list[rand.IntN(len(list))])
		}
	}
	return chosen
}

// peers returns the addresses of members for other instances.
func peers(members []lacedirectory.Member) []laceunit.Address {
	var list []laceunit.Address
	for _, m := range members {
		if m.PeerAddress != "" {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}

// ask puts the question to several instances at once and waits for a round's time. What is answered later counts in the round
// after it; an instance that has not answered yet is not asked again.
func (x *exchange) ask(ctx context.Context, peers []laceunit.Address) {
	var round sync.WaitGroup
	for _, p := range peers {
		if !x.begin(p) {
			continue
		}
		round.Add(1)
		x.work.Go(func() {
			defer round.Done()
			x.end(p, x.put(ctx, p))
		})
	}
	done := make(chan struct{})
	x.work.Go(func() {
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

// begin reports whether no answer of an instance is awaited yet.
func (x *exchange) begin(peer laceunit.Address) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.pending[peer] {
		return false
	}
	x.pending[peer] = true
	return true
}

// put puts a round's question to an instance; nil means that it has not answered.
func (x *exchange) put(ctx context.Context, peer laceunit.Address) *heard {
	h, err := x.fetch(ctx, peer, x.question(roundBytes, true))
	if err != nil {
		// An unreachable instance tells nothing; the next round asks others.
		return nil
	}
	return &h
}

func (x *exchange) end(peer laceunit.Address, h *heard) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.pending, peer)
	if h != nil {
		x.answers[peer] = *h
	}
}

// taken returns what instances have answered since the last round.
func (x *exchange) taken() map[laceunit.Address]heard {
	x.mu.Lock()
	defer x.mu.Unlock()
	answers := x.answers
	x.answers = map[laceunit.Address]heard{}
	return answers
}
