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

// narrow is a store whose lists and parts of snapshots take as long as a full link does; small calls pass at once.
type narrow struct {
	*memory
	delay time.Duration
}

func (n *narrow) carry(ctx context.Context) error {
	select {
	case <-time.After(n.delay):
		return nil
	case <-ctx.Done():
		return laceplatform.ErrUnavailable
	}
}

func (n *narrow) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	if strings.HasPrefix(string(key), "part") {
		if err := n.carry(ctx); err != nil {
			return laceplatform.Entry{}, err
		}
	}
	return n.memory.Get(ctx, key)
}

func (n *narrow) List(ctx context.Context, prefix laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	if err := n.carry(ctx); err != nil {
		return nil, 0, err
	}
	return n.memory.List(ctx, prefix)
}

func (n *narrow) Swap(ctx context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	if strings.HasPrefix(string(swap.Key), "part") {
		if err := n.carry(ctx); err != nil {
			return 0, err
		}
	}
	return n.memory.Swap(ctx, swap)
}

// Guards against a shard that no instance behind a narrow link can load, and against one that stops because no snapshot of it
// gets written: a part of 256 KB takes 12 s at 30 kB/s, and a ring of 1 MB 45 s.
func TestALargeShardIsLoadedAndSnapshotOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries = RingSlots
			parts   = 2 << 10
		)
		store := &narrow{
			memory: newMemory(),
			delay:  5 * time.Second,
		}
		start := func(instance laceunit.InstanceID) *Combiner {
			holder := laceunit.Holder{Instance: instance}
			c := NewCombiner(NewLog(store, 0, holder, WithMaxPartBytes(parts)), WithMaxPartBytes(parts))
			t.Cleanup(func() {
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			})
			return c
		}
		c := start("i")
		for n := range entries {
			var err error
			for range 120 {
				// A full ring waits for the snapshot that is being written.
				if _, err = c.Append(t.Context(), topUp(fmt.Sprint("p", n), 1), laceledger.UrgencyImmediate); err == nil {
					break
				}
				<-time.After(time.Second)
			}
			if err != nil {
				t.Fatalf("record %d: %v", n, err)
			}
		}
		if err := start("j").Refresh(t.Context()); err != nil {
			t.Errorf("load: %v", err)
		}
	})
}
