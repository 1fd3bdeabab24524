package lacegateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

const (
	// resolveInterval is how often open records are tried again.
	resolveInterval = 500 * time.Millisecond
	// maxPending bounds the records that wait; beyond it the oldest is left to the ledger's recovery.
	maxPending = 10000
	// maxAsks bounds how often a backend server is asked about one request, about ten minutes.
	maxAsks = 1200
)

// pending is a record whose fate has to be settled after the caller got its answer.
type pending struct {
	record      laceledger.Record
	reservation lacegrant.Reservation
	request     lacebackend.ScopedRequestID
	server      laceunit.Address
	// ask is true when the record is due only if the backend server has run the request.
	ask  bool
	asks int
}

// Resolver appends open records until the ledger has decided on them.
type Resolver struct {
	deps    Deps
	now     func() time.Time
	metrics *Metrics

	mu    sync.Mutex
	queue []pending
	wake  chan struct{}
}

func newResolver(deps Deps, now func() time.Time, metrics *Metrics) *Resolver {
	return &Resolver{
		deps:    deps,
		now:     now,
		metrics: metrics,
		wake:    make(chan struct{}, 1),
	}
}

func (r *Resolver) add(p pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) >= maxPending {
		r.queue = r.queue[1:]
	}
	r.queue = append(r.queue, p)
	r.metrics.pending(len(r.queue))
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Serve works through the open records until the context ends.
func (r *Resolver) Serve(ctx context.Context) error {
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-r.wake:
		}
		r.RetryPending(ctx)
	}
}

// Round tries every open record once.
func (r *Resolver) RetryPending(ctx context.Context) {
	r.mu.Lock()
	queue := r.queue
	r.queue = nil
	r.mu.Unlock()
	var open []pending
	for i, p := range queue {
		if ctx.Err() != nil {
			open = append(open, queue[i:]...)
			break
		}
		if !r.try(ctx, &p) {
			open = append(open, p)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(open, r.queue...)
	r.metrics.pending(len(r.queue))
}

// Drain tries the open records until none is left or the context ends.
func (r *Resolver) Drain(ctx context.Context) error {
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for {
		r.RetryPending(ctx)
		if r.Len() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "resolver")
		case <-ticker.C:
		}
	}
}

// Len returns how many records are open.
func (r *Resolver) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue)
}

// try returns true when nothing is left to do for a record.
func (r *Resolver) try(ctx context.Context, p *pending) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if p.ask {
		status, err := r.deps.Backend.Lookup(ctx, p.server, p.request)
		p.asks++
		switch {
		case err == nil && status.State == lacebackend.StateDone:
			p.ask = false
		case p.asks >= maxAsks:
			// The intent stays open and answers "unknown"; an operator or the ledger's recovery ends it.
			r.deps.Wallet.Forfeit(p.reservation)
			return true
		default:
			return false
		}
	}
	verdict, err := r.deps.Ledger.Append(ctx, p.record, laceledger.UrgencyLow)
	if err != nil {
		return false
	}
	if record, ok := p.record.(laceledger.Offline); ok {
		// The ledger has the end of the run, so the journal's unfinished entry is of no more use.
		r.deps.Journal.Abandon(record.Request)
	}
	r.release(*p, verdict)
	return true
}

func (r *Resolver) release(p pending, verdict laceledger.Verdict) {
	used := laceunit.Tokens(0)
	switch record := p.record.(type) {
	case laceledger.Settle:
		used = record.Tokens
	case laceledger.Offline:
		used = record.Tokens
	}
	if verdict.Result == laceledger.Superseded {
		// Another attempt was billed; the ledger gave the ceiling back to the grant.
		used = 0
	}
	r.deps.Wallet.Settle(p.reservation, used)
}

// stamp sets the time of the records that the ledger keeps for its retention window.
func stamp(record laceledger.Record, now time.Time) laceledger.Record {
	at := now.Unix()
	switch r := record.(type) {
	case laceledger.Intent:
		r.At = at
		return r
	case laceledger.Takeover:
		r.At = at
		return r
	case laceledger.Settle:
		r.At = at
		return r
	case laceledger.Void:
		r.At = at
		return r
	case laceledger.Offline:
		r.At = at
		return r
	default:
		return record
	}
}
