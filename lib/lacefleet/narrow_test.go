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
	settings.CallTimeout = 100 * time.Millisecond
	settings.LeaseTTL = 10 * time.Second
	s := New(&narrow{
		client: &client{platform: newPlatform()},
		delay:  2 * settings.CallTimeout,
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

// slowPeer answers after some time and counts what it is asked.
type slowPeer struct {
	calls atomic.Int64
	done  atomic.Int64
}

func (p *slowPeer) Call(ctx context.Context, _ lacemember.Member, _ lacemember.Message) (lacemember.Message, error) {
	p.calls.Add(1)
	select {
	case <-time.After(8 * time.Second):
		p.done.Add(1)
		return lacemember.AckReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against an acknowledgement that never arrives: the bindings that it carries take longer than a call had, and each
// repetition asked for them again.
func TestALargeAcknowledgementIsAskedForOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &slowPeer{}
		s := New(&client{platform: newPlatform()}, Settings{Instance: "i"}, WithTransport(peer))
		to := lacemember.Member{Holder: laceunit.Holder{Instance: "j", Incarnation: 2}}
		for range 5 {
			go s.deliver(t.Context(), lacemember.Send{
				To:      to,
				Message: lacemember.AckAsk{},
			})
			<-time.After(time.Second)
		}
		<-time.After(time.Minute)
		if peer.calls.Load() != 1 || peer.done.Load() != 1 {
			t.Errorf("asked %d times, answered %d times", peer.calls.Load(), peer.done.Load())
		}
		s.deliver(t.Context(), lacemember.Send{
			To:      to,
			Message: lacemember.AckAsk{},
		})
		if peer.done.Load() != 2 {
			t.Error("a later question was not sent")
		}
	})
}
