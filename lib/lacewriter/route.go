package lacewriter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// pingInterval is how long to wait for a peer's response before each health check. A healthy writer responds within
	// a few milliseconds plus its maximum batching delay.
	pingInterval = 400 * time.Millisecond
	// pingTimeout bounds one health check.
	pingTimeout = 200 * time.Millisecond
	// avoidPeriod is how long a peer is skipped after a failed call, and how long peers are preferred to the platform
	// after a failed local call.
	avoidPeriod = time.Second
	// maxPeerAttempts bounds the peers that are tried for one operation.
	maxPeerAttempts = 3
)

// errNotWriter means that the called instance is not the shard's writer.
var errNotWriter = errors.New("writer: not the writer of the shard")

// operation is an append or a read that the shard's writer, this instance or any peer can execute.
type operation[T any] struct {
	shard laceunit.ShardID
	// safeToRetry means that the operation may be retried after an unknown outcome.
	safeToRetry  bool
	pingInterval time.Duration
	callPeer     func(ctx context.Context, p Peer, requireWriter bool) (T, error)
	callLocal    func(ctx context.Context, s *localShard) (T, error)
}

// routedOperation is an operation with the outcome of its attempts so far.
type routedOperation[T any] struct {
	operation[T]
	ledger *Ledger
	// maybeApplied means that an attempt may have taken effect.
	maybeApplied bool
	lastErr      error
}

// route executes an operation on the writer, locally, or through peers, in this order. After a recent local failure,
// peers come before the local attempt.
func route[T any](ctx context.Context, l *Ledger, op operation[T]) (T, error) {
	r := &routedOperation[T]{
		operation: op,
		ledger:    l,
	}
	now := time.Now()
	writer, hasWriter := l.writer(op.shard)
	isSelf := hasWriter && writer == l.self
	if hasWriter && !isSelf && !l.isAvoided(writer.Address, now) {
		if v, done, err := r.tryPeer(ctx, writer, true); done {
			return v, err
		}
	}
	steps := []func(context.Context) (T, bool, error){
		func(ctx context.Context) (T, bool, error) { return r.tryLocal(ctx, !isSelf) },
		r.tryPeers,
	}
	if l.prefersPeers(now) {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if v, done, err := step(ctx); done {
			return v, err
		}
	}
	var zero T
	return zero, r.failure()
}

// recordOutcome records the outcome of an attempt and reports whether it is final, so that no other attempt follows.
func (r *routedOperation[T]) recordOutcome(err error) bool {
	r.lastErr = err
	switch {
	case err == nil, errors.Is(err, laceplatform.ErrMissing), errors.Is(err, ErrShardCount), errors.Is(err, ErrDamaged):
		return true
	case errors.Is(err, laceplatform.ErrUnknown):
		r.maybeApplied = true
		return !r.safeToRetry
	}
	return false
}

// tryPeer executes the operation on a peer and skips the peer for a while after a failure.
func (r *routedOperation[T]) tryPeer(ctx context.Context, p Peer, requireWriter bool) (T, bool, error) {
	v, err := r.callPeerWhileAlive(ctx, p, requireWriter)
	if err != nil && !errors.Is(err, laceplatform.ErrMissing) && ctx.Err() == nil {
		r.ledger.avoidPeer(p)
	}
	return v, r.recordOutcome(err), err
}

// callPeerWhileAlive executes the operation on a peer and waits for the response as long as the peer passes health
// checks.
//
// A slow platform also slows the writer. Appending from every instance instead would only add conflicts.
func (r *routedOperation[T]) callPeerWhileAlive(ctx context.Context, p Peer, requireWriter bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, r.ledger.timeout+r.pingInterval)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	response := make(chan result, 1)
	go func() {
		v, err := r.callPeer(ctx, p, requireWriter)
		response <- result{
			value: v,
			err:   err,
		}
	}()
	for {
		select {
		case res := <-response:
			return res.value, res.err
		case <-time.After(r.pingInterval):
		}
		if !r.ledger.ping(ctx, p, r.shard, requireWriter) {
			cancel()
			res := <-response
			return res.value, res.err
		}
	}
}

// tryLocal executes the operation on this instance. bypassesWriter means that this instance is not the shard's writer.
func (r *routedOperation[T]) tryLocal(ctx context.Context, bypassesWriter bool) (T, bool, error) {
	var zero T
	s, err := r.ledger.localShard(ctx, r.shard)
	if err != nil {
		return zero, r.recordOutcome(err), err
	}
	if bypassesWriter {
		r.ledger.observer.Direct(r.shard)
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*r.ledger.timeout+r.pingInterval)
	defer cancel()
	v, err := r.callLocal(callCtx, s)
	if err != nil && ctx.Err() == nil && !errors.Is(err, laceplatform.ErrMissing) {
		r.ledger.mu.Lock()
		r.ledger.preferPeersUntil = time.Now().Add(avoidPeriod)
		r.ledger.mu.Unlock()
	}
	return v, r.recordOutcome(err), err
}

// tryPeers executes the operation through peers, which need not be the shard's writer.
func (r *routedOperation[T]) tryPeers(ctx context.Context) (v T, done bool, err error) {
	tried := 0
	for _, p := range r.ledger.peers.Peers() {
		if tried == maxPeerAttempts || ctx.Err() != nil {
			break
		}
		if p.Holder == r.ledger.self.Holder || r.ledger.isAvoided(p.Address, time.Now()) {
			continue
		}
		tried++
		r.ledger.observer.ViaPeer(r.shard)
		if v, done, err = r.tryPeer(ctx, p, false); done {
			return v, true, err
		}
	}
	return v, false, err
}

// failure returns the error after all attempts have failed.
func (r *routedOperation[T]) failure() error {
	message := "writer: no path to the platform"
	if r.lastErr != nil {
		message = r.lastErr.Error()
	}
	if r.maybeApplied {
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

func (l *Ledger) isAvoided(a laceunit.Address, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.avoidUntil[a])
}

func (l *Ledger) prefersPeers(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.preferPeersUntil)
}

// avoidPeer skips a peer for avoidPeriod, after it failed to respond or is not the writer.
func (l *Ledger) avoidPeer(p Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for a, t := range l.avoidUntil {
		if !now.Before(t) {
			delete(l.avoidUntil, a)
		}
	}
	l.avoidUntil[p.Address] = now.Add(avoidPeriod)
}
