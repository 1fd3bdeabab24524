package laceconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of connections.
var (
	// ErrNotSent means that no byte of the request was written to the network.
	ErrNotSent = errors.New("conn: request was not sent")
	// ErrBroken means that the connection was closed or carried bytes that are not a valid response; the request may
	// have been executed.
	ErrBroken = errors.New("conn: connection broke")
	// ErrPoolExhausted means that the pool has reached its maximum number of connections.
	ErrPoolExhausted = errors.New("conn: too many connections to the server")
	// ErrClosed means that the pool is closed; nothing was sent.
	ErrClosed = errors.New("conn: pool is closed")
)

const (
	// readBufferBytes has room for a response header and for an event of a stream.
	readBufferBytes = 8 << 10
	// maxSyncWriteBytes is the largest body that is written completely before the response is read. A server may respond
	// to a larger one before it has read it, and a small TCP window would then block the writer.
	maxSyncWriteBytes = 2 << 10
	// writeDrainTimeout limits the wait for the rest of the request to be written once the response is complete.
	writeDrainTimeout = 50 * time.Millisecond
)

// Conn is a connection to a backend server.
type Conn struct {
	net    *ResponseConn
	pool   *Pool
	reader *bufio.Reader
	// fresh is true until the first response has been read. Data on a fresh connection can't belong to an earlier request.
	fresh bool
	// idleDeadline is when the idle connection expires, shortly before the server may close it.
	idleDeadline time.Time
}

// Exchange is a request on a connection whose response header has been read.
type Exchange struct {
	Response *http.Response
	// Fresh is true when the connection has not carried a request before.
	Fresh bool

	conn      *Conn
	writeDone chan error
	stop      func() bool
}

// countingWriter counts the bytes that were written to a connection.
type countingWriter struct {
	conn net.Conn
	sent atomic.Int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Send writes a request and reads the response header. Cancelling the context closes the connection, which makes the
// server abort the request. The connection is also closed after an error.
func (c *Conn) Send(ctx context.Context, r *http.Request) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		// The request would reach the server before the connection is closed.
		c.Discard()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { c.net.Close() })
	x := &Exchange{
		Fresh:     c.fresh,
		conn:      c,
		writeDone: make(chan error, 1),
		stop:      stop,
	}
	c.net.ExpectResponse()
	out := &countingWriter{conn: c.net}
	write := func() { x.writeDone <- r.Write(out) }
	if r.ContentLength > maxSyncWriteBytes {
		go write()
	} else {
		write()
	}
	response, err := ReadResponse(c.reader, r) //nolint:bodyclose // The user of the exchange reads the body.
	if err == nil {
		x.Response = response
		return x, nil
	}
	stop()
	c.Discard()
	writeErr := <-x.writeDone
	if ctx.Err() != nil && out.sent.Load() > 0 {
		return nil, errors.Wrap(ErrBroken, ctx.Err().Error())
	}
	if out.sent.Load() == 0 {
		if writeErr == nil {
			writeErr = err
		}
		return nil, errors.Wrap(ErrNotSent, writeErr.Error())
	}
	return nil, errors.Wrap(ErrBroken, err.Error())
}

// Finish ends the exchange. The connection is reused if the response was read completely and no further data follows
// it. idleTimeout is how long the server keeps an idle connection open; zero means that it did not specify it.
func (x *Exchange) Finish(complete bool, idleTimeout time.Duration) {
	c := x.conn
	active := x.stop()
	if !complete || !active || x.Response.Close || c.reader.Buffered() > 0 || !x.requestWritten() {
		c.Discard()
		return
	}
	c.fresh = false
	c.pool.putIdle(c, idleTimeout)
}

// Abort ends the exchange and closes the connection.
func (x *Exchange) Abort() {
	x.stop()
	x.conn.Discard()
}

// requestWritten reports whether the request was written completely, waiting up to writeDrainTimeout.
func (x *Exchange) requestWritten() bool {
	timer := time.NewTimer(writeDrainTimeout)
	defer timer.Stop()
	select {
	case err := <-x.writeDone:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Release returns a connection on which nothing was sent. A reused one becomes idle again until its earlier deadline; a
// new one is closed, since servers close connections that have not carried a request.
func (c *Conn) Release() {
	if c.fresh {
		c.Discard()
		return
	}
	c.pool.returnIdle(c)
}

// Discard closes the connection and removes it from the pool.
func (c *Conn) Discard() {
	c.pool.remove(c)
	c.net.Close()
}

// isReusable reports whether an idle connection is open and has no unread data.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.SyscallConn()
	if errors.Is(err, syscall.ENOTSUP) {
		return true
	}
	if err != nil {
		return false
	}
	noData := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(peekErr, syscall.EAGAIN)
	})
	return err == nil && noData
}
