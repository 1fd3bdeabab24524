package lacelistener

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceresource"
)

const (
	// lineBytes is the memory of a header line beside its text: an entry of a map, the slice of its values, and the
	// allocations of key and value. 15,000 lines took 90 bytes each as net/http holds them, and up to 200 while it
	// collects them.
	lineBytes = 200
	// textFactor counts the text of a head twice: as it was read and in the strings of the request.
	textFactor = 2
	// encryptedLineBytes is the length of a line that is assumed where lines can't be counted, on a connection with TLS.
	// The exact cost of a head is charged when it has been read.
	encryptedLineBytes = 8
	// chargeStep is the step in which heads are charged while they are read, so that ordinary ones are not charged at all
	// beside their connection.
	chargeStep = 16 << 10
	// refusalTimeout bounds the time to write a refusal to a client whose head is not read any more.
	refusalTimeout = 50 * time.Millisecond
	// refusal is the response to a client whose head is too large for the memory that is left.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// listener accepts connections and charges them.
type listener struct {
	net.Listener
	guard  *Guard
	opaque bool
}

// Accept implements net.Listener. It closes connections that there is no room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x := l.guard.open(c, l.opaque); x != nil {
			return x, nil
		}
		c.Close()
	}
}

// open charges a new connection; it returns nil if there is no room for it.
func (g *Guard) open(inner net.Conn, opaque bool) *conn {
	now := g.options.Now()
	g.mu.Lock()
	h, victims, ok := g.budget.Open(now, ownerOf(inner.RemoteAddr()))
	closers := g.detach(victims)
	refused := 0
	var c *conn
	if ok {
		c = &conn{
			Conn:    inner,
			guard:   g,
			holder:  h,
			opaque:  opaque,
			charged: laceresource.HeadAllowance,
		}
		g.conns[h] = c
	} else {
		refused = 1
	}
	notices := g.recordShortage(now, reasonConnections, len(victims), refused)
	g.mu.Unlock()
	g.notify(notices)
	closeAll(closers)
	return c
}

// ownerOf returns the owner of connections from an address: its host.
func ownerOf(a net.Addr) laceresource.Owner {
	if a == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return laceresource.Owner(a.String())
	}
	return laceresource.Owner(host)
}

// conn is a connection of a client. While the head of a request is read, it counts the lines and charges what they take
// in memory before net/http parses them.
type conn struct {
	net.Conn
	guard  *Guard
	holder *laceresource.Holder
	opaque bool
	// inRequest is true from the end of a head to the end of its response.
	inRequest atomic.Bool
	// text and lines are the size of the head so far. They are atomic because HTTP/2 reads while it changes its state.
	text  atomic.Int64
	lines atomic.Int64
	// charged is what the head so far may take, waiting counts the requests that wait for memory, closed is true after
	// Close; the guard's lock protects them.
	charged int64
	waiting int
	closed  bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.inRequest.Load() {
		c.progress()
		return n, err
	}
	text := c.text.Add(int64(n))
	if text == int64(n) {
		c.progress()
	}
	lines := n / encryptedLineBytes
	if !c.opaque {
		lines = bytes.Count(p[:n], []byte{'\n'})
	}
	if cost := text*textFactor + c.lines.Add(int64(lines))*lineBytes; cost > laceresource.HeadAllowance && !c.chargeHead(cost) {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write([]byte(refusal)) // The connection is closed in any case.
		c.Conn.Close()
		return 0, &net.OpError{
			Op:  "read",
			Net: "tcp",
			Err: ErrShort,
		}
	}
	return n, err
}

// chargeHead charges a head that takes an amount of memory so far, and reports whether there is room for it.
func (c *conn) chargeHead(cost int64) bool {
	c.guard.mu.Lock()
	missing := cost - c.charged
	c.guard.budget.Progress(c.guard.options.Now(), c.holder)
	c.guard.mu.Unlock()
	if missing <= 0 {
		return true
	}
	missing = (missing + chargeStep - 1) / chargeStep * chargeStep
	if c.guard.charge(c.holder, missing, reasonHead) != nil {
		return false
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.charged += missing
	if c.closed {
		c.releaseHeadLocked()
	}
	return true
}

// progress records that the client has sent or read data.
func (c *conn) progress() {
	now := c.guard.options.Now()
	c.guard.mu.Lock()
	c.guard.budget.Progress(now, c.holder)
	c.guard.mu.Unlock()
}

// releaseHeadLocked returns what was charged for the head.
func (c *conn) releaseHeadLocked() {
	if extra := c.charged - laceresource.HeadAllowance; extra > 0 {
		c.guard.budget.Release(c.holder, extra)
		c.charged = laceresource.HeadAllowance
		c.guard.wakeLocked()
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.progress()
	}
	return n, err
}

// CloseWrite lets a client read a refusal before the connection is closed.
func (c *conn) CloseWrite() error {
	x, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("listener: connection can't be closed for writing")
	}
	return x.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	if !c.closed {
		c.closed = true
		c.releaseHeadLocked()
		c.guard.budget.Close(c.holder)
		delete(c.guard.conns, c.holder)
		c.guard.wakeLocked()
	}
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// contextKey is the key of a connection or a holding in a context.
type contextKey int

const (
	connKey contextKey = iota
	holdingKey
)

// guarded returns the connection of a guard below others, such as that of TLS.
func guarded(c net.Conn) *conn {
	for {
		switch x := c.(type) {
		case *conn:
			return x
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey, guarded(c))
}

// trackState tells a connection whether it reads the head of a request.
func trackState(c net.Conn, state http.ConnState) {
	x := guarded(c)
	if x == nil {
		return
	}
	switch state {
	case http.StateActive:
		x.inRequest.Store(true)
	case http.StateIdle:
		x.text.Store(0)
		x.lines.Store(0)
		x.inRequest.Store(false)
	}
}
