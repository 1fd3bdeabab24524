package lacefleet

import (
	"context"
	"testing"
	"time"

	"lacewingcove/lib/laceplatform"
)

// narrow is a store whose large values and lists take as long as a full link does; small calls pass at once.
type narrow struct {
	*client
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
	if key == membersKey {
		if err := n.carry(ctx); err != nil {
			return laceplatform.Entry{}, err
		}
	}
	return n.client.Get(ctx, key)
}

func (n *narrow) List(ctx context.Context, prefix laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	if err := n.carry(ctx); err != nil {
		return nil, 0, err
	}
	return n.client.List(ctx, prefix)
}

func (n *narrow) Swap(ctx context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	if swap.Key == membersKey {
		if err := n.carry(ctx); err != nil {
			return 0, err
		}
	}
	return n.client.Swap(ctx, swap)
}

// Guards against an instance that never joins or never learns who is alive, because the record and the list of a large fleet
// take longer than a small call may. With 340 members each takes over a second at 30 kB/s.
func TestALargeRecordMayTakeLongerThanASmallCall(t *testing.T) {
	settings := fast()
	settings.Instance = "i"
	settings.Call = 100 * time.Millisecond
	settings.TTL = 10 * time.Second
	s := New(&narrow{
		client: &client{platform: newPlatform()},
		delay:  2 * settings.Call,
	}, settings)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Join(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	b := &bench{order: []*Service{s}}
	b.await(ctx, t, func(s *Service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.alive) > 0
	})
}
