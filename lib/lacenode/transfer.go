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
	// transfersMost is how many instances send the same news at once. A second one is asked only when the first sends nothing.
	transfersMost = 2
	// transferHedge is how long a transfer may be without its first byte until a second one begins.
	transferHedge = 500 * time.Millisecond
	// transferSlow is how long one may move until a second one begins from another instance.
	transferSlow = 5 * time.Second
	// strandedAge is the age of this instance's copies from which partners that are current, but whose news does not arrive, count
	// as lost.
	strandedAge = 4 * time.Second
	// transferLog is the time from which a transfer has a line in the log.
	transferLog = 300 * time.Millisecond
)

// transfers are the answers under way that are too large for a round. The zero value has none.
type transfers struct {
	mu      sync.Mutex
	running map[laceunit.Address]*transfer
	// whole is true after an answer that could not be put together from what this instance holds.
	whole bool
}

// transfer is one of them.
type transfer struct {
	began time.Time
	moves bool
}

// begin reports whether a transfer from an instance may begin.
func (t *transfers) begin(now time.Time, peer laceunit.Address) (*transfer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[peer] != nil || len(t.running) >= transfersMost {
		return nil, false
	}
	for _, r := range t.running {
		if age := now.Sub(r.began); age < transferHedge || r.moves && age < transferSlow {
			return nil, false
		}
	}
	if t.running == nil {
		t.running = map[laceunit.Address]*transfer{}
	}
	r := &transfer{began: now}
	t.running[peer] = r
	return r, true
}

// arrive takes in the first byte of a transfer.
func (t *transfers) arrive(r *transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.moves = true
}

func (t *transfers) end(peer laceunit.Address, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, peer)
	t.whole = failed
}

// packed reports whether the next transfer may refer to what this instance holds.
func (t *transfers) packed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.whole
}

// moving reports whether a transfer is under way and brings something.
func (t *transfers) moving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.running {
		if r.moves {
			return true
		}
	}
	return false
}

// active reports whether a transfer is under way.
func (t *transfers) active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running) > 0
}

// transfer gets what was too large for the answers of a round, beside the rounds. One transfer at a time goes on for as long as
// it moves.
func (x *exchange) transfer(ctx context.Context, answers map[laceunit.Address]heard) {
	for p, h := range answers {
		if !h.large {
			continue
		}
		now := time.Now()
		t, ok := x.transfers.begin(now, p)
		if !ok {
			continue
		}
		x.work.Go(func() { x.carry(ctx, p, t) })
	}
}

// carry gets all that this instance lacks from another one.
func (x *exchange) carry(ctx context.Context, peer laceunit.Address, t *transfer) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { x.transfers.arrive(t) },
	})
	q := x.question(0, x.transfers.packed())
	_, err := x.fetch(traced, peer, q)
	x.transfers.end(peer, err != nil)
	took := time.Since(t.began)
	if ctx.Err() != nil || err == nil && took < transferLog {
		return
	}
	pairs := []lacelog.Pair{lacelog.P("partner", peer), lacelog.P(lacelog.Took, took.Milliseconds()), lacelog.P(lacelog.Outcome, "whole")}
	if err != nil {
		pairs[len(pairs)-1] = lacelog.P(lacelog.Outcome, "failed")
		pairs = append(pairs, lacelog.P(lacelog.Reason, err.Error()))
	}
	x.node.log.Write(lacelog.Transfer, append(pairs, x.node.vitals.pairs()...)...)
}
