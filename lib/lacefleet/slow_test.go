package lacefleet

import (
	"context"
	"testing"
	"time"

	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
)

// sluggish answers renewals late, or not before their deadline.
type sluggish struct {
	*client
	delay   time.Duration
	renewed chan struct{}
}

func (s *sluggish) Renew(ctx context.Context, lease laceplatform.LeaseID) error {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return laceplatform.ErrUnknown
	}
	select {
	case s.renewed <- struct{}{}:
	default:
	}
	return s.client.Renew(ctx, lease)
}

// Guards against a slow platform that is taken for a lost one, and against one that never answers and is not.
func TestSlowPlatformIsNotLost(t *testing.T) {
	for _, x := range []struct {
		delay time.Duration
		lost  bool
	}{{20 * time.Millisecond, false}, {time.Hour, true}} {
		settings := fast()
		settings.Instance = "i"
		settings.CallTimeout = 100 * time.Millisecond
		store := &sluggish{client: &client{platform: newPlatform()}, delay: x.delay, renewed: make(chan struct{})}
		s := New(store, settings)
		if err := s.Join(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		if x.lost {
			b := &bench{order: []*Service{s}}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			b.await(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeLost })
			continue
		}
		for range 8 {
			<-store.renewed
			if !s.Reachable() {
				t.Fatal("lost although every call is answered")
			}
		}
	}
}
