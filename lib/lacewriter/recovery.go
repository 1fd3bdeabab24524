package lacewriter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Recover closes the grants of gone holders and voids their abandoned idempotent requests, in the shards that this
// instance writes. It returns the open non-idempotent requests of gone holders, whose backend servers should be asked.
//
// It may be called at any time and again after an error, because its records are decided against the current state.
func (l *Ledger) Recover(ctx context.Context, live, gone []laceunit.Holder, abandon time.Duration) ([]laceledger.RequestState, error) {
	var ask []laceledger.RequestState
	var first error
	for _, shard := range l.WriterShards() {
		list, err := l.recoverShard(ctx, shard, live, gone, abandon)
		if err != nil && first == nil {
			first = errors.Wrapf(err, "shard %d", shard)
		}
		ask = append(ask, list...)
	}
	return ask, first
}

// Written returns the budgets of the shards that this instance writes, as of now.
func (l *Ledger) WriterBalances(ctx context.Context) ([]laceledger.Balance, error) {
	var all []laceledger.Balance
	for _, shard := range l.WriterShards() {
		u, err := l.unit(ctx, shard)
		if err != nil {
			return nil, err
		}
		if err = u.combiner.Refresh(ctx); err != nil {
			return nil, errors.Wrapf(err, "shard %d", shard)
		}
		u.log.View(func(s *laceledger.State) { all = append(all, s.Balances()...) })
	}
	return all, nil
}

func (l *Ledger) recoverShard(ctx context.Context, shard laceunit.ShardID, live, gone []laceunit.Holder, abandon time.Duration) ([]laceledger.RequestState, error) {
	u, err := l.unit(ctx, shard)
	if err != nil {
		return nil, err
	}
	if err = u.combiner.Refresh(ctx); err != nil {
		return nil, err
	}
	var v laceledger.RecoveryPlan
	u.log.View(func(s *laceledger.State) { v = s.PlanRecovery(live, gone, l.clock().Unix(), abandon) })
	// Submitting all before waiting lets them share entries; a full queue leaves the rest to the next call.
	var items []*item
	for _, r := range v.Records {
		it := &item{
			record:  r,
			urgency: laceledger.UrgencyNormal,
		}
		if err = u.combiner.submit(it); err != nil {
			break
		}
		items = append(items, it)
	}
	for _, it := range items {
		if _, e := u.combiner.wait(ctx, it); e != nil && err == nil {
			err = e
		}
	}
	return v.Unresolved, err
}

// Retained fences every shard and returns the non-idempotent requests that the ledger remembers. It is complete only
// when each shard has taken this fence: then no holder that the membership has removed can add to it.
func (l *Ledger) FenceAndListRequests(ctx context.Context, fence laceledger.Fence) ([]laceledger.Request, bool, error) {
	var all []laceledger.Request
	for shard := range l.shards {
		u, err := l.unit(ctx, laceunit.ShardID(shard))
		if err != nil {
			return nil, false, err
		}
		if err = u.combiner.Refresh(ctx); err != nil {
			return nil, false, errors.Wrapf(err, "shard %d", shard)
		}
		if err = u.fence(ctx, fence); err != nil {
			return nil, false, errors.Wrapf(err, "shard %d", shard)
		}
		var epoch laceunit.Epoch
		u.log.View(func(s *laceledger.State) {
			epoch = s.Fence().Epoch
			all = append(all, s.NonIdempotentRequests()...)
		})
		if epoch != fence.Epoch {
			return nil, false, nil
		}
	}
	return all, true, nil
}

// fence appends a fence unless the shard has it.
func (u *unit) fence(ctx context.Context, fence laceledger.Fence) error {
	var epoch laceunit.Epoch
	u.log.View(func(s *laceledger.State) { epoch = s.Fence().Epoch })
	if epoch >= fence.Epoch {
		return nil
	}
	_, err := u.combiner.Append(ctx, fence, laceledger.UrgencyImmediate)
	return err
}
