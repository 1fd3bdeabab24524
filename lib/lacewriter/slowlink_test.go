package lacewriter

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// slowLinkStore is a store behind a saturated link: lists and snapshot parts take the delay, small calls take none.
type slowLinkStore struct {
	*memoryStore
	delay time.Duration
}

func (s *slowLinkStore) transfer(ctx context.Context) error {
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return laceplatform.ErrUnavailable
	}
}

func (s *slowLinkStore) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	if strings.HasPrefix(string(key), "part") {
		if err := s.transfer(ctx); err != nil {
			return laceplatform.Entry{}, err
		}
	}
	return s.memoryStore.Get(ctx, key)
}

func (s *slowLinkStore) List(
	ctx context.Context, prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	if err := s.transfer(ctx); err != nil {
		return nil, 0, err
	}
	return s.memoryStore.List(ctx, prefix)
}

func (s *slowLinkStore) Swap(ctx context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	if strings.HasPrefix(string(swap.Key), "part") {
		if err := s.transfer(ctx); err != nil {
			return 0, err
		}
	}
	return s.memoryStore.Swap(ctx, swap)
}

// Guards against a shard that can't be loaded over a slow link because of timeouts, and against a shard that rejects
// appends because its snapshots can't be written. At 30 kB/s a part of 256 KB takes 12 s and a ring of 1 MB 45 s.
func TestLoadAndSnapshotOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries      = RingSlots
			maxPartBytes = 2 << 10
		)
		store := &slowLinkStore{
			memoryStore: newMemoryStore(),
			delay:       5 * time.Second,
		}
		newCombiner := func(instance laceunit.InstanceID) *Combiner {
			holder := laceunit.Holder{Instance: instance}
			c := NewCombiner(NewLog(store, 0, holder, WithMaxPartBytes(maxPartBytes)), WithMaxPartBytes(maxPartBytes))
			t.Cleanup(func() {
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
			return c
		}
		c := newCombiner("i")
		for n := range entries {
			var err error
			for range 120 {
				// Appends to a full ring fail until the snapshot is written.
				if _, err = c.Append(t.Context(), topUp(fmt.Sprint("p", n), 1),
					laceledger.UrgencyImmediate); err == nil {
					break
				}
				<-time.After(time.Second)
			}
			if err != nil {
				t.Fatalf("record %d: %v", n, err)
			}
		}
		if err := newCombiner("j").Refresh(t.Context()); err != nil {
			t.Errorf("load: %v", err)
		}
	})
}
