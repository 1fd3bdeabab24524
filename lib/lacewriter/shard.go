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

// ErrShardCount means that the number of shards in the settings is invalid or differs from the one stored on the
// platform.
var ErrShardCount = errors.New("writer: number of shards differs from the agreed one")

// MaxShards bounds the number of shards.
const MaxShards = 4096

const shardCountKey laceplatform.Key = "ledger/shape"

// ShardOf returns the shard of a budget, by a hash of the client account, which is the part of the budget id before the
// first slash. All budgets of a client account share a shard, because request ids are scoped by client account and
// duplicates are detected within a shard only.
func ShardOf(budget laceunit.BudgetID, shards int) laceunit.ShardID {
	account, _, _ := strings.Cut(string(budget), "/")
	return laceunit.ShardID(xxhash.Sum64String(account) % uint64(shards))
}

// EnsureShardCount stores the number of shards on the platform at the first start of a fleet. Later calls return
// ErrShardCount if it differs from the stored one.
func EnsureShardCount(ctx context.Context, store laceplatform.Store, shards int) error {
	if shards < 1 || shards > MaxShards {
		return errors.Wrapf(ErrShardCount, "%d is not between 1 and %d", shards, MaxShards)
	}
	var err error
	for range maxLoadAttempts {
		var kv laceplatform.Entry
		kv, err = store.Get(ctx, shardCountKey)
		if err == nil {
			stored, parseErr := strconv.Atoi(string(kv.Value))
			if parseErr != nil {
				return errors.Wrapf(ErrDamaged, "%s: %v", shardCountKey, parseErr)
			}
			if stored != shards {
				return errors.Wrapf(ErrShardCount, "settings say %d, the platform says %d", shards, stored)
			}
			return nil
		}
		if !errors.Is(err, laceplatform.ErrMissing) {
			return err
		}
		_, err = store.Swap(ctx, laceplatform.Swap{
			Key:   shardCountKey,
			Value: []byte(strconv.Itoa(shards)),
		})
		// Whether the write succeeded, failed with a conflict or has an unknown outcome, the next round reads the
		// stored value.
		if err != nil && !errors.Is(err, laceplatform.ErrConflict) && !errors.Is(err, laceplatform.ErrUnknown) {
			return err
		}
	}
	return err
}
