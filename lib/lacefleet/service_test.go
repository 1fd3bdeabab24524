package lacefleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bench is a fleet whose instances share one process.
type bench struct {
	mu       sync.Mutex
	platform *platform
	services map[laceunit.Address]*Service
	clients  []*client
	order    []*Service
}

func (b *bench) Call(ctx context.Context, to lacemember.Member, message lacemember.Message) (lacemember.Message, error) {
	b.mu.Lock()
	s := b.services[to.Address]
	b.mu.Unlock()
	if s == nil || s.Self() != to.Holder {
		return nil, errors.New("gone")
	}
	return s.Receive(ctx, message)
}

type emptyHistory struct{}

func (emptyHistory) Retained(context.Context, []laceunit.Holder) ([]laceledger.Request, bool, error) {
	return nil, true, nil
}

func (b *bench) join(ctx context.Context, t *testing.T, n int) {
	t.Helper()
	for i := range n {
		c := &client{platform: b.platform}
		s := New(c, Settings{
			Instance: laceunit.InstanceID(fmt.Sprintf("i%d", i)),
			Address:  laceunit.Address(fmt.Sprintf("10.0.0.%d:1", i)),
			Place:    laceunit.Place{Region: "r", Zone: laceunit.ZoneID(fmt.Sprintf("z%d", i%3))},
			Renew:    50 * time.Millisecond,
			Lost:     200 * time.Millisecond,
			Probe:    50 * time.Millisecond,
		}, WithTransport(b), WithHistory(emptyHistory{}))
		b.mu.Lock()
		b.services[s.settings.Address] = s
		b.mu.Unlock()
		b.clients = append(b.clients, c)
		b.order = append(b.order, s)
		if err := s.Join(ctx); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
	}
}

func start(t *testing.T, n int) (*bench, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	b := &bench{platform: newPlatform(), services: map[laceunit.Address]*Service{}}
	b.join(ctx, t, n)
	b.await(ctx, t, func(s *Service) bool { return len(s.Record().Members) == n && s.Enabled() })
	return b, ctx
}

// await blocks until a condition holds on every service, woken by changes and by the machine's timer.
func (b *bench) await(ctx context.Context, t *testing.T, holds func(*Service) bool) {
	t.Helper()
	for _, s := range b.order {
		for {
			changed := s.Changed()
			if holds(s) {
				break
			}
			select {
			case <-changed:
			case <-time.After(tickEvery / 10):
			case <-ctx.Done():
				t.Fatalf("%v: mode %v, record %+v", s.Self(), s.Mode(), s.Record())
			}
		}
	}
}

// Guards against callers being sent to distant or draining instances first.
func TestAddressesPreferOwnZone(t *testing.T) {
	b, ctx := start(t, 7)
	if err := b.order[4].Drain(ctx); err != nil {
		t.Fatal(err)
	}
	b.await(ctx, t, func(s *Service) bool { list, _ := s.Addresses(); return len(list) == 6 })
	list, keep := b.order[1].Addresses()
	if list[0].Place.Zone != "z1" || list[1].Place.Zone == "z1" || keep != 30*time.Second {
		t.Fatalf("%v, %+v", keep, list)
	}
	if d := b.order[4].Authorize(laceledger.Request{ID: "x"}, true); d.Code != lacefault.Draining || d.Instance == "" {
		t.Fatalf("%+v", d)
	}
}

// Guards against a member that stays listed after its lease key is gone, and against one that goes on after its removal.
func TestLostKeyIsRemoved(t *testing.T) {
	b, _ := start(t, 3)
	gone := make(chan []laceunit.Holder, 8)
	b.order[0].OnGone(func(h []laceunit.Holder) { gone <- h })
	b.clients[2].down.Store(true)
	b.platform.expire(aliveKey("i2"))
	if h := <-gone; len(h) != 1 || h[0] != b.order[2].Self() {
		t.Fatalf("gone %v", h)
	}
	<-b.order[2].Expelled()
	if d := b.order[2].Authorize(laceledger.Request{ID: "x"}, true); d.Verdict != lacemember.Refuse {
		t.Fatalf("%+v", d)
	}
}

// Guards against an instance that takes a lost lease for its own end while it is still a member.
func TestLostLeaseIsTakenAgain(t *testing.T) {
	b, ctx := start(t, 1)
	b.platform.expire(aliveKey("i0"))
	b.await(ctx, t, func(s *Service) bool {
		e, err := b.clients[0].Get(ctx, aliveKey("i0"))
		return err == nil && incarnationOf(e) == s.Self().Incarnation
	})
}

// Guards against a fleet that never reaches outage mode, runs a request at two homes, or doesn't come back.
func TestOutageAndReturn(t *testing.T) {
	b, ctx := start(t, 4)
	b.await(ctx, t, func(s *Service) bool { return s.covered() })
	for _, c := range b.clients {
		c.down.Store(true)
	}
	b.await(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	for i := range 50 {
		homes := 0
		r := laceledger.Request{ID: laceunit.RequestID(fmt.Sprint(i))}
		for _, s := range b.order {
			switch d := s.Authorize(r, false); d.Verdict {
			case lacemember.Offline:
				homes++
				s.Flushed(r)
			case lacemember.Refuse:
				if d.Code != lacefault.WrongInstance || d.Instance == "" {
					t.Fatalf("%+v", d)
				}
			default:
				t.Fatalf("%+v", d)
			}
		}
		if homes != 1 {
			t.Fatalf("request %d has %d homes", i, homes)
		}
	}
	for _, c := range b.clients {
		c.down.Store(false)
	}
	b.await(ctx, t, func(s *Service) bool {
		_, given := s.promises()
		return s.Mode() == lacemember.ModeOnline && given == 0
	})
}

// Guards against a process that starts without the platform and reports success.
func TestJoinWaitsForPlatform(t *testing.T) {
	c := &client{platform: newPlatform()}
	c.down.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	s := New(c, Settings{Instance: "i"})
	if err := s.Join(ctx); !errors.Is(err, laceplatform.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
	if d := s.Authorize(laceledger.Request{ID: "x"}, true); d.Verdict != lacemember.Refuse {
		t.Fatalf("%+v", d)
	}
}

func (s *Service) covered() bool {
	ok := false
	s.with(func(m *lacemember.Machine) { ok = m.Covered() })
	return ok
}

func (s *Service) promises() (held, given int) {
	s.with(func(m *lacemember.Machine) { held, given = m.Promises() })
	return held, given
}
