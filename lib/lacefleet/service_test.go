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

// testFleet is a fleet whose instances run in one process and communicate over loopback.
type testFleet struct {
	store     *memoryStore
	ledger    *fakeLedger
	network   *countingTransport
	settings  Settings
	clients   []*storeClient
	services  []*Service
	journals  []*lacejournal.Service
	endpoints []*endpoint
}

// fakeLedger stores the requests of offline records and nothing else.
type fakeLedger struct {
	laceledger.Ledger
	mu       sync.Mutex
	requests map[laceledger.Request]bool
}

func (l *fakeLedger) Append(_ context.Context, r laceledger.Record, _ laceledger.Urgency) (laceledger.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.(laceledger.Offline).Request] = true
	return laceledger.Verdict{Result: laceledger.Accepted}, nil
}

func (l *fakeLedger) Retained(context.Context, []laceunit.Holder) ([]laceledger.Request, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.requests)), true, nil
}

// countingTransport counts the HTTP calls and the bytes on the wire.
type countingTransport struct {
	http.Transport
	calls, bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	network *countingTransport
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.calls.Add(1)
	return t.Transport.RoundTrip(r)
}

func newTestFleet(t testing.TB, settings Settings) *testFleet {
	network := &countingTransport{}
	network.MaxIdleConnsPerHost = 16
	network.DialContext = func(ctx context.Context, protocol, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, protocol, address)
		return countingConn{Conn: c, network: network}, err
	}
	t.Cleanup(network.CloseIdleConnections)
	return &testFleet{
		store:    newMemoryStore(),
		ledger:   &fakeLedger{requests: map[laceledger.Request]bool{}},
		network:  network,
		settings: settings,
	}
}

// endpoint is the HTTP server at an address; its handler belongs to the process that currently runs there, if any.
type endpoint struct {
	handler atomic.Pointer[http.Handler]
	address laceunit.Address
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := e.handler.Load(); h != nil {
		(*h).ServeHTTP(w, r)
		return
	}
	http.NotFound(w, r)
}

// join adds an instance at the endpoint of an earlier one, or at a new endpoint if ep is nil.
func (f *testFleet) join(ctx context.Context, t testing.TB, name string, ep *endpoint) {
	t.Helper()
	c := &storeClient{memoryStore: f.store}
	settings := f.settings
	settings.Instance = laceunit.InstanceID(name)
	settings.Place = laceunit.Place{Region: "r", Zone: laceunit.ZoneID(fmt.Sprintf("z%d", len(f.services)%3))}
	if ep == nil {
		ep = &endpoint{}
		server := httptest.NewServer(ep)
		t.Cleanup(server.Close)
		ep.address = laceunit.Address(server.Listener.Addr().String())
	}
	settings.PeerAddress = ep.address
	peer := lacepeer.NewClient(settings.Instance, lacepeer.WithHTTP(&http.Client{
		Transport: delayedTransport{RoundTripper: f.network},
	}))
	s := New(c, settings, WithTransport(peer), WithHistory(f.ledger))
	j := lacejournal.New(s, peer, f.ledger, lacejournal.Limits{}, nil)
	s.AttachJournal(j)
	h := lacepeer.NewHandler(s, j, nil)
	ep.handler.Store(&h)
	f.clients = append(f.clients, c)
	f.services = append(f.services, s)
	f.journals = append(f.journals, j)
	f.endpoints = append(f.endpoints, ep)
	t.Cleanup(func() { _ = s.Close(); _ = j.Close() })
	if err := s.Join(ctx); err != nil {
		t.Fatal(err)
	}
}

func fastSettings() Settings {
	return Settings{
		RenewInterval: 50 * time.Millisecond,
		LostAfter:     200 * time.Millisecond,
		ProbeInterval: 50 * time.Millisecond,
	}
}

func startFleet(t testing.TB, n int, settings Settings) (*testFleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	f := newTestFleet(t, settings)
	for i := range n {
		f.join(ctx, t, fmt.Sprintf("i%d", i), nil)
	}
	f.waitFor(ctx, t, func(s *Service) bool { return len(s.Record().Members) == n && s.Enabled() && s.covered() })
	return f, ctx
}

