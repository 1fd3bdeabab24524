package lacewriter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Recover closes the grants of removed holders and voids their abandoned idempotent requests, in the shards of which
// this instance is the writer. It returns the open non-idempotent requests of removed holders, whose state the caller
// should query at their backend servers.
//
// It may be called at any time and retried after an error, because its records are validated against the current state.
func (l *Ledger) Recover(
	ctx context.Context, live, removed []laceunit.Holder, abandonAfter time.Duration,
) ([]laceledger.RequestState, error) {
	var unresolved []laceledger.RequestState
	var firstErr error
	for _, shard := range l.WriterShards() {
		list, err := l.recoverShard(ctx, shard, live, removed, abandonAfter)
		if err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "shard %d", shard)
		}
		unresolved = append(unresolved, list...)
	}
	return unresolved, firstErr
}

// WriterBalances returns the current balances of the shards of which this instance is the writer.
func (l *Ledger) WriterBalances(ctx context.Context) ([]laceledger.Balance, error) {
	var all []laceledger.Balance
	for _, shard := range l.WriterShards() {
		s, err := l.localShard(ctx, shard)
		if err != nil {
			return nil, err
		}
		if err = s.combiner.Refresh(ctx); err != nil {
			return nil, errors.Wrapf(err, "shard %d", shard)
		}
		s.log.View(func(state *laceledger.State) { all = append(all, state.Balances()...) })
	}
	return all, nil
}

func (l *Ledger) recoverShard(
	ctx context.Context, shard laceunit.ShardID, live, removed []laceunit.Holder, abandonAfter time.Duration,
) ([]laceledger.RequestState, error) {
	s, err := l.localShard(ctx, shard)
	if err != nil {
		return nil, err
	}
	if err = s.combiner.Refresh(ctx); err != nil {
		return nil, err
	}
	var plan laceledger.RecoveryPlan
	s.log.View(func(state *laceledger.State) {
		plan = state.PlanRecovery(live, removed, l.clock().Unix(), abandonAfter)
	})
	// All records are enqueued before waiting, so that they can share entries. If the queue is full, the next call
	// handles the rest.
	var items []*item
	for _, r := range plan.Records {
		it := &item{
			record:  r,
			urgency: laceledger.UrgencyNormal,
		}
		if err = s.combiner.enqueue(it); err != nil {
			break
		}
		items = append(items, it)
	}
	for _, it := range items {
		if _, waitErr := s.combiner.wait(ctx, it); waitErr != nil && err == nil {
			err = waitErr
		}
	}
	return plan.Unresolved, err
}

// FenceAndListRequests fences every shard and returns the retained non-idempotent requests. The list is complete (true)
// only if every shard has accepted this fence: from then on, no holder that was removed from the membership can add to
// it.
func (l *Ledger) FenceAndListRequests(
	ctx context.Context, fence laceledger.Fence,
) ([]laceledger.Request, bool, error) {
	var all []laceledger.Request
	for shard := range l.shards {
		s, err := l.localShard(ctx, laceunit.ShardID(shard))
		if err != nil {
			return nil, false, err
		}
		if err = s.combiner.Refresh(ctx); err != nil {
			return nil, false, errors.Wrapf(err, "shard %d", shard)
		}
		if err = s.ensureFence(ctx, fence); err != nil {
			return nil, false, errors.Wrapf(err, "shard %d", shard)
		}
		var epoch laceunit.Epoch
		s.log.View(func(state *laceledger.State) {
			epoch = state.Fence().Epoch
			all = append(all, state.NonIdempotentRequests()...)
		})
		if epoch != fence.Epoch {
			return nil, false, nil
		}
	}
	return all, true, nil
}

// ensureFence appends a fence unless the shard already has this fence or a newer one.
func (s *localShard) ensureFence(ctx context.Context, fence laceledger.Fence) error {
	var epoch laceunit.Epoch
	s.log.View(func(state *laceledger.State) { epoch = state.Fence().Epoch })
	if epoch >= fence.Epoch {
		return nil
	}
	_, err := s.combiner.Append(ctx, fence, laceledger.UrgencyImmediate)
	return err
}
