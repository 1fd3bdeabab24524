package lacewriter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// fleet is a set of instances on the loopback interface that share a store.
type fleet struct {
	t         *testing.T
	store     *memoryStore
	instances []*instance
	options   []Option
}

type instance struct {
	*Ledger
	server *httptest.Server
	store  *platformLink
	cancel context.CancelFunc
	done   chan struct{}
}

// platformLink is an instance's connection to the store; it can be cut.
type platformLink struct {
	laceplatform.Store
	down atomic.Bool
}

func (l *platformLink) Swap(ctx context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	if l.down.Load() {
		return 0, laceplatform.ErrUnavailable
	}
	return l.Store.Swap(ctx, s)
}

func (l *platformLink) Get(ctx context.Context, k laceplatform.Key) (laceplatform.Entry, error) {
	if l.down.Load() {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	return l.Store.Get(ctx, k)
}

func (f *fleet) Peers() []Peer {
	var list []Peer
	for _, i := range f.instances {
		list = append(list, i.self)
	}
	return list
}

func newFleet(t *testing.T, n, shards int, options ...Option) *fleet {
	f := &fleet{t: t, store: newMemoryStore(), options: options}
	for k := range n {
		mux := http.NewServeMux()
		i := &instance{server: httptest.NewServer(mux), store: &platformLink{Store: f.store}, done: make(chan struct{})}
		self := Peer{
			Holder:  laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", k)), Incarnation: 1},
			Address: laceunit.Address(i.server.Listener.Addr().String()),
		}
		i.Ledger = New(i.store, self, shards, f, i.server.Client(), options...)
		mux.Handle(i.Handler())
		f.instances = append(f.instances, i)
	}
	t.Cleanup(func() {
		for _, i := range f.instances {
			if err := i.Close(); err != nil {
				t.Error(err)
			}
			if i.cancel != nil {
				i.cancel()
				<-i.done
			}
			i.server.Close()
		}
	})
	return f
}

func (f *fleet) serve(i *instance) {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go func() {
		defer close(i.done)
		_ = i.Serve(ctx)
	}()
}

// writer waits until all instances agree on a writer for the shard other than the excluded one, and returns it.
func (f *fleet) writer(shard laceunit.ShardID, excluded laceunit.Holder) *instance {
	f.t.Helper()
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		w, agreed := Peer{}, true
		for _, i := range f.instances {
			p, ok := i.writer(shard)
			if i.isClosed() {
				continue
			}
			agreed = agreed && ok && p.Holder != excluded && (w == Peer{} || w == p)
			w = p
		}
		for _, i := range f.instances {
			if agreed && i.self == w {
				return i
			}
		}
		select {
		case <-deadline:
			f.t.Fatal("instances did not agree on a writer")
		case <-tick.C:
		}
	}
}

func (l *Ledger) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (i *instance) mustAppend(t *testing.T, r laceledger.Record, want ...laceledger.Result) laceledger.Verdict {
	t.Helper()
	v, err := i.Append(context.Background(), r, laceledger.UrgencyImmediate)
	if err != nil {
		t.Fatalf("%T: %v", r, err)
	}
	for _, w := range want {
		if v.Result == w {
			return v
		}
	}
	t.Fatalf("%T: result %d, want %v", r, v.Result, want)
	return v
}

func topUp(id string, tokens laceunit.Tokens) laceledger.TopUp {
	return laceledger.TopUp{Budget: "b", Account: "a", ID: laceunit.TopUpID(id), Tokens: tokens}
}

