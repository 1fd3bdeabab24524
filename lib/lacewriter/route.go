package lacewriter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// pingAfter is how long the writer may take before it is asked whether it is there; a healthy one needs a few
	// milliseconds and its longest linger.
	pingAfter = 400 * time.Millisecond
	// pingTimeout is how long a writer that is there may take to say so.
	pingTimeout = 200 * time.Millisecond
	// avoidPeriod is how long a peer that didn't answer, or the platform, is passed over.
	avoidPeriod = time.Second
	// maxPeers bounds the peers that are tried for one call.
	maxPeers = 3
)

// errNotWriter means that the receiver is not the shard's writer.
var errNotWriter = errors.New("writer: not the writer of the shard")

// call is one operation that the writer, this instance or any peer can carry out.
type call[T any] struct {
	shard laceunit.ShardID
	// again means that the operation may be repeated after an unknown outcome.
	again     bool
	pingDelay time.Duration
	ask       func(ctx context.Context, p Peer, writer bool) (T, error)
	local     func(ctx context.Context, u *unit) (T, error)
}

// routing is the way of one call through the fleet.
type routing[T any] struct {
	call[T]
	ledger *Ledger
	// unsure means that a try may have taken effect.
	unsure bool
	last   error
}

// route carries a call out by the writer, from here, or through peers, in this order.
func route[T any](ctx context.Context, l *Ledger, c call[T]) (T, error) {
	r := &routing[T]{
		call:   c,
		ledger: l,
	}
	now := time.Now()
	writer, isKnown := l.writer(c.shard)
	isSelf := isKnown && writer == l.self
	if isKnown && !isSelf && !l.avoided(writer.Address, now) {
		if v, done, err := r.remote(ctx, writer, true); done {
			return v, err
		}
	}
	steps := []func(context.Context) (T, bool, error){
		func(ctx context.Context) (T, bool, error) { return r.locally(ctx, !isSelf) },
		r.viaPeers,
	}
	if l.preferPeers(now) {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if v, done, err := step(ctx); done {
			return v, err
		}
	}
	var none T
	return none, r.failure()
}

// final reports whether a result ends the call, and notes what it means for the next try.
func (r *routing[T]) final(err error) bool {
	r.last = err
	switch {
	case err == nil, errors.Is(err, laceplatform.ErrMissing), errors.Is(err, ErrShardCount), errors.Is(err, ErrDamaged):
		return true
	case errors.Is(err, laceplatform.ErrUnknown):
		r.unsure = true
		return !r.again
	}
	return false
}

func (r *routing[T]) remote(ctx context.Context, p Peer, writer bool) (T, bool, error) {
	v, err := r.askWhileAlive(ctx, p, writer)
	if err != nil && !errors.Is(err, laceplatform.ErrMissing) && ctx.Err() == nil {
		r.ledger.avoidPeer(p)
	}
	return v, r.final(err), err
}

// askWhileAlive waits for a peer as long as it is there.
//
// A slow platform slows the writer down; appending from every instance instead would only add conflicts.
func (r *routing[T]) askWhileAlive(ctx context.Context, p Peer, writer bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, r.ledger.timeout+r.pingDelay)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	answer := make(chan result, 1)
	go func() {
		v, err := r.ask(ctx, p, writer)
		answer <- result{
			value: v,
			err:   err,
		}
	}()
	for {
		select {
		case a := <-answer:
			return a.value, a.err
		case <-time.After(r.pingDelay):
		}
		if !r.ledger.ping(ctx, p, r.shard, writer) {
			cancel()
			a := <-answer
			return a.value, a.err
		}
	}
}

func (r *routing[T]) locally(ctx context.Context, direct bool) (T, bool, error) {
	var none T
	u, err := r.ledger.unit(ctx, r.shard)
	if err != nil {
		return none, r.final(err), err
	}
	if direct {
		r.ledger.observer.Direct(r.shard)
	}
	one, cancel := context.WithTimeout(ctx, 2*r.ledger.timeout+r.pingDelay)
	defer cancel()
	v, err := r.local(one, u)
	if err != nil && ctx.Err() == nil && !errors.Is(err, laceplatform.ErrMissing) {
		r.ledger.mu.Lock()
		r.ledger.peersFirst = time.Now().Add(avoidPeriod)
		r.ledger.mu.Unlock()
	}
	return v, r.final(err), err
}

// viaPeers tries peers, which append directly.
func (r *routing[T]) viaPeers(ctx context.Context) (v T, done bool, err error) {
	tried := 0
	for _, p := range r.ledger.peers.Peers() {
		if tried == maxPeers || ctx.Err() != nil {
			break
		}
		if p.Holder == r.ledger.self.Holder || r.ledger.avoided(p.Address, time.Now()) {
			continue
		}
		tried++
		r.ledger.observer.ViaPeer(r.shard)
		if v, done, err = r.remote(ctx, p, false); done {
			return v, true, err
		}
	}
	return v, false, err
}

func (r *routing[T]) failure() error {
	message := "writer: no path to the platform"
	if r.last != nil {
		message = r.last.Error()
	}
	if r.unsure {
		return errors.Wrap(laceplatform.ErrUnknown, message)
	}
	return errors.Wrap(laceplatform.ErrUnavailable, message)
}

func (l *Ledger) writer(shard laceunit.ShardID) (Peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.writers[shard]
	return w, ok
}

func (l *Ledger) avoided(a laceunit.Address, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.avoid[a])
}

func (l *Ledger) preferPeers(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.peersFirst)
}

// avoidPeer notes that a peer didn't answer or is not the writer.
func (l *Ledger) avoidPeer(p Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for a, t := range l.avoid {
		if !now.Before(t) {
			delete(l.avoid, a)
		}
	}
	l.avoid[p.Address] = now.Add(avoidPeriod)
}
