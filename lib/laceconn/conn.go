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
	// ErrNotSent means that nothing of the request was handed to the network.
	ErrNotSent = errors.New("conn: request was not sent")
	// ErrBroken means that the connection ended or carried bytes that are no answer; the request may have run.
	ErrBroken = errors.New("conn: connection broke")
	// ErrFull means that the server has as many connections from here as it may have.
	ErrPoolExhausted = errors.New("conn: too many connections to the server")
	// ErrClosed means that the pool was closed; nothing was sent.
	ErrClosed = errors.New("conn: pool is closed")
)

const (
	// bufferBytes holds the header of an answer and an event of a stream.
	bufferBytes = 8 << 10
	// headBytes bounds the header of an answer together with the interim answers before it.
	headBytes = 64 << 10
	// inlineBytes is the body size up to which a request is written before its answer is awaited. Longer ones may be
	// answered before they are read, and small windows would then block the writer.
	inlineBytes = 2 << 10
	// lingerTime is how long a finished answer waits for the rest of its request to be written.
	lingerTime = 50 * time.Millisecond
)

// Conn is a connection to a backend server.
type Conn struct {
	net    net.Conn
	pool   *Pool
	reader *bufio.Reader
	head   headLimit
	// fresh is true until the first answer; what arrives on a fresh connection can't belong to an earlier request.
	fresh bool
	// rest is when the server may close the idle connection.
	rest time.Time
}

// Exchange is one request on a connection, up to the header of its answer.
type Exchange struct {
	Response *http.Response
	// Fresh is true when the connection carried no request before.
	Fresh bool

	conn    *Conn
	written chan error
	stop    func() bool
}

// counter counts what was handed to the network.
type counter struct {
	conn net.Conn
	sent atomic.Int64
}

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Send writes a request and reads the header of its answer. When the context ends, the connection closes, which tells
// the server to drop the request. After an error the connection is closed.
func (c *Conn) Send(ctx context.Context, r *http.Request) (*Exchange, error) {
	stop := context.AfterFunc(ctx, func() { c.net.Close() })
	x := &Exchange{
		Fresh:   c.fresh,
		conn:    c,
		written: make(chan error, 1),
		stop:    stop,
	}
	out := &counter{conn: c.net}
	write := func() { x.written <- r.Write(out) }
	if r.ContentLength > inlineBytes {
		go write()
	} else {
		write()
	}
	response, err := c.read(r) //nolint:bodyclose // Whoever ends the exchange reads the body.
	if err == nil {
		x.Response = response
		return x, nil
	}
	stop()
	c.Discard()
	writeErr := <-x.written
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

// headLimit is a reader that fails when an answer's head does not end; bytes of a body that were read ahead count as well.
type headLimit struct {
	conn net.Conn
	// left is how much may be read until the head ends; limited is false outside of heads.
	left    int
	limited bool
}

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(p)
	}
	if h.left <= 0 {
		return 0, errors.New("header of the answer is too long")
	}
	n, err := h.conn.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// read skips interim answers.
func (c *Conn) read(r *http.Request) (*http.Response, error) {
	c.head.left, c.head.limited = headBytes, true
	defer func() { c.head.limited = false }()
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("server switched protocols")
		}
	}
}

// Finish ends the exchange. The connection is kept when the answer was read to its end and nothing is left over.
func (x *Exchange) Finish(whole bool, idle time.Duration) {
	c := x.conn
	live := x.stop()
	if !whole || !live || x.Response.Close || c.reader.Buffered() > 0 || !x.sent() {
		c.Discard()
		return
	}
	c.fresh = false
	c.pool.put(c, idle)
}

// Abort ends the exchange and closes the connection.
func (x *Exchange) Abort() {
	x.stop()
	x.conn.Discard()
}

func (x *Exchange) sent() bool {
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.pool.forget(c)
	c.net.Close()
}

// quiet reports whether an idle connection is open and has nothing to read.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
	})
	return err == nil && quiet
}
