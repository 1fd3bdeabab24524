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

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

// fixedResponseServer returns the URL of a server that sends the same response to each request, and its request count.
func fixedResponseServer(t *testing.T, status int, body string) (string, *atomic.Int64) {
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

// Guards against a client that does not try the next endpoint, or that tries the failed endpoint first on every call.
func TestFailoverAfterConnectionRefused(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	var mu sync.Mutex
	var calls []laceplatform.Call
	observer := laceplatform.ObserverFunc(func(c laceplatform.Call) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, c)
	})
	f.store = newClient(t, []string{unusedAddress(t), server.URL}, laceplatform.WithObserver(observer))
	f.mustPut("k", "v", 0, 0)
	f.mustPut("l", "v", 0, 0)
	mu.Lock()
	defer mu.Unlock()
	if len(calls) != 3 || !errors.Is(calls[0].Err, laceplatform.ErrUnavailable) || calls[1].Err != nil ||
		calls[2].Kind != laceplatform.KindWrite {
		t.Fatalf("calls %+v", calls)
	}
}

// failureCase is a response to a write, the error class that it maps to, and the number of requests that the second
// endpoint receives.
type failureCase struct {
	name           string
	status         int
	body           string
	want           error
	secondRequests int64
}

func failureCases() []failureCase {
	return []failureCase{
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
			name:   "truncated response",
			status: 200,
			body:   `{"header":{"revision":"5"},"succ`,
			want:   laceplatform.ErrUnknown,
		},
		{
			name:           "no leader",
			status:         503,
			body:           `{"code":14,"message":"etcdserver: no leader"}`,
			want:           laceplatform.ErrUnavailable,
			secondRequests: 1,
		},
		{
			name:   "rate limited",
			status: 429,
			body:   `{"code":8,"message":"etcdserver: too many requests"}`,
			want:   laceplatform.ErrUnavailable,
		},
	}
}

// Guards against a write that is sent to a second endpoint although the first may have executed it, and against a 503
// sent after the proposal that is classified as not executed.
func TestWriteIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	for _, c := range failureCases() {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			first, _ := fixedResponseServer(t, c.status, c.body)
			second, secondCount := fixedResponseServer(t, c.status, c.body)
			f.store = newClient(t, []string{first, second})
			_, err := f.put("k", "v", 0, 0)
			f.wantError(err, c.want)
			if secondCount.Load() != c.secondRequests {
				t.Fatalf("second endpoint got %d requests, want %d", secondCount.Load(), c.secondRequests)
			}
		})
	}
}

// Guards against calls without a timeout, and an unresponsive endpoint that uses up the time of the others.
func TestUnresponsiveEndpointLeavesTimeForOthers(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFaults(laceemulator.PlatformFaults{
		Partitions: map[string]laceemulator.Partition{
			"client": laceemulator.DropRequests,
		},
		Hang: true,
	})
	unresponsive := httptest.NewServer(f.platform.Handler())
	t.Cleanup(unresponsive.Close)
	healthy := newFixture(t)
	server := httptest.NewServer(healthy.platform.Handler())
	t.Cleanup(server.Close)
	f.store = newClient(t, []string{unresponsive.URL, server.URL}, laceplatform.WithTimeout(time.Second))
	_, err := f.store.Get(context.Background(), "k")
	f.wantError(err, laceplatform.ErrMissing)
	f.store = newClient(t, []string{unresponsive.URL}, laceplatform.WithTimeout(50*time.Millisecond))
	_, err = f.put("k", "v", 0, 0)
	f.wantError(err, laceplatform.ErrUnknown)
}

// Guards against a watch that ends, or that skips or repeats changes, when its connection breaks.
func TestWatchResumesAfterBrokenConnection(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	f.store = newClient(t, []string{server.URL})
	w, err := f.store.Watch(context.Background(), "k", 0)
	f.wantError(err, nil)
	otherClient := f.platform.LocalStore("other")
	for i := range 5 {
		key := laceplatform.Key([]byte{'k', byte('0' + i)})
		_, err := otherClient.Swap(context.Background(), laceplatform.Swap{
			Key: key,
		})
		f.wantError(err, nil)
		if e := <-w.Events(); e.Entry.Key != key {
			t.Fatalf("got %+v, want %s", e, key)
		}
		server.CloseClientConnections()
	}
	f.wantError(w.Close(), nil)
}

// Guards against a watch that never reconnects from a half-open connection.
func TestIdleWatchReconnects(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	opened := make(chan struct{}, 16)
	observer := laceplatform.ObserverFunc(func(laceplatform.Call) { opened <- struct{}{} })
	f.store = newClient(t, []string{server.URL}, laceplatform.WithWatchIdleTimeout(20*time.Millisecond),
		laceplatform.WithObserver(observer))
	w, err := f.store.Watch(context.Background(), "k", 0)
	f.wantError(err, nil)
	<-opened
	<-opened
	f.wantError(w.Close(), nil)
}

// Guards against an empty response that is interpreted as a missing key, an empty list or a conflict of a write.
func TestResponseWithoutHeaderIsAnError(t *testing.T) {
	address, _ := fixedResponseServer(t, http.StatusOK, `{}`)
	store := newClient(t, []string{address})
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