// waitFor waits until the condition holds for each service, in turn. It checks after each change and several times per
// tick of the machine.
func (f *testFleet) waitFor(ctx context.Context, t testing.TB, condition func(*Service) bool) {
	t.Helper()
	for _, s := range f.services {
		for {
			changed := s.Changed()
			if condition(s) {
				break
			}
			select {
			case <-changed:
			case <-time.After(tickInterval / 10):
			case <-ctx.Done():
				t.Fatalf("%v: mode %v, record %+v", s.Self(), s.Mode(), s.Record())
			}
		}
	}
}

// Guards against an address list that prefers distant instances or contains draining ones.
func TestAddressesPreferOwnZone(t *testing.T) {
	f, ctx := startFleet(t, 7, fastSettings())
	if err := f.services[4].Drain(ctx); err != nil {
		t.Fatal(err)
	}
	f.waitFor(ctx, t, func(s *Service) bool { list, _ := s.Addresses(); return len(list) == 6 })
	list, ttl := f.services[1].Addresses()
	if list[0].Place.Zone != "z1" || list[1].Place.Zone == "z1" || ttl != 30*time.Second {
		t.Fatalf("%v, %+v", ttl, list)
	}
	if d := f.services[4].Authorize(laceledger.Request{ID: "x"}, true); d.Code != lacefault.Draining ||
		d.RedirectAddress == "" {
		t.Fatalf("%+v", d)
	}
}

// Guards against a member that stays listed after its lease has expired, and against one that runs requests after its
// removal.
func TestMemberWithExpiredLeaseIsRemoved(t *testing.T) {
	f, _ := startFleet(t, 3, fastSettings())
	removed := make(chan []laceunit.Holder, 8)
	f.services[0].OnRemoved(func(h []laceunit.Holder) { removed <- h })
	f.clients[2].unavailable.Store(true)
	f.store.expireLease(aliveKey("i2"))
	if h := <-removed; len(h) != 1 || h[0] != f.services[2].Self() {
		t.Fatalf("removed %v", h)
	}
	<-f.services[2].Expelled()
	if d := f.services[2].Authorize(laceledger.Request{ID: "x"}, true); d.Verdict != lacemember.Refuse {
		t.Fatalf("%+v", d)
	}
}

// Guards against an instance that doesn't write its alive key again after lease expiry while it is still a member.
func TestExpiredLeaseIsReacquired(t *testing.T) {
	f, ctx := startFleet(t, 1, fastSettings())
	f.store.expireLease(aliveKey("i0"))
	f.waitFor(ctx, t, func(s *Service) bool {
		e, err := f.clients[0].Get(ctx, aliveKey("i0"))
		return err == nil && incarnationOf(e) == s.Self().Incarnation
	})
}

// Guards against an old process that overwrites the alive key of a later process of the same instance.
func TestOldProcessDoesNotReclaimAliveKey(t *testing.T) {
	f, ctx := startFleet(t, 2, fastSettings())
	old := f.services[0]
	f.join(ctx, t, "i0", nil)
	f.store.mu.Lock()
	delete(f.store.leases, 1)
	f.store.mu.Unlock()
	old.SuspectPlatform()
	<-old.Expelled()
	later := f.services[2]
	e, err := f.clients[2].Get(ctx, aliveKey("i0"))
	if err != nil || incarnationOf(e) != later.Self().Incarnation || !later.Record().Has(later.Self()) {
		t.Fatalf("%v, %+v, %+v", err, e, later.Record())
	}
}

