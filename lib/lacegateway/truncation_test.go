package lacegateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a truncated chat that looks complete to a caller that has closed its side of the connection and still
// reads.
func TestHalfClosedCallerGetsNoEndMarker(t *testing.T) {
	f := newFixture()
	f.backend.unblock = make(chan struct{})
	s := httptest.NewServer(f.gateway.Handler())
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(chatBody), chatBody)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	body := bufio.NewReader(r.Body)
	first, err := body.ReadString('\n')
	if err != nil || !strings.Contains(first, "word") {
		t.Fatalf("first event %q, error %v", first, err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// The connection may close with or without an error; only an end marker would make the response look complete.
	rest, _ := io.ReadAll(body)
	if text := string(rest); strings.Contains(text, "[DONE]") || strings.Contains(text, `"finish_reason":"stop"`) {
		t.Errorf("1 word of 5 ended with %q", text)
	}
	if err := f.gateway.Close(); err != nil {
		t.Fatal(err)
	}
	if got := f.settledTokens(t); got != 6 {
		t.Errorf("billed %d tokens for one word, want 6", got)
	}
}

// Guards against a truncated response that looks complete to an HTTP/1.0 client, which detects truncation only by the
// Content-Length.
func TestServiceResponsesHaveContentLength(t *testing.T) {
	f := newFixture()
	s := httptest.NewServer(f.gateway.Handler())
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	boxes := strings.Repeat("box ", 1000)
	fmt.Fprintf(conn, "POST /v1/services/orders/a HTTP/1.0\r\nAuthorization: Bearer %s\r\nIdempotency-Key: o1\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(boxes), boxes)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil || r.ContentLength != int64(len(body)) {
		t.Errorf("%d bytes with Content-Length %d, error %v", len(body), r.ContentLength, err)
	}
}
