package lacereplica

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/goleak"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// platform is a source in memory; a nil document fails every read.
type platform struct {
	mu       sync.Mutex
	document *laceconfig.Document
}

func (p *platform) set(d laceconfig.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document = &d
}

func (p *platform) Head(ctx context.Context) (laceconfig.Head, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.document == nil {
		return laceconfig.Head{}, laceconfig.ErrUnavailable
	}
	return laceconfig.Head{Version: p.document.Version}, ctx.Err()
}

func (p *platform) Load(_ context.Context, h laceconfig.Head) (laceconfig.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, err := laceconfig.Split(*p.document)
	return laceconfig.Snapshot{Head: h, Content: c, Document: *p.document}, err
}

// fleet is a fixed membership.
type fleet struct {
	self  Peer
	peers []Peer
}

func (f *fleet) Self() Peer            { return f.self }
func (f *fleet) Peers() ([]Peer, bool) { return f.peers, true }

type node struct {
	*Service
	fleet     *fleet
	installed chan laceconfig.Document
}

// start returns instances that reach each other over loopback; only the first reaches the platform.
func start(t *testing.T, p *platform, count int) []node {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	var all []node
	for i := range count {
		h := laceunit.Holder{Instance: laceunit.InstanceID(rune('a' + i)), Incarnation: 1}
		n := node{
			fleet:     &fleet{self: Peer{Holder: h, Region: "r", Rank: i * WatchersPerRegion}},
			installed: make(chan laceconfig.Document, 16),
		}
		var source Source = p
		if i > 0 {
			source = &platform{}
		}
		n.Service = New(source, n.fleet, client, laceconfig.ReplicaSettings{Self: h, Consistency: laceunit.ConsistencyStrict, MaxStaleness: 5 * time.Second},
			WithInstall(func(d laceconfig.Document) { n.installed <- d }),
			WithReject(func(_ laceunit.Holder, err error) { t.Error(err) }))
		_, handler := n.Handler()
		server := httptest.NewServer(handler)
		n.fleet.self.Address = laceunit.Address(server.Listener.Addr().String())
		t.Cleanup(server.Close)
		all = append(all, n)
	}
	for i, n := range all {
		for j, other := range all {
			if i != j {
				n.fleet.peers = append(n.fleet.peers, other.fleet.self)
			}
		}
		t.Cleanup(func() {
			if err := n.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(client.CloseIdleConnections)
	return all
}

func (n node) await(t *testing.T, v laceunit.Version) laceconfig.Document {
	t.Helper()
	select {
	case d := <-n.installed:
		if d.Version != v {
			t.Fatalf("installed version %d, want %d", d.Version, v)
		}
		return d
	case <-time.After(10 * time.Second):
		t.Fatalf("version %d was not installed", v)
	}
	return laceconfig.Document{}
}

// Guards against an instance without the platform that gets no document, no news or no confirmation through its peers.
func TestDistribution(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("fleet", func(t *testing.T) {
		p := &platform{}
		d := laceconfig.Default()
		d.Version = 1
		d.Models["m"] = laceconfig.Model{ContextWindow: 10, MaxOutput: 5}
		p.set(d)
		all := start(t, p, 2)
		watcher, follower := all[0], all[1]
		if b := follower.Freshness(); b != laceconfig.FreshnessEmpty {
			t.Fatalf("got %s", b)
		}
		watcher.Tick()
		watcher.await(t, 1)
		follower.Tick() // asks the watcher
		if got := follower.await(t, 1); got.Models["m"].ContextWindow != 10 {
			t.Fatalf("got %+v", got)
		}
		next := laceconfig.Default()
		next.Version = 2
		next.Limits.MaxQueued = 7
		p.set(next)
		watcher.Refresh() // pushes the news
		watcher.await(t, 2)
		if got := follower.await(t, 2); got.Limits.MaxQueued != 7 || len(got.Models) != 0 {
			t.Fatalf("got %+v", got)
		}
		if b := follower.Freshness(); b != laceconfig.FreshnessConfirmed || follower.Document().Version != 2 {
			t.Fatalf("got %s under version %d", b, follower.Document().Version)
		}
	})
}

// Guards against bodies that nobody deletes, and against every instance listing them.
func TestFirstInstanceSweeps(t *testing.T) {
	for rank, want := range []int{1, 0} {
		p := &sweeping{}
		s := New(p, &fleet{self: Peer{Rank: rank}}, http.DefaultClient, laceconfig.ReplicaSettings{MaxStaleness: time.Second})
		s.Tick()
		s.Tick()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if n := int(p.count.Load()); n != want {
			t.Errorf("rank %d swept %d times", rank, n)
		}
	}
}

type sweeping struct {
	platform
	count atomic.Int32
}

func (s *sweeping) Sweep(context.Context) (int, error) {
	s.count.Add(1)
	return 0, nil
}

// Guards against a Close that returns while calls are in progress, a Serve that outlives it, and a supervisor that starts
// the closed service again until it backs off, which a planned stop then reports as failures.
func TestCloseWaits(t *testing.T) {
	entered, left := make(chan struct{}), make(chan struct{})
	s := New(blocking{entered: entered, left: left}, &fleet{}, http.DefaultClient, laceconfig.ReplicaSettings{MaxStaleness: time.Second})
	done := make(chan error, 1)
	go func() { done <- s.Serve(context.Background()) }()
	<-entered
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-left:
	default:
		t.Fatal("closed with a read in progress")
	}
	if err := <-done; !errors.Is(err, ErrClosed) || !errors.Is(err, suture.ErrDoNotRestart) {
		t.Fatalf("got %v", err)
	}
}

type blocking struct{ entered, left chan struct{} }

func (b blocking) Head(ctx context.Context) (laceconfig.Head, error) {
	close(b.entered)
	<-ctx.Done()
	close(b.left)
	return laceconfig.Head{}, ctx.Err()
}

func (b blocking) Load(context.Context, laceconfig.Head) (laceconfig.Snapshot, error) {
	return laceconfig.Snapshot{}, nil
}
