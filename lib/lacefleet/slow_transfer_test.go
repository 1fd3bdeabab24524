package lacefleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// slowTransferStore delays the calls that transfer the membership record or a list, as a saturated link does; calls
// with small values are immediate.
type slowTransferStore struct {
	*storeClient
	delay time.Duration
}

func (s *slowTransferStore) waitForTransfer(ctx context.Context) error {
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return laceplatform.ErrUnavailable
	}
}

func (s *slowTransferStore) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	if key == membersKey {
		if err := s.waitForTransfer(ctx); err != nil {
			return laceplatform.Entry{}, err
		}
	}
	return s.storeClient.Get(ctx, key)
}

func (s *slowTransferStore) List(
	ctx context.Context,
	prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	if err := s.waitForTransfer(ctx); err != nil {
		return nil, 0, err
	}
	return s.storeClient.List(ctx, prefix)
}

func (s *slowTransferStore) Swap(ctx context.Context, swap laceplatform.Swap) (laceplatform.Revision, error) {
	if swap.Key == membersKey {
		if err := s.waitForTransfer(ctx); err != nil {
			return 0, err
		}
	}
	return s.storeClient.Swap(ctx, swap)
}

// Guards against an instance that never joins, or never obtains the list of alive instances, because the transfer of a
// large fleet's record or list exceeds the timeout of a small call. With 340 members each takes over a second at 30
// kB/s.
func TestLargeRecordMayExceedCallTimeout(t *testing.T) {
	settings := fastSettings()
	settings.Instance = "i"
	settings.CallTimeout = 100 * time.Millisecond
	settings.LeaseTTL = 10 * time.Second
	s := New(&slowTransferStore{
		storeClient: &storeClient{memoryStore: newMemoryStore()},
		delay:       2 * settings.CallTimeout,
	}, settings)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Join(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	f := &testFleet{services: []*Service{s}}
	f.waitFor(ctx, t, func(s *Service) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.aliveIncarnations) > 0
	})
}

// slowTransport replies after 8 s and counts the calls and the replies.
type slowTransport struct {
	calls   atomic.Int64
	replies atomic.Int64
}

func (t *slowTransport) Call(
	ctx context.Context,
	_ lacemember.Member,
	_ lacemember.Message,
) (lacemember.Message, error) {
	t.calls.Add(1)
	select {
	case <-time.After(8 * time.Second):
		t.replies.Add(1)
		return lacemember.AckReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against an acknowledgement that never arrives: its bindings took longer to transfer than the timeout of a
// call, and each retry requested them again.
func TestSlowAcknowledgementIsRequestedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &slowTransport{}
		s := New(&storeClient{memoryStore: newMemoryStore()}, Settings{Instance: "i"}, WithTransport(transport))
		to := lacemember.Member{Holder: laceunit.Holder{Instance: "j", Incarnation: 2}}
		for range 5 {
			go s.deliver(t.Context(), lacemember.Send{
				To:      to,
				Message: lacemember.AckAsk{},
			})
			<-time.After(time.Second)
		}
		<-time.After(time.Minute)
		if transport.calls.Load() != 1 || transport.replies.Load() != 1 {
			t.Errorf("%d calls and %d replies, want one of each", transport.calls.Load(), transport.replies.Load())
		}
		s.deliver(t.Context(), lacemember.Send{
			To:      to,
			Message: lacemember.AckAsk{},
		})
		if transport.replies.Load() != 2 {
			t.Error("a request after the reply was not sent")
		}
	})
}
