package lacenode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// contactAge is the age of the copies from which other instances are asked by one that watches the store itself.
	contactAge = 2500 * time.Millisecond
	// answerWait is how long an answer of another instance may take to begin, pieceWait how long each further piece of it may
	// take. Silence ends a call, not its length; a round goes on without it after lacemirror.QuestionTimeout.
	answerWait = 2 * time.Second
	pieceWait  = time.Second
)

// exchange asks other instances for what the store does not tell this one.
type exchange struct {
	node   *Node
	client *http.Client
	packer lacewire.Packer
	// freshness decides where news comes from while the instance stands by, origin is its last decision; only the loop uses
	// them.
	freshness lacemirror.Freshness
	origin    lacemirror.Origin

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
			Transport: &laceconn.Patient{
				Base:    peerTransport(&n.vitals.control),
				First:   answerWait,
				Between: pieceWait,
			},
		},
		pending: map[laceunit.Address]bool{},
		answers: map[laceunit.Address]heard{},
	}
}

// peerTransport returns a transport for calls to other instances whose bytes are counted.
func peerTransport(traffic *laceconn.Traffic) *http.Transport {
	return &http.Transport{
		DialContext:     traffic.Dial,
		IdleConnTimeout: time.Minute,
	}
}

// newPeerClient returns a client for short calls to other instances.
func newPeerClient(traffic *laceconn.Traffic) *http.Client {
	return &http.Client{
		Timeout:   lacemirror.QuestionTimeout,
		Transport: peerTransport(traffic),
	}
}

// Serve implements suture.Service.
func (x *exchange) Serve(ctx context.Context) error {
	defer x.work.Wait()
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
		x.ask(ctx, []laceunit.Address{peer})
		x.transfer(ctx, x.taken())
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
	timer := time.NewTimer(lacemirror.QuestionTimeout)
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
