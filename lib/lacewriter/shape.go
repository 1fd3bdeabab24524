package lacewriter

import (
	"context"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// ErrShape means that the number of shards in the settings differs from the one that the fleet agreed on.
var ErrShardCount = errors.New("writer: number of shards differs from the agreed one")

// MaxShards bounds the number of shards.
const MaxShards = 4096

const shapeKey laceplatform.Key = "ledger/shape"

// Shard returns the shard of a budget. Budgets that share the part of their id before the first slash, which names the
// client account, share a shard: request ids are scoped by client account, and only one shard can tell them apart.
func ShardOf(budget laceunit.BudgetID, shards int) laceunit.ShardID {
	account, _, _ := strings.Cut(string(budget), "/")
	return laceunit.ShardID(xxhash.Sum64String(account) % uint64(shards))
}

// Agree fixes the number of shards at the first start of a fleet and compares it afterwards.
func EnsureShardCount(ctx context.Context, store laceplatform.Store, shards int) error {
	if shards < 1 || shards > MaxShards {
		return errors.Wrapf(ErrShardCount, "%d is not between 1 and %d", shards, MaxShards)
	}
	var err error
	for range loadTries {
		var kv laceplatform.Entry
		kv, err = store.Get(ctx, shapeKey)
		if err == nil {
			agreed, bad := strconv.Atoi(string(kv.Value))
			if bad != nil {
				return errors.Wrapf(ErrDamaged, "%s: %v", shapeKey, bad)
			}
			if agreed != shards {
				return errors.Wrapf(ErrShardCount, "settings say %d, the platform says %d", shards, agreed)
			}
			return nil
		}
		if !errors.Is(err, laceplatform.ErrMissing) {
			return err
		}
		_, err = store.Swap(ctx, laceplatform.Swap{
			Key:   shapeKey,
			Value: []byte(strconv.Itoa(shards)),
		})
		// Whatever the answer says, the next round reads what stands there.
		if err != nil && !errors.Is(err, laceplatform.ErrConflict) && !errors.Is(err, laceplatform.ErrUnknown) {
			return err
		}
	}
	return err
}
