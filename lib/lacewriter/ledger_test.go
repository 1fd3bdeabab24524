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

// fleet is a set of instances on loopback that share a platform.
type fleet struct {
	t       *testing.T
	store   *memory
	list    []*instance
	options []Option
}

type instance struct {
	*Ledger
	server *httptest.Server
	store  *link
	cancel context.CancelFunc
	served chan struct{}
}

// link is one instance's path to the platform.
type link struct {
	laceplatform.Store
	down atomic.Bool
}

func (l *link) Swap(ctx context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	if l.down.Load() {
		return 0, laceplatform.ErrUnavailable
	}
	return l.Store.Swap(ctx, s)
}

func (l *link) Get(ctx context.Context, k laceplatform.Key) (laceplatform.Entry, error) {
	if l.down.Load() {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	return l.Store.Get(ctx, k)
}

func (f *fleet) Peers() []Peer {
	var list []Peer
	for _, i := range f.list {
		list = append(list, i.self)
	}
	return list
}

func newFleet(t *testing.T, n, shards int, options ...Option) *fleet {
	f := &fleet{t: t, store: newMemory(), options: options}
	for k := range n {
		mux := http.NewServeMux()
		i := &instance{server: httptest.NewServer(mux), store: &link{Store: f.store}, served: make(chan struct{})}
		self := Peer{Holder: laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", k)), Incarnation: 1}, Address: laceunit.Address(i.server.Listener.Addr().String())}
		i.Ledger = New(i.store, self, shards, f, i.server.Client(), options...)
		mux.Handle(i.Handler())
		f.list = append(f.list, i)
	}
	t.Cleanup(func() {
		for _, i := range f.list {
			if err := i.Close(); err != nil {
				t.Error(err)
			}
			if i.cancel != nil {
				i.cancel()
				<-i.served
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
		defer close(i.served)
		_ = i.Serve(ctx)
	}()
}

// writer waits until every instance knows a writer for the shard and returns it.
func (f *fleet) writer(shard laceunit.ShardID, not laceunit.Holder) *instance {
	f.t.Helper()
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		w, agreed := Peer{}, true
		for _, i := range f.list {
			p, ok := i.writer(shard)
			if i.closedNow() {
				continue
			}
			agreed = agreed && ok && p.Holder != not && (w == Peer{} || w == p)
			w = p
		}
		for _, i := range f.list {
			if agreed && i.self == w {
				return i
			}
		}
		select {
		case <-deadline:
			f.t.Fatal("no writer agreed on")
		case <-tick.C:
		}
	}
}

func (l *Ledger) closedNow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (i *instance) must(t *testing.T, r laceledger.Record, want ...laceledger.Result) laceledger.Verdict {
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

// Guards against a fleet in which records of other instances don't reach the writer, or a stopped writer is not replaced.
func TestRecordsGoThroughTheWriter(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, i := range f.list {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	for k, i := range f.list {
		i.must(t, topUp(fmt.Sprint("t", k), 10), laceledger.Accepted)
	}
	for _, i := range f.list {
		if i != w && len(i.units) != 0 {
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
	for _, i := range f.list {
		if i != w {
			i.must(t, topUp("t0", 10), laceledger.Repeated)
		}
	}
	n.must(t, topUp("last", 1), laceledger.Accepted)
}

// Guards against a writer that goes on as such, or a shard that stays without one, after a pause beyond the lease.
func TestLostLeaseElectsAnother(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, i := range f.list {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	f.store.mu.Lock()
	f.store.expire(f.store.entries[writerKey(0)].Lease)
	f.store.mu.Unlock()
	n := f.writer(0, w.self.Holder)
	w.must(t, topUp("t", 1), laceledger.Accepted)
	if len(w.units) != 0 || len(n.units) != 1 {
		t.Fatal("the old writer appends by itself")
	}
}

// Guards against records that are lost when the writer is dead, or when this instance does not reach the platform.
func TestPathsAroundFailures(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, i := range f.list {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	w.must(t, topUp("t", 10), laceledger.Accepted)
	w.server.Close()
	var rest []*instance
	for _, i := range f.list {
		if i != w {
			rest = append(rest, i)
		}
	}
	rest[0].must(t, topUp("direct", 1), laceledger.Accepted)
	rest[1].store.down.Store(true)
	rest[1].must(t, topUp("detour", 1), laceledger.Accepted)
	if b, err := rest[1].Balance(context.Background(), "b"); err != nil || b.Paid != 12 {
		t.Fatalf("balance %+v, %v", b, err)
	}
	rest[0].store.down.Store(true)
	if _, err := rest[1].Append(context.Background(), topUp("none", 1), laceledger.UrgencyImmediate); !errors.Is(err, laceplatform.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}

// Guards against metrics that are not registered or not counted.
func TestMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	m, err := NewMetrics(registry)
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t, 1, 1, WithObserver(m))
	f.list[0].must(t, topUp("t", 1), laceledger.Accepted)
	f.list[0].must(t, topUp("t", 1), laceledger.Repeated)
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
	for name, want := range map[string]float64{"ledger_verdicts_total": 2, "ledger_write_records": 1, "ledger_direct_appends_total": 2, "ledger_conflicts_total": 0} {
		if v, ok := got[name]; v != want || !ok {
			t.Errorf("%s is %v, want %v", name, v, want)
		}
	}
}

// Guards against instances with different numbers of shards, which would look for a budget in different logs.
func TestShapeIsAgreed(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.list[0].must(t, topUp("t", 1), laceledger.Accepted)
	err := EnsureShardCount(context.Background(), f.store, 5)
	if !errors.Is(err, ErrShardCount) {
		t.Fatalf("got %v", err)
	}
	if err = EnsureShardCount(context.Background(), f.store, 4); err != nil {
		t.Fatal(err)
	}
	other := New(f.store, Peer{}, 5, f, http.DefaultClient)
	if _, err = other.Append(context.Background(), topUp("u", 1), laceledger.UrgencyImmediate); !errors.Is(err, ErrShardCount) {
		t.Fatalf("got %v", err)
	}
}

// Guards against every instance appending by itself when the platform is slow, which only adds conflicts.
func TestSlowPlatformKeepsTheWriter(t *testing.T) {
	f := newFleet(t, 2, 1)
	for _, i := range f.list {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	w.must(t, topUp("t", 1), laceledger.Accepted)
	f.store.mu.Lock()
	f.store.latency = pingAfter + 200*time.Millisecond
	f.store.mu.Unlock()
	for _, i := range f.list {
		if i != w {
			i.must(t, topUp("slow", 1), laceledger.Accepted)
			if len(i.units) != 0 {
				t.Fatal("appended directly although the writer is there")
			}
		}
	}
}

// Guards against a record without a serial that is sent twice after the writer's answer was lost.
func TestUnnumberedGrantIsSentOnce(t *testing.T) {
	f := newFleet(t, 2, 1)
	for _, i := range f.list {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	w.must(t, topUp("t", 100), laceledger.Accepted)
	for _, i := range f.list {
		if i == w {
			continue
		}
		i.client = &http.Client{Transport: dropAnswers{}}
		open := laceledger.Open{Budget: "b", Grant: "g", Holder: i.self.Holder, Tokens: 10}
		if _, err := i.Append(context.Background(), open, laceledger.UrgencyImmediate); !errors.Is(err, laceplatform.ErrUnknown) {
			t.Fatalf("got %v", err)
		}
		i.avoid = map[laceunit.Address]time.Time{}
		open.Grant, open.Serial = "h", 1
		if v := i.must(t, open, laceledger.Repeated); v.Granted != 10 {
			t.Fatalf("granted %d", v.Granted)
		}
	}
	b, err := w.Balance(context.Background(), "b")
	if err != nil || b.Outstanding != 20 {
		t.Fatalf("balance %+v, %v", b, err)
	}
}

// dropAnswers loses every answer.
type dropAnswers struct{}

func (dropAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	_ = a.Body.Close()
	return nil, errors.New("connection reset")
}

// Guards against grants of dead instances that stay open, and against another instance than the writer recovering them.
func TestRecoverClosesGrantsOfGoneHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet(t, 2, 1, WithClock(func() time.Time { return now }))
	for _, i := range f.list {
		f.serve(i)
	}
	w := f.writer(0, laceunit.Holder{})
	dead := laceunit.Holder{Instance: "dead", Incarnation: 3}
	request := func(id string) laceledger.Request {
		return laceledger.Request{Account: "a", ID: laceunit.RequestID(id)}
	}
	w.must(t, topUp("t", 100), laceledger.Accepted)
	w.must(t, laceledger.Open{Budget: "b", Grant: "g", Holder: dead, Tokens: 100, Offline: 20}, laceledger.Accepted)
	w.must(t, laceledger.Intent{Budget: "b", Request: request("idem"), Grant: "g", Ceiling: 5, Attempt: "1", Idempotent: true}, laceledger.Accepted)
	w.must(t, laceledger.Intent{Budget: "b", Request: request("once"), Grant: "g", Ceiling: 5, Attempt: "1"}, laceledger.Accepted)
	for _, i := range f.list {
		ask, err := i.Recover(context.Background(), nil, []laceunit.Holder{dead}, 0)
		if err != nil || (len(ask) == 1) != (i == w) {
			t.Fatalf("ask %+v, %v", ask, err)
		}
	}
	b, err := w.Balance(context.Background(), "b")
	if err != nil || b.Outstanding != 25 || !b.Grants[0].Closed {
		t.Fatalf("balance %+v, %v", b, err)
	}
	if e, err := f.list[0].Find(context.Background(), "b", request("idem")); err != nil || e.Phase != laceledger.PhaseVoid {
		t.Fatalf("request %+v, %v", e, err)
	}
}
