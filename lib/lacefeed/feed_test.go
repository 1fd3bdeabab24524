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

// sink is a balancer that signals each step.
type sink struct {
	mu       sync.Mutex
	balancer *lacebalancer.Balancer
	steps    chan struct{}
}

func (s *sink) Do(step func(*lacebalancer.Balancer, time.Time) []lacebalancer.Decision) {
	s.mu.Lock()
	step(s.balancer, time.Now())
	s.mu.Unlock()
	select {
	case s.steps <- struct{}{}:
	default:
	}
}

func (s *sink) picks() map[laceunit.ServerID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := map[laceunit.ServerID]int{}
	for range 100 {
		d, _ := s.balancer.Pick(time.Now(), lacebalancer.Request{Pool: lacebalancer.ModelPool("m")})
		got[d.Server]++
		s.balancer.Done(time.Now(), d.Ticket, lacebalancer.Success, 0)
	}
	return got
}

type reporter struct {
	mu     sync.Mutex
	asked  map[laceunit.Address]int
	events lacebackend.CacheEventPage
	err    error
}

func (r *reporter) Load(_ context.Context, server laceunit.Address) (lacebackend.Load, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[server]++
	return lacebackend.Load{Running: 7}, r.err
}

func (r *reporter) Events(_ context.Context, _ laceunit.Address, after uint64) (lacebackend.CacheEventPage, error) {
	if after > 0 {
		return lacebackend.CacheEventPage{}, nil
	}
	return r.events, r.err
}

func feed(t *testing.T, n int, setting Settings) (*Feed, *sink, *reporter) {
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
	s := &sink{balancer: b, steps: make(chan struct{}, 1)}
	r := &reporter{asked: map[laceunit.Address]int{}}
	f := New(func() map[laceunit.ServerID]laceconfig.Server { return servers }, r, s,
		WithSettings(setting), WithRandom(rand.New(rand.NewPCG(seed, 1))))
	return f, s, r
}

// Guards against a leaving server that still gets work after a poll, a mark that a lost or broken list or a vanished
// entry takes back, and a list that is sent whole each second.
func TestLeavingMarks(t *testing.T) {
	answer, status, tag, whole := "", 200, "", 0
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		whole++
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	defer list.Close()
	f, s, _ := feed(t, 2, Settings{ListAddress: laceunit.Address(strings.TrimPrefix(list.URL, "http://"))})
	f.Refresh()
	entry := func(state string) string {
		return `{"instances":[{"name":"s0","kind":"engine","state":"` + state + `","address":"s0"}]}`
	}
	for n, c := range []struct {
		status  int
		answer  string
		leaving bool
		whole   int
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
		status, answer, tag, whole = c.status, c.answer, fmt.Sprintf(`"%d"`, n), 0
		f.pollList(context.Background())
		f.pollList(context.Background())
		if got := s.picks()["s0"] == 0; got != c.leaving || whole != c.whole {
			t.Errorf("%d %s: leaving %v, want %v; sent whole %d times", c.status, c.answer, got, c.leaving, whole)
		}
	}
	list.Close()
	f.pollList(context.Background())
	if s.picks()["s0"] == 0 {
		t.Error("losing the list took a server away")
	}
}

// Guards against a fleet that is polled beyond the bound, engines that are never asked, and reports and cache events
// that don't reach the balancer.
func TestPollLoads(t *testing.T) {
	f, s, r := feed(t, 30, Settings{PollInterval: 10 * time.Millisecond, SampleSize: 5, MaxConcurrentPolls: 2})
	f.Refresh()
	r.events = lacebackend.CacheEventPage{Events: []lacebackend.CacheEvent{{Sequence: 4, Prefix: 9, Stored: true}}, HasGap: true}
	for range 60 {
		before := 0
		for _, n := range r.asked {
			before += n
		}
		f.pollLoads(context.Background())
		after := 0
		for _, n := range r.asked {
			after += n
		}
		if after-before != 5 {
			t.Fatalf("seed %d: %d engines asked in one period", seed, after-before)
		}
	}
	if len(r.asked) != 30 || len(f.sequences) != 30 || f.sequences["s3"] != 4 {
		t.Fatalf("seed %d: %d engines asked, %d sequences", seed, len(r.asked), len(f.sequences))
	}
	r.err = errors.New("down")
	f.pollLoads(context.Background())
	if s.picks()[""] != 0 {
		t.Error("losing the reports took the servers away")
	}
}

// Guards against a feed that outlives its context or does not keep polling.
func TestServeEnds(t *testing.T) {
	f, s, _ := feed(t, 3, Settings{PollInterval: 5 * time.Millisecond})
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

// Guards against a list that is accepted with an entry that is neither live nor leaving, has no name, or comes twice.
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