// Guards against records that are not forwarded to the writer, and against a stopped writer that is not replaced.
func TestRecordsAreForwardedToWriter(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, i := range f.instances {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	for k, i := range f.instances {
		i.mustAppend(t, topUp(fmt.Sprint("t", k), 10), laceledger.Accepted)
	}
	for _, i := range f.instances {
		if i != w && len(i.localShards) != 0 {
			t.Fatalf("%s appended directly", i.self.Holder)
		}
		b, err := i.Balance(context.Background(), "b")
		if err != nil || b.Paid != 30 {
			t.Fatalf("balance %+v, %v", b, err)
		}
		if _, err = i.Balance(context.Background(), "none"); !errors.Is(err, laceplatform.ErrMissing) {
			t.Fatalf("got %v", err)
		}
		if list, err := i.Balances(context.Background()); err != nil || len(list) != 1 {
			t.Fatalf("balances %v, %v", list, err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	n := f.writer(0, w.self.Holder)
	for _, i := range f.instances {
		if i != w {
			i.mustAppend(t, topUp("t0", 10), laceledger.Repeated)
		}
	}
	n.mustAppend(t, topUp("last", 1), laceledger.Accepted)
}

// Guards against a writer that keeps its role after its lease has expired, and against a shard that stays vacant then.
func TestLeaseExpiryElectsNewWriter(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, i := range f.instances {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	f.store.mu.Lock()
	f.store.expire(f.store.entries[writerKey(0)].Lease)
	f.store.mu.Unlock()
	n := f.writer(0, w.self.Holder)
	w.mustAppend(t, topUp("t", 1), laceledger.Accepted)
	if len(w.localShards) != 0 || len(n.localShards) != 1 {
		t.Fatal("the previous writer still appends directly")
	}
}

// Guards against failing operations when the writer is down or the instance can't reach the platform.
func TestFallbackPaths(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, i := range f.instances {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	w.mustAppend(t, topUp("t", 10), laceledger.Accepted)
	w.server.Close()
	var rest []*instance
	for _, i := range f.instances {
		if i != w {
			rest = append(rest, i)
		}
	}
	rest[0].mustAppend(t, topUp("direct", 1), laceledger.Accepted)
	rest[1].store.down.Store(true)
	rest[1].mustAppend(t, topUp("detour", 1), laceledger.Accepted)
	if b, err := rest[1].Balance(context.Background(), "b"); err != nil || b.Paid != 12 {
		t.Fatalf("balance %+v, %v", b, err)
	}
	rest[0].store.down.Store(true)
	if _, err := rest[1].Append(context.Background(), topUp("none", 1), laceledger.UrgencyImmediate); !errors.Is(
		err, laceplatform.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}

// Guards against metrics that are not registered or not incremented.
func TestMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	m, err := NewMetrics(registry)
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t, 1, 1, WithObserver(m))
	f.instances[0].mustAppend(t, topUp("t", 1), laceledger.Accepted)
	f.instances[0].mustAppend(t, topUp("t", 1), laceledger.Repeated)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		for _, v := range family.GetMetric() {
			got[family.GetName()] += v.GetCounter().GetValue() + float64(v.GetHistogram().GetSampleCount())
		}
	}
	for name, want := range map[string]float64{
		"ledger_verdicts_total":       2,
		"ledger_write_records":        1,
		"ledger_direct_appends_total": 2,
		"ledger_conflicts_total":      0,
	} {
		if v, ok := got[name]; v != want || !ok {
			t.Errorf("%s is %v, want %v", name, v, want)
		}
	}
}

// Guards against instances with different numbers of shards, which would map a budget to different logs.
func TestShardCountMismatchIsRejected(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.instances[0].mustAppend(t, topUp("t", 1), laceledger.Accepted)
	err := EnsureShardCount(context.Background(), f.store, 5)
	if !errors.Is(err, ErrShardCount) {
		t.Fatalf("got %v", err)
	}
	if err = EnsureShardCount(context.Background(), f.store, 4); err != nil {
		t.Fatal(err)
	}
	other := New(f.store, Peer{}, 5, f, http.DefaultClient)
	if _, err = other.Append(context.Background(), topUp("u", 1), laceledger.UrgencyImmediate); !errors.Is(
		err, ErrShardCount) {
		t.Fatalf("got %v", err)
	}
}

// Guards against instances that bypass the writer when the platform is slow, which only adds conflicts.
func TestSlowPlatformDoesNotBypassWriter(t *testing.T) {
	f := newFleet(t, 2, 1)
	for _, i := range f.instances {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	w.mustAppend(t, topUp("t", 1), laceledger.Accepted)
	f.store.mu.Lock()
	f.store.latency = pingInterval + 200*time.Millisecond
	f.store.mu.Unlock()
	for _, i := range f.instances {
		if i != w {
			i.mustAppend(t, topUp("slow", 1), laceledger.Accepted)
			if len(i.localShards) != 0 {
				t.Fatal("bypassed a live writer")
			}
		}
	}
}

// Guards against retrying a record without a serial after the writer's response was lost.
func TestOpenWithoutSerialIsNotRetried(t *testing.T) {
	f := newFleet(t, 2, 1)
	for _, i := range f.instances {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	w.mustAppend(t, topUp("t", 100), laceledger.Accepted)
	for _, i := range f.instances {
		if i == w {
			continue
		}
		i.client = &http.Client{Transport: responseDropper{}}
		open := laceledger.Open{Budget: "b", Grant: "g", Holder: i.self.Holder, Tokens: 10}
		if _, err := i.Append(context.Background(), open, laceledger.UrgencyImmediate); !errors.Is(
			err, laceplatform.ErrUnknown) {
			t.Fatalf("got %v", err)
		}
		i.avoidUntil = map[laceunit.Address]time.Time{}
		open.Grant, open.Serial = "h", 1
		if v := i.mustAppend(t, open, laceledger.Repeated); v.Granted != 10 {
			t.Fatalf("granted %d", v.Granted)
		}
	}
	b, err := w.Balance(context.Background(), "b")
	if err != nil || b.Outstanding != 20 {
		t.Fatalf("balance %+v, %v", b, err)
	}
}

// responseDropper is a transport that loses every response.
type responseDropper struct{}

func (responseDropper) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	return nil, errors.New("connection reset")
}

// Guards against grants of removed instances that stay open, and against recovery by an instance that is not the
// writer.
func TestRecoverClosesGrantsOfRemovedHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet(t, 2, 1, WithClock(func() time.Time { return now }))
	for _, i := range f.instances {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	removed := laceunit.Holder{Instance: "dead", Incarnation: 3}
	request := func(id string) laceledger.Request {
		return laceledger.Request{Account: "a", ID: laceunit.RequestID(id)}
	}
	w.mustAppend(t, topUp("t", 100), laceledger.Accepted)
	w.mustAppend(t, laceledger.Open{
		Budget: "b", Grant: "g", Holder: removed, Tokens: 100, Offline: 20,
	}, laceledger.Accepted)
	w.mustAppend(t, laceledger.Intent{
		Budget: "b", Request: request("idem"), Grant: "g", Ceiling: 5, Attempt: "1", Idempotent: true,
	}, laceledger.Accepted)
	w.mustAppend(t, laceledger.Intent{
		Budget: "b", Request: request("once"), Grant: "g", Ceiling: 5, Attempt: "1",
	}, laceledger.Accepted)
	for _, i := range f.instances {
		unresolved, err := i.Recover(context.Background(), nil, []laceunit.Holder{removed}, 0)
		if err != nil || (len(unresolved) == 1) != (i == w) {
			t.Fatalf("unresolved %+v, %v", unresolved, err)
		}
	}
	b, err := w.Balance(context.Background(), "b")
	if err != nil || b.Outstanding != 25 || !b.Grants[0].Closed {
		t.Fatalf("balance %+v, %v", b, err)
	}
	if e, err := f.instances[0].Find(
		context.Background(), "b", request("idem")); err != nil || e.Phase != laceledger.PhaseVoid {
		t.Fatalf("request %+v, %v", e, err)
	}
}
