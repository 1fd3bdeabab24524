package lacefleet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacepeer"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bench is a fleet whose instances share one process and talk over loopback.
type bench struct {
	platform *platform
	ledger   *ledger
	network  *network
	settings Settings
	clients  []*client
	order    []*Service
	journals []*lacejournal.Service
	doors    []*door
}

// ledger knows request ids only.
type ledger struct {
	laceledger.Ledger
	mu   sync.Mutex
	seen map[laceledger.Request]bool
}

func (l *ledger) Append(_ context.Context, r laceledger.Record, _ laceledger.Urgency) (laceledger.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[r.(laceledger.Offline).Request] = true
	return laceledger.Verdict{Result: laceledger.Accepted}, nil
}

func (l *ledger) Retained(context.Context, []laceunit.Holder) ([]laceledger.Request, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.seen)), true, nil
}

// network counts what crosses the wire.
type network struct {
	http.Transport
	calls, bytes atomic.Int64
}

type conn struct {
	net.Conn
	network *network
}

func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.calls.Add(1)
	return n.Transport.RoundTrip(r)
}

func newBench(t testing.TB, settings Settings) *bench {
	n := &network{}
	n.MaxIdleConnsPerHost = 16
	n.DialContext = func(ctx context.Context, kind, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, kind, address)
		return conn{Conn: c, network: n}, err
	}
	t.Cleanup(n.CloseIdleConnections)
	return &bench{
		platform: newPlatform(),
		ledger:   &ledger{seen: map[laceledger.Request]bool{}},
		network:  n,
		settings: settings,
	}
}

// door is the listener of an address; the process behind it changes.
type door struct {
	handler atomic.Pointer[http.Handler]
	address laceunit.Address
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := d.handler.Load(); h != nil {
		(*h).ServeHTTP(w, r)
		return
	}
	http.NotFound(w, r)
}

// join adds an instance at a new address, or at the address of an earlier one.
func (b *bench) join(ctx context.Context, t testing.TB, name string, at *door) {
	t.Helper()
	c := &client{platform: b.platform}
	settings := b.settings
	settings.Instance = laceunit.InstanceID(name)
	settings.Place = laceunit.Place{Region: "r", Zone: laceunit.ZoneID(fmt.Sprintf("z%d", len(b.order)%3))}
	if at == nil {
		at = &door{}
		server := httptest.NewServer(at)
		t.Cleanup(server.Close)
		at.address = laceunit.Address(server.Listener.Addr().String())
	}
	settings.PeerAddress = at.address
	peer := lacepeer.NewClient(settings.Instance, lacepeer.WithHTTP(&http.Client{Transport: slow{RoundTripper: b.network}}))
	s := New(c, settings, WithTransport(peer), WithHistory(b.ledger))
	j := lacejournal.New(s, peer, b.ledger, lacejournal.Limits{}, nil)
	s.AttachJournal(j)
	h := lacepeer.NewHandler(s, j, nil)
	at.handler.Store(&h)
	b.clients = append(b.clients, c)
	b.order = append(b.order, s)
	b.journals = append(b.journals, j)
	b.doors = append(b.doors, at)
	t.Cleanup(func() { _ = s.Close(); _ = j.Close() })
	if err := s.Join(ctx); err != nil {
		t.Fatal(err)
	}
}

func fast() Settings {
	return Settings{
		RenewInterval: 50 * time.Millisecond,
		LostAfter:     200 * time.Millisecond,
		ProbeInterval: 50 * time.Millisecond,
	}
}

func start(t testing.TB, n int, settings Settings) (*bench, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	b := newBench(t, settings)
	for i := range n {
		b.join(ctx, t, fmt.Sprintf("i%d", i), nil)
	}
	b.await(ctx, t, func(s *Service) bool { return len(s.Record().Members) == n && s.Enabled() && s.covered() })
	return b, ctx
}

// await blocks until a condition holds on every service, woken by changes and by the machine's timer.
func (b *bench) await(ctx context.Context, t testing.TB, holds func(*Service) bool) {
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
	b, ctx := start(t, 7, fast())
	if err := b.order[4].Drain(ctx); err != nil {
		t.Fatal(err)
	}
	b.await(ctx, t, func(s *Service) bool { list, _ := s.Addresses(); return len(list) == 6 })
	list, keep := b.order[1].Addresses()
	if list[0].Place.Zone != "z1" || list[1].Place.Zone == "z1" || keep != 30*time.Second {
		t.Fatalf("%v, %+v", keep, list)
	}
	if d := b.order[4].Authorize(laceledger.Request{ID: "x"}, true); d.Code != lacefault.Draining || d.RedirectAddress == "" {
		t.Fatalf("%+v", d)
	}
}