// Guards against a fleet that never reaches outage mode, runs a request at two homes, or never returns to online mode.
func TestOutageAndRecovery(t *testing.T) {
	f, ctx := startFleet(t, 4, fastSettings())
	for _, c := range f.clients {
		c.unavailable.Store(true)
	}
	f.waitFor(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	for i := range 50 {
		homes := 0
		r := laceledger.Request{ID: laceunit.RequestID(fmt.Sprint(i))}
		for _, s := range f.services {
			switch d := s.Authorize(r, false); d.Verdict {
			case lacemember.Offline:
				homes++
				s.MarkFlushed(r)
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
	for _, c := range f.clients {
		c.unavailable.Store(false)
	}
	f.waitFor(ctx, t, func(s *Service) bool {
		_, given := s.promises()
		return s.Mode() == lacemember.ModeOnline && given == 0
	})
}

// Guards against a Join that reports success while the platform is unavailable, and against an instance that then runs
// requests.
func TestJoinFailsWithoutPlatform(t *testing.T) {
	c := &storeClient{memoryStore: newMemoryStore()}
	c.unavailable.Store(true)
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

// covered reports whether the machine knows every request that the ledger has accepted from holders outside the
// membership.
func (s *Service) covered() bool {
	covered := false
	s.withMachine(func(m *lacemember.Machine) { covered = m.HistoryCurrent() })
	return covered
}

func (s *Service) promises() (held, given int) {
	s.withMachine(func(m *lacemember.Machine) { held, given = m.Promises() })
	return held, given
}

func (f *testFleet) setPlatformDown(down bool) {
	for _, c := range f.clients {
		c.unavailable.Store(down)
	}
}

// runOffline starts a request at its home and returns the index of the home in services.
func (f *testFleet) runOffline(ctx context.Context, t *testing.T, r laceledger.Request) int {
	t.Helper()
	for i, s := range f.services {
		d := s.Authorize(r, false)
		if d.Verdict != lacemember.Offline {
			continue
		}
		e := lacejournal.Entry{Owner: s.Self(), Holder: s.Self(), Record: laceledger.Offline{Request: r, Tokens: 9}}
		q := lacejournal.Quorum{Copies: d.RequiredCopies, Witnesses: []laceunit.Holder{d.Witnesses[0].Holder, d.Witnesses[1].Holder}}
		if err := f.journals[i].Start(ctx, e, q, d.Witnesses); err != nil {
			t.Fatal(err)
		}
		return i
	}
	t.Fatal("no instance is the home of the request")
	return 0
}

// Guards against a request of a dead home that other members run again because its copies are not in the ledger yet.
func TestDeadHomeIsFlushedByWitnesses(t *testing.T) {
	f, ctx := startFleet(t, 4, fastSettings())
	f.setPlatformDown(true)
	f.waitFor(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	r := laceledger.Request{ID: "x"}
	h := f.runOffline(ctx, t, r)
	f.endpoints[h].handler.Store(nil)
	_ = f.services[h].Close()
	_ = f.journals[h].Close()
	f.setPlatformDown(false)
	dead := f.services[h]
	f.services = slices.Delete(f.services, h, h+1)
	f.waitFor(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOnline })
	for _, s := range f.services {
		if d := s.Authorize(r, false); d.Verdict != lacemember.Refuse ||
			d.RedirectAddress != dead.settings.PeerAddress {
			t.Fatalf("%+v", d)
		}
	}
	f.join(ctx, t, string(dead.settings.Instance), f.endpoints[h])
	f.waitFor(ctx, t, func(s *Service) bool {
		_, given := s.promises()
		return given == 0 && s.Enabled()
	})
	if requests, _, _ := f.ledger.Retained(ctx, nil); len(requests) != 1 || requests[0] != r {
		t.Fatalf("ledger has requests %v", requests)
	}
}

// Guards against a home that never flushes its records because it is the only one that can't reach the platform.
func TestHomeFlushesThroughPeer(t *testing.T) {
	f, ctx := startFleet(t, 4, fastSettings())
	f.setPlatformDown(true)
	f.waitFor(ctx, t, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	r := laceledger.Request{ID: "x"}
	h := f.runOffline(ctx, t, r)
	for i, c := range f.clients {
		c.unavailable.Store(i == h)
	}
	f.waitFor(ctx, t, func(s *Service) bool {
		_, given := s.promises()
		return given == 0 && s.Mode() == lacemember.ModeOnline
	})
	if requests, _, _ := f.ledger.Retained(ctx, nil); len(requests) != 1 || f.services[h].PlatformReachable() {
		t.Fatalf("ledger has requests %v", requests)
	}
}
