package laceconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"lacewingcove/lib/laceunit"
)

// uploadBytes is more than the buffers of a connection hold, so that a server that does not read blocks the upload.
const uploadBytes = 16 << 20

// zeros is a reader of zero bytes without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// startUnframedServer starts a server that responds to each upload at once, after its head, with a part of a response
// that has no length, and then calls end.
func startUnframedServer(t *testing.T, end func(c *net.TCPConn)) laceunit.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart")
		end(c.(*net.TCPConn))
	}))
	t.Cleanup(s.Close)
	return laceunit.Address(s.Listener.Addr().String())
}

// startUpload starts an upload and returns its exchange once the response head has arrived.
func startUpload(t *testing.T, p *Pool) (*Exchange, error) {
	t.Helper()
	c, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPost, "http://shop.example/orders", io.LimitReader(zeros{}, uploadBytes))
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = uploadBytes
	return c.Send(context.Background(), r)
}

// readAll reads the body of a response and ends the exchange.
func (x *Exchange) readAll() (string, error) {
	body, err := io.ReadAll(x.Response.Body)
	x.Finish(err == nil, 0)
	return string(body), err
}

// Guards against a part of a response without a length that looks complete, because the write of the request consumed the
// error of the reset. The body is read only after the write has failed.
func TestResetDuringUploadBreaksResponse(t *testing.T) {
	reset := make(chan struct{})
	p := NewPool(startUnframedServer(t, func(c *net.TCPConn) {
		<-reset
		_ = c.SetLinger(0)
	}), 0)
	defer p.Close()
	x, err := startUpload(t, p)
	close(reset)
	if err != nil {
		t.Fatal(err)
	}
	x.writeDone <- <-x.writeDone
	if body, err := x.readAll(); err == nil {
		t.Errorf("the response %q looks complete", body)
	}
}

// Guards against the same when the write and the read notice the reset at the same time.
func TestResetRacesWithUpload(t *testing.T) {
	p := NewPool(startUnframedServer(t, func(c *net.TCPConn) { _ = c.SetLinger(0) }), 0)
	defer p.Close()
	const plays = 500
	complete := 0
	for range plays {
		x, err := startUpload(t, p)
		if err != nil {
			continue
		}
		if _, err = x.readAll(); err == nil {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d responses look complete", complete, plays)
	}
}

// Guards against a sound response that counts as broken because its server closes the connection in order while the
// request is being written.
func TestEarlyResponseWithOrderlyEnd(t *testing.T) {
	released := make(chan struct{})
	for name, end := range map[string]func(c *net.TCPConn){
		"reads on":      func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"stops reading": func(*net.TCPConn) { <-released },
		"resets":        func(c *net.TCPConn) { _ = c.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(startUnframedServer(t, func(c *net.TCPConn) {
				_ = c.CloseWrite()
				end(c)
			}), 0)
			defer p.Close()
			x, err := startUpload(t, p)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := x.readAll(); err != nil || body != "part" {
				t.Errorf("response %q, error %v", body, err)
			}
		})
	}
	close(released)
}
