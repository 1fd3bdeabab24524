package laceconn

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// ResponseConn is the client's side of an HTTP/1.1 connection. All readers of responses use it, so that they agree on
// which responses are valid: a head that is not valid makes Read fail with ErrInvalidResponse.
type ResponseConn struct {
	net.Conn

	mu sync.Mutex
	// inHead is true from ExpectResponse to the end of the response head.
	inHead bool
	head   responseHead
	// readErr is the error of all reads after an invalid head.
	readErr error
}

// NewResponseConn returns a connection that expects a response.
func NewResponseConn(c net.Conn) *ResponseConn {
	return &ResponseConn{
		Conn:   c,
		inHead: true,
	}
}

// ExpectResponse must be called before a request is written to a connection that has carried one before.
func (c *ResponseConn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		c.inHead, c.head = true, responseHead{}
	}
}

// Read implements net.Conn.
func (c *ResponseConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr != nil {
		return 0, c.readErr
	}
	if n > 0 && c.inHead {
		done, headErr := c.head.write(p[:n])
		if headErr != nil {
			c.readErr = headErr
			return 0, headErr
		}
		c.inHead = !done
	}
	if errors.Is(err, io.EOF) && c.inHead && c.head.started() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// SyscallConn implements syscall.Conn, which Conn.isReusable needs to check idle connections without reading from them.
func (c *ResponseConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}
