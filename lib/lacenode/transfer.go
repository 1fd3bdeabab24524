package lacenode

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

const (
	// maxTransfers bounds concurrent transfers of the same changes from different peers. The second one is a hedge that
	// starts only if the first one sends nothing or is slow.
	maxTransfers = 2
	// transferHedgeDelay is how long a transfer may wait for its first byte until a second one starts.
	transferHedgeDelay = 500 * time.Millisecond
	// slowTransferAge is how long a transfer may take that receives data until a second one starts from another peer.
	slowTransferAge = 5 * time.Second
	// stalledAge is the age of this instance's copies from which peers that are current, but whose large deltas do not
	// arrive, count as lost.
	stalledAge = 4 * time.Second
	// transferLogThreshold is the minimum duration of a transfer that is logged.
	transferLogThreshold = 300 * time.Millisecond
)

// transfers are the running transfers of deltas that are too large for a round. The zero value is empty.
type transfers struct {
	mu      sync.Mutex
	running map[laceunit.Address]*transfer
	// lastFailed is true if the last transfer has failed, possibly because its delta could not be decoded against the
	// base values of this instance.
	lastFailed bool
}

// transfer is a running transfer.
type transfer struct {
	startedAt time.Time
	receiving bool
}

// start registers a transfer from a peer; it returns false if none may start now.
func (t *transfers) start(now time.Time, peer laceunit.Address) (*transfer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[peer] != nil || len(t.running) >= maxTransfers {
		return nil, false
	}
	for _, r := range t.running {
		if age := now.Sub(r.startedAt); age < transferHedgeDelay || r.receiving && age < slowTransferAge {
			return nil, false
		}
	}
	if t.running == nil {
		t.running = map[laceunit.Address]*transfer{}
	}
	started := &transfer{startedAt: now}
	t.running[peer] = started
	return started, true
}

// markReceiving records the first byte of a transfer.
func (t *transfers) markReceiving(r *transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.receiving = true
}

func (t *transfers) end(peer laceunit.Address, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, peer)
	t.lastFailed = failed
}

// useBases reports whether the next transfer may be encoded against base values of this instance.
func (t *transfers) useBases() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lastFailed
}

// anyReceiving reports whether a running transfer has received data.
func (t *transfers) anyReceiving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.running {
		if r.receiving {
			return true
		}
	}
	return false
}

// anyRunning reports whether a transfer is running.
func (t *transfers) anyRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running) > 0
}

// startTransfers starts background transfers of the deltas that were too large for the answers of a round. One
// transfer runs at a time and continues as long as it receives data; a second one starts only as a hedge.
func (r *replicator) startTransfers(ctx context.Context, answers map[laceunit.Address]peerAnswer) {
	for p, answer := range answers {
		if !answer.deltaOmitted {
			continue
		}
		now := time.Now()
		t, ok := r.transfers.start(now, p)
		if !ok {
			continue
		}
		r.tasks.Go(func() { r.runTransfer(ctx, p, t) })
	}
}

// runTransfer fetches all missing changes from a peer, without a size limit.
func (r *replicator) runTransfer(ctx context.Context, peer laceunit.Address, t *transfer) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { r.transfers.markReceiving(t) },
	})
	q := r.newQuery(0, r.transfers.useBases())
	_, err := r.fetch(traced, peer, q)
	r.transfers.end(peer, err != nil)
	took := time.Since(t.startedAt)
	if ctx.Err() != nil || err == nil && took < transferLogThreshold {
		return
	}
	pairs := []lacelog.Pair{
		lacelog.P("partner", peer), lacelog.P(lacelog.Took, took.Milliseconds()), lacelog.P(lacelog.Outcome, "whole"),
	}
	if err != nil {
		pairs[len(pairs)-1] = lacelog.P(lacelog.Outcome, "failed")
		pairs = append(pairs, lacelog.P(lacelog.Reason, err.Error()))
	}
	r.node.log.Write(lacelog.Transfer, append(pairs, r.node.monitor.logFields()...)...)
}
