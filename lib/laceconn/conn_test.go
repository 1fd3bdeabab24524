package laceconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// startServer starts a TCP server that calls respond for each HTTP request, with the number of the request on its
// connection. For each accepted connection it sends a value to the returned channel.
func startServer(t *testing.T, respond func(c net.Conn, number int)) (laceunit.Address, chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan int, 16)
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- n
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for i := 1; ; i++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					respond(c, i)
				}
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return laceunit.Address(l.Addr().String()), accepted
}

func newRequest() *http.Request {
	return &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Opaque: "/stock/1"},
		Host:   "shop.example",
		Header: http.Header{},
	}
}

// roundTrip sends a request and reads the complete response.
func roundTrip(t *testing.T, p *Pool) error {
	t.Helper()
	c, err := p.Get(context.Background())
	if err != nil {
		return err
	}
	x, err := c.Send(context.Background(), newRequest())
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, x.Response.Body)
	x.Finish(err == nil, time.Minute)
	return err
}

// Guards against opening a connection for each request, and against reusing a connection that has unread bytes.
func TestConnectionReuse(t *testing.T) {
	extra := make(chan struct{})
	address, accepted := startServer(t, func(c net.Conn, n int) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 2 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			close(extra)
		}
	})
	p := NewPool(address, 0)
	defer p.Close()
	for i := range 3 {
		if err := roundTrip(t, p); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if i == 1 {
			<-extra
		}
	}
	if n := len(accepted); n != 2 {
		t.Errorf("%d connections for 3 requests, want 2: the second response was followed by extra bytes", n)
	}
}

// Guards against ErrNotSent for a request that the server may have executed, and against ErrBroken for one that was not
// sent.
func TestErrorsDistinguishUnsentRequests(t *testing.T) {
	address, _ := startServer(t, func(c net.Conn, _ int) { c.Close() })
	p := NewPool(address, 0)
	if err := roundTrip(t, p); !errors.Is(err, ErrBroken) {
		t.Errorf("connection that was closed after the request: %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if err := roundTrip(t, NewPool(laceunit.Address(l.Addr().String()), 0)); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener at the address: %v", err)
	}
}

// Guards against more connections to a server than this instance may open.
func TestMaxConns(t *testing.T) {
	address, _ := startServer(t, func(net.Conn, int) {})
	p := NewPool(address, 1)
	c, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Get(context.Background()); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("second connection with a limit of 1: %v", err)
	}
	c.Discard()
	if _, err := p.Get(context.Background()); err != nil {
		t.Errorf("new connection after the first was closed: %v", err)
	}
}

// Guards against a request that reaches a server although its caller has left before it was sent.
func TestCanceledRequestIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received := make(chan int, 1)
	for range 20 {
		go func() {
			c, acceptErr := l.Accept()
			if acceptErr != nil {
				return
			}
			defer c.Close()
			n, _ := c.Read(make([]byte, 100))
			received <- n
		}()
		conn, err := NewPool(laceunit.Address(l.Addr().String()), 0).Get(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r, err := http.NewRequest(http.MethodGet, "http://s/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = conn.Send(ctx, r); !errors.Is(err, ErrNotSent) {
			t.Errorf("error %v", err)
		}
		if n := <-received; n > 0 {
			t.Errorf("the server got %d bytes", n)
		}
	}
}
