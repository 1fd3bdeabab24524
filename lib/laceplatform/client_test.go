package laceplatform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceplatform"
)

// refusing returns an address on which nothing listens.
func refusing(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

// answering returns a server that counts its requests and answers each in the same way.
func answering(t *testing.T, status int, body string) (string, *atomic.Int64) {
	t.Helper()
	var count atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return s.URL, &count
}

// Guards against a client that gives up at the first dead endpoint, or asks it first forever.
func TestFailoverAfterRefusedConnection(t *testing.T) {
	b := newBench(t)
	server := httptest.NewServer(b.platform.Handler())
	t.Cleanup(server.Close)
	var mu sync.Mutex
	var calls []laceplatform.Call
	observer := laceplatform.ObserverFunc(func(c laceplatform.Call) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, c)
	})
	b.store = connect(t, []string{refusing(t), server.URL}, laceplatform.WithObserver(observer))
	b.must("k", "v", 0, 0)
	b.must("l", "v", 0, 0)
	mu.Lock()
	defer mu.Unlock()
	if len(calls) != 3 || !errors.Is(calls[0].Err, laceplatform.ErrUnavailable) || calls[1].Err != nil || calls[2].Kind != laceplatform.KindWrite {
		t.Fatalf("calls %+v", calls)
	}
}

// refusal is an answer to a write, the class that it means, and how many requests the second endpoint gets.
type refusal struct {
	name   string
	status int
	body   string
	want   error
	second int64
}

func refusals() []refusal {
	return []refusal{
		{
			name:   "proposal timed out",
			status: 503,
			body:   `{"code":14,"message":"etcdserver: request timed out"}`,
			want:   laceplatform.ErrUnknown,
		},
		{
			name:   "proxy",
			status: 503,
			body:   `busy`,
			want:   laceplatform.ErrUnknown,
		},
		{
			name:   "cut answer",
			status: 200,
			body:   `{"header":{"revision":"5"},"succ`,
			want:   laceplatform.ErrUnknown,
		},
		{
			name:   "no leader",
			status: 503,
			body:   `{"code":14,"message":"etcdserver: no leader"}`,
			want:   laceplatform.ErrUnavailable,
			second: 1,
		},
		{
			name:   "over the rate",
			status: 429,
			body:   `{"code":8,"message":"etcdserver: too many requests"}`,
			want:   laceplatform.ErrUnavailable,
		},
	}
}

// Guards against a write that is sent to a second endpoint although the first may have carried it out, and against
// a 503 from behind the proposal that counts as not carried out.
func TestWriteIsNotRepeatedAfterUnknown(t *testing.T) {
	for _, c := range refusals() {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			one, _ := answering(t, c.status, c.body)
			two, count := answering(t, c.status, c.body)
			b.store = connect(t, []string{one, two})
			_, err := b.put("k", "v", 0, 0)
			b.want(err, c.want)
			if count.Load() != c.second {
				t.Fatalf("second endpoint got %d requests, want %d", count.Load(), c.second)
			}
		})
	}
}

// Guards against calls without a deadline, and a silent endpoint that uses up the time of the others.
func TestDeadlineAndShareOfSilentEndpoint(t *testing.T) {
	b := newBench(t)
	b.platform.SetFaults(laceemulator.PlatformFaults{
		Partitions: map[string]laceemulator.Partition{
			"client": laceemulator.DropRequests,
		},
		Hang: true,
	})
	silent := httptest.NewServer(b.platform.Handler())
	t.Cleanup(silent.Close)
	healthy := newBench(t)
	server := httptest.NewServer(healthy.platform.Handler())
	t.Cleanup(server.Close)
	b.store = connect(t, []string{silent.URL, server.URL}, laceplatform.WithTimeout(time.Second))
	_, err := b.store.Get(context.Background(), "k")
	b.want(err, laceplatform.ErrMissing)
	b.store = connect(t, []string{silent.URL}, laceplatform.WithTimeout(50*time.Millisecond))
	_, err = b.put("k", "v", 0, 0)
	b.want(err, laceplatform.ErrUnknown)
}

// Guards against a watch that ends, skips or repeats changes when its connection breaks.
func TestWatchResumesAfterBrokenConnection(t *testing.T) {
	b := newBench(t)
	server := httptest.NewServer(b.platform.Handler())
	t.Cleanup(server.Close)
	b.store = connect(t, []string{server.URL})
	w, err := b.store.Watch(context.Background(), "k", 0)
	b.want(err, nil)
	direct := b.platform.LocalStore("other")
	for i := range 5 {
		key := laceplatform.Key([]byte{'k', byte('0' + i)})
		_, err := direct.Swap(context.Background(), laceplatform.Swap{
			Key: key,
		})
		b.want(err, nil)
		if e := <-w.Events(); e.Entry.Key != key {
			t.Fatalf("got %+v, want %s", e, key)
		}
		server.CloseClientConnections()
	}
	b.want(w.Close(), nil)
}

// Guards against a watch on a connection that was cut without notice and stays silent forever.
func TestSilentWatchIsReopened(t *testing.T) {
	b := newBench(t)
	server := httptest.NewServer(b.platform.Handler())
	t.Cleanup(server.Close)
	opened := make(chan struct{}, 16)
	observer := laceplatform.ObserverFunc(func(laceplatform.Call) { opened <- struct{}{} })
	b.store = connect(t, []string{server.URL}, laceplatform.WithWatchIdleTimeout(20*time.Millisecond), laceplatform.WithObserver(observer))
	w, err := b.store.Watch(context.Background(), "k", 0)
	b.want(err, nil)
	<-opened
	<-opened
	b.want(w.Close(), nil)
}

// Guards against an answer that tells nothing and is taken for a missing key, an empty list or a write that was refused.
func TestEmptyAnswersTellNothing(t *testing.T) {
	address, _ := answering(t, http.StatusOK, `{}`)
	store := connect(t, []string{address})
	ctx := t.Context()
	if _, err := store.Get(ctx, "k"); !errors.Is(err, laceplatform.ErrUnavailable) {
		t.Errorf("get: error %v", err)
	}
	if _, _, err := store.List(ctx, "k"); !errors.Is(err, laceplatform.ErrUnavailable) {
		t.Errorf("list: error %v", err)
	}
	if _, err := store.Swap(ctx, laceplatform.Swap{Key: "k"}); !errors.Is(err, laceplatform.ErrUnknown) {
		t.Errorf("swap: error %v", err)
	}
}
