package laceemulator

import (
	"io"
	"net/http"
	"strings"
)

// RawResponse is an http.Handler that sends text in place of a response, which need not be valid HTTP, and closes the
// connection.
type RawResponse string

// Invalid responses that clients of net/http accept; a sound header and a body of the length in Content-Length follow.
const (
	// InvalidStatus is the status line of a response with status 000.
	InvalidStatus = "HTTP/1.1 000 X\r\n"
	// InvalidField is the beginning of a response with status 200 in which the name of a field holds a blank.
	InvalidField = "HTTP/1.1 200 OK\r\nX Noise: 1\r\n"
)

// ServeHTTP implements http.Handler.
func (s RawResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	// The connection is closed whether the request can be read or not.
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.Copy(c, strings.NewReader(string(s)))
}
