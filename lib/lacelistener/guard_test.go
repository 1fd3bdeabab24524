package lacelistener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceresource"
)

// testTimeout bounds waits for what must happen.
const testTimeout = 20 * time.Second

// testServer is an HTTP server with a guard.
type testServer struct {
	t       testing.TB
	guard   *Guard
	server  *http.Server
	address string

	mu sync.Mutex
	// advanced is how far the clock of the guard is ahead.
	advanced time.Duration
	notices  []Shortage
}

func newTestServer(t testing.TB, limits laceresource.Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{t: t, server: &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout}}
	s.guard = New(Options{Limits: limits, Name: "test", Now: s.now, OnShort: func(x Shortage) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notices = append(s.notices, x)
	}})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = socket.Addr().String()
	guarded := s.guard.Protect(s.server, socket, false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.server.Serve(guarded) // Returns an error when the test closes the server.
	}()
	t.Cleanup(func() {
		_ = s.server.Close()
		<-done
		s.awaitUsage(func(bytes int64, connections int) bool { return bytes == 0 && connections == 0 })
	})
	return s
}

func (s *testServer) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Add(s.advanced)
}

// advance moves the clock of the guard.
func (s *testServer) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanced += d
}

// awaitUsage waits until the usage fulfills a condition.
func (s *testServer) awaitUsage(condition func(bytes int64, connections int) bool) {
	s.t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(testTimeout)
	for !condition(s.guard.usage()) {
		select {
		case <-ticker.C:
		case <-timeout:
			bytes, connections := s.guard.usage()
			s.t.Fatalf("%d bytes and %d connections are held", bytes, connections)
		}
	}
}

// dial opens a connection and sends a text.
func (s *testServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout)) // If it fails, so does the use of the connection.
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// status reads the status of a response, 0 if the connection ends without one.
func status(c net.Conn) int {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body) // The status is enough.
	return r.StatusCode
}

// readBody is a handler that reads the body.
func readBody(w http.ResponseWriter, r *http.Request) {
	_, err := FromContext(r.Context()).ReadAll(r.Body, r.ContentLength, 1<<20, Body)
	switch {
	case errors.Is(err, ErrShort):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	case IsTooLong(err):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// testLimits allow 600 KB, of which large requests may fill 450 KB.
func testLimits() laceresource.Limits {
	return laceresource.Limits{Bytes: 600_000, LargeBytes: 450_000, OrdinaryBytes: 40_000, Connections: 12}
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n"

// Guards against memory and connections that are not returned on some exit path, which would refuse everybody in the
// end: each path ends with an empty budget, and the server is closed while requests run.
func TestBudgetIsWholeAfterEachExitPath(t *testing.T) {
	inHandler, proceed := make(chan struct{}, 1), make(chan struct{})
	defer close(proceed)
	lines := laceemulator.NoValue.Text(4000)
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		client  func(s *testServer)
	}{
		"unfinished head": {readBody, func(s *testServer) {
			c := s.dial(get + lines)
			s.awaitUsage(func(bytes int64, _ int) bool { return bytes > 100_000 })
			c.Close()
		}},
		"head above the budget": {readBody, func(s *testServer) {
			if x := status(s.dial(get + strings.Repeat(lines, 5))); x != http.StatusServiceUnavailable && x != 0 {
				s.t.Errorf("status %d", x)
			}
		}},
		"head above the budget while it is served": {readBody, func(s *testServer) {
			if x := status(s.dial(get + lines + "\r\n")); x != http.StatusServiceUnavailable {
				s.t.Errorf("status %d", x)
			}
		}},
		"malformed head": {readBody, func(s *testServer) {
			if x := status(s.dial("\r\n\r\n")); x != http.StatusBadRequest {
				s.t.Errorf("status %d", x)
			}
		}},
		"two requests at once": {readBody, func(s *testServer) {
			c := s.dial(strings.Repeat(get+"Content-Length: 3\r\n\r\nabc", 2))
			reader := bufio.NewReader(c)
			for range 2 {
				r, err := http.ReadResponse(reader, nil)
				if err != nil || r.StatusCode != http.StatusOK {
					s.t.Fatalf("%v %v", r, err)
				}
				r.Body.Close()
			}
			c.Close()
		}},
		"unfinished body": {readBody, func(s *testServer) {
			c := s.dial(get + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999))
			s.awaitUsage(func(bytes int64, _ int) bool { return bytes > 200_000 })
			c.Close()
		}},
		"body above the limit": {readBody, func(s *testServer) {
			if x := status(s.dial(get + "Content-Length: 2000000\r\n\r\n")); x != http.StatusRequestEntityTooLarge {
				s.t.Errorf("status %d", x)
			}
		}},
		"body above the budget": {readBody, func(s *testServer) {
			if x := status(s.dial(get + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 262_144))); x != 503 {
				s.t.Errorf("status %d", x)
			}
		}},
		"panic": {func(_ http.ResponseWriter, r *http.Request) {
			h := FromContext(r.Context())
			h.Run()
			if err := h.Charge(50_000, Answer); err != nil {
				t.Error(err)
			}
			panic(http.ErrAbortHandler)
		}, func(s *testServer) {
			if x := status(s.dial(get + "\r\n")); x != 0 {
				s.t.Errorf("status %d", x)
			}
		}},
		"server closed during a request": {func(_ http.ResponseWriter, r *http.Request) {
			if err := FromContext(r.Context()).Charge(50_000, Answer); err != nil {
				t.Error(err)
			}
			inHandler <- struct{}{}
			<-r.Context().Done()
		}, func(s *testServer) {
			s.dial(get + "\r\n")
			<-inHandler
			_ = s.server.Close()
		}},
		"idle connection closed for another": {readBody, func(s *testServer) {
			for range 40 {
				s.dial("GET ")
			}
			if x := status(s.dial(get + "Connection: close\r\n\r\n")); x != http.StatusOK {
				s.t.Errorf("status %d", x)
			}
			_ = s.server.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, testLimits(), c.handler)
			c.client(s)
			s.awaitUsage(func(bytes int64, connections int) bool { return bytes == 0 && connections == 0 || connections == 1 })
		})
	}
}

