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

// emptyCodec sends empty requests.
type emptyCodec struct{ Codec }

// EncodeRequest implements Codec.
func (emptyCodec) EncodeRequest(Call, []byte, AttemptParams) *http.Request {
	q, err := http.NewRequest(http.MethodGet, "http://server/", http.NoBody)
	if err != nil {
		panic(err)
	}
	return q
}

// DecodeReply implements Codec.
func (emptyCodec) DecodeReply(*http.Response) Reply { return Reply{HasReceipt: true} }

// pickTimeout is how long a request of these tests waits for a server.
const pickTimeout = 20 * time.Millisecond

// testRelay is a relay with one server, without a listener for callers and without background loops.
type testRelay struct {
	*Relay
	received atomic.Int64
	// clockOffset is how far the picker's clock is ahead of the runtime's, in nanoseconds.
	clockOffset atomic.Int64
	// respond writes the server's response; nil means an empty one.
	respond func(w http.ResponseWriter)
}

func newTestRelay(t *testing.T) *testRelay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testRelay{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.received.Add(1)
		if b.respond != nil {
			b.respond(w)
		}
	})}
	serverDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		// Serve returns an error when the test closes the server.
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		server.Close()
		<-serverDone
	})
	balancer, err := lacebalancer.New(laceconfig.Routing{
		EjectAfter:   3,
		EjectionTime: time.Minute,
	}, rand.New(rand.NewPCG(1, 0)).IntN)
	if err != nil {
		t.Fatal(err)
	}
	picker := NewPicker(balancer, WithClock(func() time.Time {
		return time.Now().Add(time.Duration(b.clockOffset.Load()))
	}))
	log := lacelog.Discard()
	backends := NewBackends(picker, log, func(laceunit.ServiceID) int { return 0 })
	backends.Apply(time.Now(), []Backend{{
		ID:        "s1",
		Service:   "plain",
		Address:   laceunit.Address(l.Addr().String()),
		Slots:     8,
		StartTime: 7,
	}}, nil, time.Time{})
	t.Cleanup(func() {
		backends.Close()
		log.Close()
	})
	b.Relay = New(Options{
		Codec:    emptyCodec{},
		Picker:   picker,
		Backends: backends,
		Retries: RetryBounds{
			Window: time.Second,
			Slack:  10,
		},
		Members: func() int { return 1 },
		Log:     log,
	})
	return b
}

func (b *testRelay) pick() lacebalancer.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), pickTimeout)
	defer cancel()
	return b.options.Picker.Pick(ctx, lacebalancer.Request{
		Pool:     servicePool("plain"),
		Deadline: time.Now().Add(time.Second),
	})
}

// Guards against a request that is sent to a server which announced that it is leaving, asked for a pause or was
// removed between picking the server and getting a connection.
func TestRequestIsNotSentAfterPlacementIsRevoked(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(b *testRelay, other lacebalancer.Decision)
		revoked bool
	}{
		"no change": {change: func(*testRelay, lacebalancer.Decision) {}},
		"leaves": {revoked: true, change: func(b *testRelay, o lacebalancer.Decision) {
			b.options.Backends.MarkLeaving("s1", o.Ticket)
		}},
		"pauses": {revoked: true, change: func(b *testRelay, o lacebalancer.Decision) {
			b.options.Backends.MarkPaused("s1", o.Ticket, time.Second)
		}},
		"is another process": {revoked: true, change: func(b *testRelay, _ lacebalancer.Decision) {
			b.options.Backends.MarkMisdirected(time.Now(), "s1", 7)
		}},
		"restarts": {revoked: true, change: func(b *testRelay, _ lacebalancer.Decision) {
			x := b.options.Backends.byID["s1"].Backend
			x.StartTime = 8
			b.options.Backends.Apply(time.Now(), []Backend{x}, nil, time.Time{})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestRelay(t)
			other, d := b.pick(), b.pick()
			c.change(b, other)
			j := &job{
				route:    &laceroute.Route{},
				deadline: time.Now().Add(time.Second),
			}
			a := b.send(context.Background(), j, d, &stallTimer{})
			if a.revoked != c.revoked || (a.outcome == attemptNotSent) != c.revoked ||
				(b.received.Load() == 0) != c.revoked {
				t.Fatalf("attempt %+v, the server received %d requests", a, b.received.Load())
			}
			b.recordAttempt(j, d, &a, time.Now())
			if j.history.notSent > 0 {
				t.Error("a revoked attempt counts as one that could not be sent")
			}
		})
	}
}

// misdirectedCodec decodes every response as that of another server.
type misdirectedCodec struct{ emptyCodec }

// DecodeReply implements Codec.
func (misdirectedCodec) DecodeReply(*http.Response) Reply {
	return Reply{
		NotRun:      true,
		Misdirected: true,
	}
}

// Guards against requests that go on to reach a process which has answered that it is not the server they are meant for.
func TestMisdirectedServerGetsNoRequests(t *testing.T) {
	b := newTestRelay(t)
	b.options.Codec = misdirectedCodec{}
	j := &job{
		route:    &laceroute.Route{},
		deadline: time.Now().Add(time.Second),
	}
	first, second := b.pick(), b.pick()
	if a := b.send(context.Background(), j, first, &stallTimer{}); a.outcome != attemptNotRun {
		t.Fatalf("attempt %+v", a)
	}
	if a := b.send(context.Background(), j, second, &stallTimer{}); !a.revoked {
		t.Errorf("the request that was picked before: %+v", a)
	}
	if d := b.pick(); d.Verdict != lacebalancer.Refused || d.Reason != lacebalancer.NoServer {
		t.Errorf("a new request: %+v", d)
	}
	if n := b.received.Load(); n != 1 {
		t.Errorf("the process received %d requests, want 1", n)
	}
}

// Guards against a pause that is prolonged by the time for which the machine was suspended, is lost on resume, or makes
// later requests time out too early.
func TestPauseElapsesDuringSuspend(t *testing.T) {
	b := newTestRelay(t)
	first := b.pick()
	b.options.Backends.MarkPaused("s1", first.Ticket, time.Minute)
	b.clockOffset.Store(int64(50 * time.Second))
	if d := b.pick(); d.Reason != lacebalancer.Paused || d.RetryAfter > 15*time.Second || d.RetryAfter < 9*time.Second {
		t.Fatalf("10 s before the end of the pause: %+v", d)
	}
	b.clockOffset.Store(int64(time.Minute))
	if d := b.pick(); d.Verdict != lacebalancer.Assigned {
		t.Fatalf("at the end of the pause: %+v", d)
	}
	started := time.Now()
	if d := b.pick(); d.Reason != lacebalancer.DeadlineExceeded || time.Since(started) < pickTimeout {
		t.Errorf("second request right after the pause refused after %s: %+v", time.Since(started), d)
	}
}

// Guards against a refusal without Retry-After for a request that waited for a server until its deadline.
func TestRefusalsHaveRetryAfter(t *testing.T) {
	for _, reason := range []lacebalancer.Reason{lacebalancer.NoServer, lacebalancer.Paused, lacebalancer.RateLimited, 0} {
		f := newTestRelay(t).pickFault(context.Background(), &job{
			service: "plain",
			route:   &laceroute.Route{},
		}, lacebalancer.Decision{Reason: reason})
		if f.RetryAfter <= 0 {
			t.Errorf("reason %d: refused without Retry-After: %+v", reason, f)
		}
	}
}
