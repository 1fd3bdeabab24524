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
func (l *Ledger) Recover(ctx context.Context, live, gone []laceunit.Holder, abandon time.Duration) ([]laceledger.Existing, error) {
	var ask []laceledger.Existing
	var first error
	for _, shard := range l.Writers() {
		list, err := l.recoverShard(ctx, shard, live, gone, abandon)
		if err != nil && first == nil {
			first = errors.Wrapf(err, "shard %d", shard)
		}
		ask = append(ask, list...)
	}
	return ask, first
}

func (l *Ledger) recoverShard(ctx context.Context, shard laceunit.ShardID, live, gone []laceunit.Holder, abandon time.Duration) ([]laceledger.Existing, error) {
	u, err := l.unit(ctx, shard)
	if err != nil {
		return nil, err
	}
	if err = u.combiner.Refresh(ctx); err != nil {
		return nil, err
	}
	var v laceledger.Recovery
	u.log.View(func(s *laceledger.State) { v = s.Recover(live, gone, l.clock().Unix(), abandon) })
	// Submitting all before waiting lets them share entries; a full queue leaves the rest to the next call.
	var items []*item
	for _, r := range v.Records {
		it := &item{
			record:  r,
			urgency: laceledger.Soon,
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
	return v.Ask, err
}

// Retained returns the non-idempotent requests that the ledger remembers, in all shards and as of now; it is complete
// only when no holder outside the members has an open grant.
func (l *Ledger) Retained(ctx context.Context, members []laceunit.Holder) ([]laceledger.Request, bool, error) {
	var all []laceledger.Request
	for shard := range l.shards {
		u, err := l.unit(ctx, laceunit.ShardID(shard))
		if err != nil {
			return nil, false, err
		}
		if err = u.combiner.Refresh(ctx); err != nil {
			return nil, false, errors.Wrapf(err, "shard %d", shard)
		}
		complete := false
		u.log.View(func(s *laceledger.State) {
			var list []laceledger.Request
			list, complete = s.Retained(members)
			all = append(all, list...)
		})
		if !complete {
			return nil, false, nil
		}
	}
	return all, true, nil
}
