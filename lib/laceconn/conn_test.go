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

// server answers each request on a listener with a function and counts its connections.
func server(t *testing.T, answer func(c net.Conn, number int)) (laceunit.Address, chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := make(chan int, 16)
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			opened <- n
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
					answer(c, i)
				}
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return laceunit.Address(l.Addr().String()), opened
}

func request() *http.Request {
	return &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Opaque: "/stock/1"},
		Host:   "shop.example",
		Header: http.Header{},
	}
}

// exchange sends a request and reads the whole answer.
func exchange(t *testing.T, p *Pool) error {
	t.Helper()
	c, err := p.Get(context.Background())
	if err != nil {
		return err
	}
	x, err := c.Send(context.Background(), request())
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, x.Response.Body)
	x.Finish(err == nil, time.Minute)
	return err
}

// Guards against a connection that is opened for each request, and one that is used again with bytes left on it.
func TestReuse(t *testing.T) {
	extra := make(chan struct{})
	address, opened := server(t, func(c net.Conn, n int) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 2 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			close(extra)
		}
	})
	p := NewPool(address, 0)
	defer p.Close()
	for i := range 3 {
		if err := exchange(t, p); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if i == 1 {
			<-extra
		}
	}
	if n := len(opened); n != 2 {
		t.Errorf("%d connections for 3 requests of which the second left bytes, not 2", n)
	}
}

// Guards against "not sent" about a request that the server may have run, and the other way round.
func TestErrorsTellWhatWasSent(t *testing.T) {
	address, _ := server(t, func(c net.Conn, _ int) { c.Close() })
	p := NewPool(address, 0)
	if err := exchange(t, p); !errors.Is(err, ErrBroken) {
		t.Errorf("a connection that closes after the request: %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if err := exchange(t, NewPool(laceunit.Address(l.Addr().String()), 0)); !errors.Is(err, ErrNotSent) {
		t.Errorf("nothing listens: %v", err)
	}
}

// Guards against more connections than the instance's share.
func TestBound(t *testing.T) {
	address, _ := server(t, func(net.Conn, int) {})
	p := NewPool(address, 1)
	c, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Get(context.Background()); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("a second connection over a bound of 1: %v", err)
	}
	c.Discard()
	if _, err := p.Get(context.Background()); err != nil {
		t.Errorf("after the first was closed: %v", err)
	}
}
