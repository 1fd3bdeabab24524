package lacerelay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// plainCodec sends empty requests.
type plainCodec struct{ Codec }

// Request implements Codec.
func (plainCodec) EncodeRequest(Call, []byte, AttemptParams) *http.Request {
	q, err := http.NewRequest(http.MethodGet, "http://server/", http.NoBody)
	if err != nil {
		panic(err)
	}
	return q
}

// Reply implements Codec.
func (plainCodec) DecodeReply(*http.Response) Reply { return Reply{HasReceipt: true} }

// pickWait is how long a request of these tests waits for a server.
const pickWait = 20 * time.Millisecond

// bench is a relay with one server, without listeners and loops.
type bench struct {
	*Relay
	arrived atomic.Int64
	// ahead is what the clock of the decisions is ahead of the runtime's.
	ahead atomic.Int64
}

func newBench(t *testing.T) *bench {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { b.arrived.Add(1) })}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// It ends when the test closes it.
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
	balancer, err := lacebalancer.New(laceconfig.Routing{}, rand.New(rand.NewPCG(1, 0)).IntN)
	if err != nil {
		t.Fatal(err)
	}
	placer := NewPicker(balancer, WithClock(func() time.Time { return time.Now().Add(time.Duration(b.ahead.Load())) }))
	log := lacelog.Discard()
	backends := NewBackends(placer, log, func(laceunit.ServiceID) int { return 0 })
	backends.Apply(time.Now(), []Backend{{
		ID:          "s1",
		Service:     "plain",
		Address:     laceunit.Address(l.Addr().String()),
		Slots:       8,
		Incarnation: 7,
	}}, nil, time.Time{})
	t.Cleanup(func() {
		backends.Close()
		log.Close()
	})
	b.Relay = New(Options{
		Codec:    plainCodec{},
		Picker:   placer,
		Backends: backends,
		Log:      log,
	})
	return b
}

func (b *bench) pick() lacebalancer.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), pickWait)
	defer cancel()
	return b.options.Picker.Pick(ctx, lacebalancer.Request{
		Pool:     pool("plain"),
		Deadline: time.Now().Add(time.Second),
	})
}

// Guards against a request that reaches a server although the server has left, has asked for a pause or was removed after
// it was chosen and before the connection was there.
func TestPlacedRequestsAreRecalled(t *testing.T) {
	for name, c := range map[string]struct {
		change func(b *bench, other lacebalancer.Decision)
		want   bool
	}{
		"nothing happens": {change: func(*bench, lacebalancer.Decision) {}},
		"leaves":          {want: true, change: func(b *bench, o lacebalancer.Decision) { b.options.Backends.MarkLeaving("s1", o.Ticket) }},
		"pauses": {want: true, change: func(b *bench, o lacebalancer.Decision) {
			b.options.Backends.MarkPaused("s1", o.Ticket, time.Second)
		}},
		"restarts": {want: true, change: func(b *bench, _ lacebalancer.Decision) {
			x := b.options.Backends.all["s1"].Backend
			x.Incarnation = 8
			b.options.Backends.Apply(time.Now(), []Backend{x}, nil, time.Time{})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			other, d := b.pick(), b.pick()
			c.change(b, other)
			j := &job{
				route:    &laceroute.Route{},
				deadline: time.Now().Add(time.Second),
			}
			a := b.send(context.Background(), j, d)
			if a.recalled != c.want || (a.end == notSent) != c.want || (b.arrived.Load() == 0) != c.want {
				t.Fatalf("attempt %+v, %d requests at the server", a, b.arrived.Load())
			}
			b.settle(j, d, &a, time.Now())
			if j.progress.misses > 0 {
				t.Error("a request that was held back counts as one that met an unreachable server")
			}
		})
	}
}

// Guards against a pause that is longer by the time for which the machine was suspended, is forgotten on waking, or makes
// requests late that came afterwards.
func TestSuspensionCountsAsTimeOfAPause(t *testing.T) {
	b := newBench(t)
	first := b.pick()
	b.options.Backends.MarkPaused("s1", first.Ticket, time.Minute)
	b.ahead.Store(int64(50 * time.Second))
	if d := b.pick(); d.Reason != lacebalancer.Paused || d.RetryAfter > 15*time.Second || d.RetryAfter < 9*time.Second {
		t.Fatalf("10 s before the end of the pause: %+v", d)
	}
	b.ahead.Store(int64(time.Minute))
	if d := b.pick(); d.Verdict != lacebalancer.Assigned {
		t.Fatalf("at the end of the pause: %+v", d)
	}
	began := time.Now()
	if d := b.pick(); d.Reason != lacebalancer.DeadlineExceeded || time.Since(began) < pickWait {
		t.Errorf("a second request so soon after the pause, refused after %s: %+v", time.Since(began), d)
	}
}

// Guards against a refusal without a time to come back, when a request has waited for a server until its time was over.
func TestRefusalsNameATime(t *testing.T) {
	for _, reason := range []lacebalancer.Reason{lacebalancer.NoServer, lacebalancer.Paused, lacebalancer.RateLimited, 0} {
		f := newBench(t).unplaced(context.Background(), &job{
			service: "plain",
			route:   &laceroute.Route{},
		}, lacebalancer.Decision{Reason: reason})
		if f.RetryAfter <= 0 {
			t.Errorf("reason %d: refused without a time to come back: %+v", reason, f)
		}
	}
}
