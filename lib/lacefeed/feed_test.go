package lacefeed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const seed = 3

// fakeSink runs functions on a balancer, discards the decisions and signals each call.
type fakeSink struct {
	mu       sync.Mutex
	balancer *lacebalancer.Balancer
	steps    chan struct{}
}

func (s *fakeSink) Do(step func(*lacebalancer.Balancer, time.Time) []lacebalancer.Decision) {
	s.mu.Lock()
	step(s.balancer, time.Now())
	s.mu.Unlock()
	select {
	case s.steps <- struct{}{}:
	default:
	}
}

func (s *fakeSink) pickCounts() map[laceunit.ServerID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[laceunit.ServerID]int{}
	for range 100 {
		d, _ := s.balancer.Pick(time.Now(), lacebalancer.Request{Pool: lacebalancer.ModelPool("m")})
		counts[d.Server]++
		s.balancer.Done(time.Now(), d.Ticket, lacebalancer.Success, 0)
	}
	return counts
}

type fakeReportClient struct {
	mu        sync.Mutex
	loadCalls map[laceunit.Address]int
	events    lacebackend.CacheEventPage
	err       error
}

func (r *fakeReportClient) Load(_ context.Context, server laceunit.Address) (lacebackend.Load, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadCalls[server]++
	return lacebackend.Load{Running: 7}, r.err
}

func (r *fakeReportClient) Events(
	_ context.Context, _ laceunit.Address, after uint64,
) (lacebackend.CacheEventPage, error) {
	if after > 0 {
		return lacebackend.CacheEventPage{}, nil
	}
	return r.events, r.err
}

func newTestFeed(t *testing.T, n int, settings Settings) (*Feed, *fakeSink, *fakeReportClient) {
	t.Helper()
	servers := map[laceunit.ServerID]laceconfig.Server{}
	for i := range n {
		id := laceunit.ServerID(fmt.Sprintf("s%d", i))
		servers[id] = laceconfig.Server{
			Kind:    laceconfig.KindEngine,
			Address: laceunit.Address(id),
			Models:  []laceunit.ModelID{"m"},
		}
	}
	b, err := lacebalancer.New(laceconfig.Routing{}, rand.New(rand.NewPCG(seed, 0)).IntN)
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeSink{balancer: b, steps: make(chan struct{}, 1)}
	r := &fakeReportClient{loadCalls: map[laceunit.Address]int{}}
	f := New(func() map[laceunit.ServerID]laceconfig.Server { return servers }, r, s,
		WithSettings(settings), WithRandom(rand.New(rand.NewPCG(seed, 1))))
	return f, s, r
}

// Guards against a leaving server that still gets requests after a poll, a server that counts as live again because the
// list is unavailable or invalid or omits it, and a list that is transferred in full each second although unchanged.
func TestLeavingServersGetNoRequests(t *testing.T) {
	body, status, etag, transfers := "", 200, "", 0
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		transfers++
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer list.Close()
	f, s, _ := newTestFeed(t, 2, Settings{ListAddress: laceunit.Address(strings.TrimPrefix(list.URL, "http://"))})
	f.Refresh()
	entry := func(state string) string {
		return `{"instances":[{"name":"s0","kind":"engine","state":"` + state + `","address":"s0"}]}`
	}
	for n, c := range []struct {
		status    int
		body      string
		leaving   bool
		transfers int
	}{
		{200, entry("live"), false, 1},
		{200, entry("leaving"), true, 1},
		{503, entry("live"), true, 2},
		{200, entry("odd"), true, 2},
		{200, entry("live")[:40], true, 2},
		{200, `{}`, true, 2},
		{200, `{"instances":[]}`, true, 1},
		{200, entry("live"), false, 1},
	} {
		status, body, etag, transfers = c.status, c.body, fmt.Sprintf(`"%d"`, n), 0
		f.pollList(context.Background())
		f.pollList(context.Background())
		if got := s.pickCounts()["s0"] == 0; got != c.leaving || transfers != c.transfers {
			t.Errorf("%d %s: leaving %v, want %v; %d full transfers", c.status, c.body, got, c.leaving, transfers)
		}
	}
	list.Close()
	f.pollList(context.Background())
	if s.pickCounts()["s0"] == 0 {
		t.Error("a server gets no requests after the list became unavailable")
	}
}

// Guards against polls of more engines than SampleSize, engines that are never polled, reports and cache events that
// don't reach the balancer, and servers that get no requests after their reports fail.
func TestPollLoads(t *testing.T) {
	f, s, r := newTestFeed(t, 30, Settings{PollInterval: 10 * time.Millisecond, SampleSize: 5, MaxConcurrentPolls: 2})
	f.Refresh()
	r.events = lacebackend.CacheEventPage{
		Events: []lacebackend.CacheEvent{{Sequence: 4, Prefix: 9, Stored: true}},
		HasGap: true,
	}
	for range 60 {
		before := 0
		for _, n := range r.loadCalls {
			before += n
		}
		f.pollLoads(context.Background())
		after := 0
		for _, n := range r.loadCalls {
			after += n
		}
		if after-before != 5 {
			t.Fatalf("seed %d: %d engines polled in one interval", seed, after-before)
		}
	}
	if len(r.loadCalls) != 30 || len(f.lastSequences) != 30 || f.lastSequences["s3"] != 4 {
		t.Fatalf("seed %d: %d engines polled, %d sequences", seed, len(r.loadCalls), len(f.lastSequences))
	}
	r.err = errors.New("down")
	f.pollLoads(context.Background())
	if s.pickCounts()[""] != 0 {
		t.Error("no server gets requests after the load reports failed")
	}
}

// Guards against a feed that stops polling early or doesn't return when its context ends.
func TestServeStopsWithContext(t *testing.T) {
	f, s, _ := newTestFeed(t, 3, Settings{PollInterval: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	for range 10 {
		<-s.steps
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
}

// Guards against accepting a list with an entry that is neither live nor leaving, has no name, or has a duplicate name.
func FuzzList(f *testing.F) {
	f.Fuzz(func(t *testing.T, input string) {
		list, err := decodeList(strings.NewReader(input))
		if err != nil {
			if !errors.Is(err, ErrInstanceList) || list != nil {
				t.Fatalf("got %v with %v", list, err)
			}
			return
		}
		seen := map[laceunit.ServerID]bool{}
		for _, e := range list {
			if e.Name == "" || seen[e.Name] || (e.State != StateLive && e.State != StateLeaving) {
				t.Fatalf("accepted %+v", e)
			}
			seen[e.Name] = true
		}
	})
}
