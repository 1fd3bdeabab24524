package lacefleet

import (
	"context"
	"testing"
	"time"

	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
)

// slowRenewalStore delays each renewal, which fails if its context ends first.
type slowRenewalStore struct {
	*storeClient
	delay   time.Duration
	renewed chan struct{}
}

func (s *slowRenewalStore) Renew(ctx context.Context, lease laceplatform.LeaseID) error {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return laceplatform.ErrUnknown
	}
	select {
	case s.renewed <- struct{}{}:
	default:
	}
	return s.storeClient.Renew(ctx, lease)
}

// Guards against a slow platform that counts as lost although it responds, and against one that never responds but
// doesn't count as lost.
func TestSlowPlatformIsNotLost(t *testing.T) {
	for _, c := range []struct {
		delay time.Duration
		lost  bool
	}{{20 * time.Millisecond, false}, {time.Hour, true}} {
		settings := fastSettings()
		settings.Instance = "i"
		settings.CallTimeout = 100 * time.Millisecond
		store := &slowRenewalStore{
			storeClient: &storeClient{memoryStore: newMemoryStore()},
			delay:       c.delay,
			renewed:     make(chan struct{}),
		}
		s := New(store, settings)
		if err := s.Join(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		if c.lost {
			f := &testFleet{services: []*Service{s}}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			f.waitFor(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeLost })
			continue
		}
		for range 8 {
			<-store.renewed
			if !s.PlatformReachable() {
				t.Fatal("platform counts as lost although every renewal succeeds")
			}
		}
	}
}