// Guards against a member that stays listed after its lease key is gone, and against one that goes on after its removal.
func TestLostKeyIsRemoved(t *testing.T) {
	b, _ := start(t, 3, fast())
	gone := make(chan []laceunit.Holder, 8)
	b.order[0].OnRemoved(func(h []laceunit.Holder) { gone <- h })
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
	b, ctx := start(t, 1, fast())
	b.platform.expire(aliveKey("i0"))
	b.await(ctx, t, func(s *Service) bool {
		e, err := b.clients[0].Get(ctx, aliveKey("i0"))
		return err == nil && incarnationOf(e) == s.Self().Incarnation
	})
}

// Guards against an old process that takes the alive key back from a later one of its instance.
func TestLaterProcessKeepsTheKey(t *testing.T) {
	b, ctx := start(t, 2, fast())
	old := b.order[0]
	b.join(ctx, t, "i0", nil)
	b.platform.mu.Lock()
	delete(b.platform.leases, 1)
	b.platform.mu.Unlock()
	old.SuspectPlatform()
	<-old.Expelled()
	later := b.order[2]
	e, err := b.clients[2].Get(ctx, aliveKey("i0"))
	if err != nil || incarnationOf(e) != later.Self().Incarnation || !later.Record().Has(later.Self()) {
		t.Fatalf("%v, %+v, %+v", err, e, later.Record())
	}
}

// Guards against a fleet that never reaches outage mode, runs a request at two homes, or doesn't come back.
func TestOutageAndReturn(t *testing.T) {
	b, ctx := start(t, 4, fast())
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
				if d.Code != lacefault.WrongInstance || d.RedirectAddress == "" {
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
	s.with(func(m *lacemember.Machine) { ok = m.HistoryCurrent() })
	return ok
}

func (s *Service) promises() (held, given int) {
	s.with(func(m *lacemember.Machine) { held, given = m.Promises() })
	return held, given
}

func (b *bench) down(down bool) {
	for _, c := range b.clients {
		c.down.Store(down)
	}
}

// runOffline starts a request at its home and returns the home's place in the list.
func (b *bench) runOffline(ctx context.Context, t *testing.T, r laceledger.Request) int {
	t.Helper()
	for i, s := range b.order {
		d := s.Authorize(r, false)
		if d.Verdict != lacemember.Offline {
			continue
		}
		e := lacejournal.Entry{Owner: s.Self(), Holder: s.Self(), Record: laceledger.Offline{Request: r, Tokens: 9}}
		q := lacejournal.Quorum{Copies: d.RequiredCopies, Witnesses: []laceunit.Holder{d.Witnesses[0].Holder, d.Witnesses[1].Holder}}
		if err := b.journals[i].Start(ctx, e, q, d.Witnesses); err != nil {
			t.Fatal(err)
		}
		return i
	}
	t.Fatal("no home")
	return 0
}

// Guards against a request of a dead home that others run again because its copies have not reached the ledger.
func TestDeadHomeIsFlushedByWitnesses(t *testing.T) {
	b, ctx := start(t, 4, fast())
	b.down(true)
	b.await(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	r := laceledger.Request{ID: "x"}
	h := b.runOffline(ctx, t, r)
	b.doors[h].handler.Store(nil)
	_ = b.order[h].Close()
	_ = b.journals[h].Close()
	b.down(false)
	dead := b.order[h]
	b.order = slices.Delete(b.order, h, h+1)
	b.await(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOnline })
	for _, s := range b.order {
		if d := s.Authorize(r, false); d.Verdict != lacemember.Refuse || d.RedirectAddress != dead.settings.PeerAddress {
			t.Fatalf("%+v", d)
		}
	}
	b.join(ctx, t, string(dead.settings.Instance), b.doors[h])
	b.await(ctx, t, func(s *Service) bool {
		_, given := s.promises()
		return given == 0 && s.Enabled()
	})
	if requests, _, _ := b.ledger.Retained(ctx, nil); len(requests) != 1 || requests[0] != r {
		t.Fatalf("the ledger has %v", requests)
	}
}

// Guards against a home that is cut off from the platform alone and keeps its records to itself.
func TestHomeFlushesThroughPeer(t *testing.T) {
	b, ctx := start(t, 4, fast())
	b.down(true)
	b.await(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	r := laceledger.Request{ID: "x"}
	h := b.runOffline(ctx, t, r)
	for i, c := range b.clients {
		c.down.Store(i == h)
	}
	b.await(ctx, t, func(s *Service) bool {
		_, given := s.promises()
		return given == 0 && s.Mode() == lacemember.ModeOnline
	})
	if requests, _, _ := b.ledger.Retained(ctx, nil); len(requests) != 1 || b.order[h].Reachable() {
		t.Fatalf("the ledger has %v", requests)
	}
}
