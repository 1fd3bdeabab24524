package laceconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an invalid response that a client of net/http returns, on a new connection and on a reused one.
func TestTransportRejectsInvalidResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"status 000":                     "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
		"status 600":                     "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
		"blank in Content-Length":        "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok",
		"blank in a name, interim":       "HTTP/1.1 103 X\r\nX A: 1\r\n\r\n" + ok,
		"blank in a name, behind one":    "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a reason":       "HTTP/1.1 200 \x01\r\nContent-Length: 2\r\n\r\nok",
		"head without end":               "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 100),
		"head that ends in a line":       "HTTP/1.1 200 OK\r\nContent-Len",
		"body longer than the limit":     "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65),
		"body without end":               "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20),
		"blank in a trailer field":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: 1\r\n\r\n",
		"zero bytes instead of a status": strings.Repeat("\x00", 1<<20),
	} {
		for _, reused := range []bool{false, true} {
			address, _ := startServer(t, func(c net.Conn, n int) {
				if reused && n == 1 {
					fmt.Fprint(c, ok)
					return
				}
				fmt.Fprint(c, text)
				c.Close()
			})
			client := http.Client{Transport: NewTransport(&http.Transport{}, 64)}
			post := func() ([]byte, error) {
				r, err := client.Post("http://"+string(address), "text/plain", strings.NewReader("x"))
				if err != nil {
					return nil, err
				}
				defer r.Body.Close()
				return io.ReadAll(r.Body)
			}
			if reused {
				if body, err := post(); err != nil || string(body) != "ok" {
					t.Fatalf("%s: first response %q, error %v", name, body, err)
				}
			}
			if body, err := post(); err == nil || len(body) > 64 {
				t.Errorf("%s, reused %v: %d bytes, error %v", name, reused, len(body), err)
			}
			client.CloseIdleConnections()
		}
	}
}

// Guards against a response that is rejected although it has exactly the allowed length, and against an error that does
// not say that it is longer.
func TestTransportLimitsBodies(t *testing.T) {
	for _, c := range []struct {
		length int
		want   error
	}{{length: 64}, {length: 65, want: ErrResponseTooLong}} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", c.length))
		}))
		client := http.Client{Transport: NewTransport(&http.Transport{}, 64)}
		r, err := client.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		r.Body.Close()
		if !errors.Is(err, c.want) || len(body) != 64 {
			t.Errorf("length %d: %d bytes, error %v", c.length, len(body), err)
		}
		client.CloseIdleConnections()
		s.Close()
	}
}

// Guards against a part of a response without a length that looks complete after a reset during the upload.
func TestTransportReportsResets(t *testing.T) {
	address := startUnframedServer(t, func(c *net.TCPConn) { _ = c.SetLinger(0) })
	transport := NewTransport(&http.Transport{}, 0)
	defer transport.CloseIdleConnections()
	const plays = 500
	body := make([]byte, uploadBytes)
	for range plays {
		r, err := http.NewRequest(http.MethodPost, "http://"+string(address), bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(r)
		if err != nil {
			continue
		}
		part, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			t.Fatalf("the part %q looks complete", part)
		}
	}
}

// Guards against checks of encrypted bytes, and against connections that are not reused.
func TestTransportChecksBelowTLS(t *testing.T) {
	var connections atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.StartTLS()
	defer s.Close()
	trusted, ok := s.Client().Transport.(*http.Transport)
	if !ok {
		t.Fatal("the client of the test server has no transport")
	}
	client := http.Client{Transport: NewTransport(&http.Transport{TLSClientConfig: trusted.TLSClientConfig}, 0)}
	defer client.CloseIdleConnections()
	for range 3 {
		r, err := client.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(r.Body); err != nil || string(body) != "ok" {
			t.Errorf("response %q, error %v", body, err)
		}
		r.Body.Close()
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections for 3 requests", n)
	}
}