// Guards against idle requests that keep the memory an active one needs, against an ordinary request that is not served
// meanwhile, and against more than one notice at the begin and the end of a shortage.
func TestIdleBodiesAreClosedForActiveOnes(t *testing.T) {
	s := newTestServer(t, testLimits(), readBody)
	const length, idle = 90_000, 3
	head := fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n", get, length)
	for i := range int64(idle) {
		// One after the other, because a buffer that grows is charged beside the one before.
		s.dial(head + strings.Repeat("x", length-1))
		s.awaitUsage(func(bytes int64, _ int) bool { return bytes == (i+1)*(laceresource.ConnectionBytes+length+1) })
	}
	s.advance(time.Minute)
	for range idle {
		if x := status(s.dial(get + "Connection: close\r\n\r\n")); x != http.StatusOK {
			t.Errorf("an ordinary request got %d", x)
		}
		if x := status(s.dial(head + strings.Repeat("x", length))); x != http.StatusOK {
			t.Errorf("an active request with a large body got %d", x)
		}
	}
	s.advance(calmTime)
	if x := status(s.dial(get + "Connection: close\r\n\r\n")); x != http.StatusOK {
		t.Errorf("an ordinary request got %d", x)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.notices) != 2 || !s.notices[0].Short || s.notices[1].Short || s.notices[1].Closed == 0 {
		t.Errorf("notices %+v", s.notices)
	}
}

// Guards against heads that net/http keeps after their requests were refused or served, when they are not charged any
// more: it keeps a request for half a second if its body was not read.
func TestHeadsAreDroppedAfterTheirRequest(t *testing.T) {
	for lines, want := range map[int]int{4: http.StatusOK, 4000: http.StatusServiceUnavailable} {
		g := New(Options{Limits: testLimits()})
		client, inner := net.Pipe()
		c := g.open(inner, false)
		r := httptest.NewRequest(http.MethodGet, "/path?a=b", http.NoBody).WithContext(connContext(t.Context(), c))
		for i := range lines {
			r.Header[fmt.Sprint("X-", i)] = []string{"x"}
		}
		w := httptest.NewRecorder()
		g.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(w, r)
		if w.Code != want || len(r.Header) > 0 || r.URL.Path != "" || r.RequestURI != "" {
			t.Errorf("%d lines: status %d, %d lines and %q are kept", lines, w.Code, len(r.Header), r.RequestURI)
		}
		c.Close()
		client.Close()
		if bytes, connections := g.usage(); bytes != 0 || connections != 0 {
			t.Errorf("%d bytes and %d connections are held", bytes, connections)
		}
	}
}

// Guards against a limit without bounds in the settings, and against a handler without a guard.
func TestUnknownMachineIsNotBounded(t *testing.T) {
	s := newTestServer(t, laceresource.Limits{}, readBody)
	for range 30 {
		s.dial("GET ")
	}
	head := get + strings.Repeat(laceemulator.NoValue.Text(4000), 5) + "Connection: close\r\nContent-Length: 1000000\r\n\r\n"
	if x := status(s.dial(head + strings.Repeat("x", 1_000_000))); x != http.StatusOK {
		t.Errorf("status %d", x)
	}
	var none *Holding
	none.Run()
	none.Settle()
	none.Assign("a")
	none.Release(1)
	for text, limit := range map[string]int64{"": 0, "ab": 2, strings.Repeat("x", 70_000): 70_000} {
		for _, length := range []int64{-1, int64(len(text))} {
			if got, err := none.ReadAll(strings.NewReader(text), length, limit, Body); string(got) != text || err != nil {
				t.Errorf("%d of %d bytes, %v", len(got), len(text), err)
			}
			if _, err := none.ReadAll(strings.NewReader(text+"x"), -1, limit, Body); !IsTooLong(err) {
				t.Errorf("%d bytes with a limit of %d: %v", len(text)+1, limit, err)
			}
		}
	}
}

// BenchmarkRequest measures an ordinary request of 15 header lines with a body of 12 KB and without one on a connection
// in use, with and without a guard.
func BenchmarkRequest(b *testing.B) {
	b.Run("body", func(b *testing.B) { benchmarkRequest(b, strings.Repeat("x", 12_000)) })
	b.Run("empty", func(b *testing.B) { benchmarkRequest(b, "") })
}

func benchmarkRequest(b *testing.B, body string) {
	var lines strings.Builder
	for i := range 15 {
		fmt.Fprintf(&lines, "X-Header-%d: some value of a header\r\n", i)
	}
	text := fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", get, lines.String(), len(body), body)
	run := func(b *testing.B, address string) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := io.WriteString(c, text); err != nil {
				b.Fatal(err)
			}
			r, err := http.ReadResponse(reader, nil)
			if err != nil {
				b.Fatal(err)
			}
			r.Body.Close()
		}
	}
	b.Run("guard", func(b *testing.B) {
		limits, _ := laceresource.ForMachine(144, 3075)
		run(b, newTestServer(b, limits, readBody).address)
	})
	b.Run("none", func(b *testing.B) {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20)) // As the handlers did without a guard.
		})}
		go func() { _ = server.Serve(socket) }() // Returns an error when the test closes the server.
		defer server.Close()
		run(b, socket.Addr().String())
	})
}
