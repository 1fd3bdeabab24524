package laceconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ResponseConn is the client's side of an HTTP/1.1 connection. All readers of responses use it, so that they agree on
// which responses are valid and complete:
//
//   - A response head that is not valid makes Read fail with ErrInvalidResponse.
//   - A connection that was reset does not look as if the server had closed it. The kernel reports a reset only once. If
//     a write gets the report, the next read would return io.EOF, and the part of a response that has arrived would look
//     complete if it has no length.
type ResponseConn struct {
	net.Conn

	mu sync.Mutex
	// inHead is true from ExpectResponse to the end of the response head.
	inHead bool
	head   responseHead
	// readErr is the error of all reads after an invalid head.
	readErr error
	// writes counts the calls of Write in progress, writesDone is signaled when one ends, and writeErr is the first error
	// of one that means that the connection broke.
	writes     int
	writesDone sync.Cond
	writeErr   error
}

// NewResponseConn returns a connection that expects a response.
func NewResponseConn(c net.Conn) *ResponseConn {
	r := &ResponseConn{
		Conn:   c,
		inHead: true,
	}
	r.writesDone.L = &r.mu
	return r
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
	if errors.Is(err, io.EOF) {
		err = c.endOfInputLocked()
	}
	return n, err
}

// endOfInputLocked returns the error of a read at the end of the input: io.EOF if the server has closed the connection in
// order.
func (c *ResponseConn) endOfInputLocked() error {
	if c.writes > 0 {
		// A write in progress may be about to return the reset. Nothing that it sends can change the response any more.
		_ = c.SetWriteDeadline(time.Now())
	}
	for c.writes > 0 {
		c.writesDone.Wait()
	}
	switch {
	case c.writeErr != nil:
		return c.writeErr
	case c.inHead && c.head.started():
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *ResponseConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.writesDone.Broadcast()
	if err != nil && c.writeErr == nil && !isOrderlyEnd(err) {
		c.writeErr = err
	}
	return n, err
}

// isOrderlyEnd reports whether an error of a write leaves open that the server has sent all of its response. EPIPE without
// an earlier error means that the server closed its side before it reset the connection because of further bytes.
func isOrderlyEnd(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn, which Conn.isReusable needs to check idle connections without reading from them.
func (c *ResponseConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}

// ReadResponse reads a response header and skips interim (1xx) responses. The reader must read from a ResponseConn.
func ReadResponse(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			checkTrailer(response)
			return response, nil
		}
	}
}
