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
	// resolveInterval is the retry interval of unresolved records.
	resolveInterval = 500 * time.Millisecond
	// maxPending bounds the queue; if it is full, the oldest record is dropped and left to the ledger's recovery.
	maxPending = 10000
	// maxLookups bounds the lookups of one request at its backend server; 1200 of them take about ten minutes.
	maxLookups = 1200
)

// pendingRecord is a record that was still unresolved when the caller got the final response.
type pendingRecord struct {
	record      laceledger.Record
	reservation lacegrant.Reservation
	request     lacebackend.ScopedRequestID
	server      laceunit.Address
	// lookup is true if the record must not be appended before a lookup has shown that the backend server ran the
	// request.
	lookup  bool
	lookups int
}

// Resolver retries the append of unresolved records until the ledger has returned a verdict.
type Resolver struct {
	deps    Deps
	now     func() time.Time
	metrics *Metrics

	mu    sync.Mutex
	queue []pendingRecord
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

func (r *Resolver) add(p pendingRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) >= maxPending {
		r.queue = r.queue[1:]
	}
	r.queue = append(r.queue, p)
	r.metrics.setPendingRecords(len(r.queue))
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Serve retries pending records until the context ends.
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

// RetryPending tries every pending record once.
func (r *Resolver) RetryPending(ctx context.Context) {
	r.mu.Lock()
	queue := r.queue
	r.queue = nil
	r.mu.Unlock()
	var unresolved []pendingRecord
	for i, p := range queue {
		if ctx.Err() != nil {
			unresolved = append(unresolved, queue[i:]...)
			break
		}
		if !r.retry(ctx, &p) {
			unresolved = append(unresolved, p)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(unresolved, r.queue...)
	r.metrics.setPendingRecords(len(r.queue))
}

// Drain retries pending records until none is left or the context ends.
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

// Len returns the number of pending records.
func (r *Resolver) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue)
}

// retry tries to resolve a record; it returns true if the record needs no further retry.
func (r *Resolver) retry(ctx context.Context, p *pendingRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if p.lookup {
		status, err := r.deps.Backend.Lookup(ctx, p.server, p.request)
		p.lookups++
		switch {
		case err == nil && status.State == lacebackend.StateDone:
			p.lookup = false
		case p.lookups >= maxLookups:
			// The intent stays open with the outcome "unknown" until an operator or the ledger's recovery resolves it.
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
		// The ledger has the final state of the run, so the unfinished journal entry is obsolete.
		r.deps.Journal.Abandon(record.Request)
	}
	r.release(*p, verdict)
	return true
}

func (r *Resolver) release(p pendingRecord, verdict laceledger.Verdict) {
	used := laceunit.Tokens(0)
	switch record := p.record.(type) {
	case laceledger.Settle:
		used = record.Tokens
	case laceledger.Offline:
		used = record.Tokens
	}
	if verdict.Result == laceledger.Superseded {
		// Another attempt was billed; the ledger returned the ceiling to the grant.
		used = 0
	}
	r.deps.Wallet.Settle(p.reservation, used)
}

// withTimestamp returns the record with a time if the ledger keeps it for its retention window.
func withTimestamp(record laceledger.Record, now time.Time) laceledger.Record {
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
