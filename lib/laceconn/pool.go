package laceconn

import (
	"bufio"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server does not specify a keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's keep-alive timeout, so that no request is sent on a connection
	// that the server is about to close; for short timeouts it is a quarter of them.
	idleTimeoutMargin = 300 * time.Millisecond
)

// Pool is the connection pool for one backend server.
type Pool struct {
	address laceunit.Address
	traffic *Traffic
	// delayed reports whether the instance's link delays packets; nil means never.
	delayed func() bool

	mu       sync.Mutex
	maxConns int
	idle     []*Conn
	open     map[*Conn]struct{}
	// waiting are the handshakes that end when a connection becomes idle, the oldest first.
	waiting []*waiter
	closed  bool
}

// NewPool returns a pool of at most maxConns connections; zero means no limit.
func NewPool(address laceunit.Address, maxConns int) *Pool {
	return &Pool{
		address:  address,
		maxConns: maxConns,
		open:     map[*Conn]struct{}{},
	}
}

// CountTraffic enables counting the bytes of the pool's connections; it must be called before Get.
func (p *Pool) CountTraffic(t *Traffic) { p.traffic = t }

// ExtendHandshakes lets handshakes take longer while delayed reports that the instance's link delays packets, and ends
// them when an open connection becomes idle; it must be called before Get.
func (p *Pool) ExtendHandshakes(delayed func() bool) { p.delayed = delayed }

// errIdle ends a handshake because an open connection can be used instead.
var errIdle = errors.New("conn: another connection is idle")

// waiter is a call of Get that waits for a handshake; end ends the handshake.
type waiter struct{ end context.CancelCauseFunc }

// Get returns an idle connection or opens a new one; it fails once the pool is closed. Each of its errors means that
// nothing was sent.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	dialCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	w := &waiter{end: end}
	p.mu.Lock()
	p.waiting = append(p.waiting, w)
	p.mu.Unlock()
	c, err := p.Open(dialCtx)
	p.mu.Lock()
	p.waiting = slices.DeleteFunc(p.waiting, func(x *waiter) bool { return x == w })
	p.mu.Unlock()
	if err == nil || !errors.Is(context.Cause(dialCtx), errIdle) {
		return c, err
	}
	if idle := p.takeIdle(); idle != nil {
		return idle, nil
	}
	// Another request has taken the connection.
	return p.Open(ctx)
}

// Open opens a new connection; it fails like Get.
func (p *Pool) Open(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.maxConns > 0 && len(p.open) >= p.maxConns {
		p.mu.Unlock()
		return nil, ErrPoolExhausted
	}
	c := &Conn{
		pool:  p,
		fresh: true,
	}
	// The connection is counted before it is dialed, so that concurrent calls don't exceed the limit.
	p.open[c] = struct{}{}
	p.mu.Unlock()
	conn, err := dial(ctx, "tcp", string(p.address), p.handshakeTimeout(ctx))
	if err != nil {
		p.remove(c)
		if errors.Is(err, ErrHandshakeTimeout) {
			return nil, errors.Wrap(ErrHandshakeTimeout, string(p.address))
		}
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c.net = NewResponseConn(p.traffic.WrapConn(conn))
	c.reader = bufio.NewReaderSize(c.net, readBufferBytes)
	return c, nil
}

// handshakeTimeout returns the handshake timeout as a function of the time since the handshake began. While the link
// delays packets, it leaves half of the time until the deadline of the context for an attempt at another server.
func (p *Pool) handshakeTimeout(ctx context.Context) func(elapsed time.Duration) time.Duration {
	extended := maxDelayedDialTimeout
	if deadline, ok := ctx.Deadline(); ok {
		extended = max(min(extended, time.Until(deadline)/2), dialTimeout)
	}
	return func(elapsed time.Duration) time.Duration {
		if elapsed > 0 && p.delayed != nil && p.delayed() {
			return extended
		}
		return dialTimeout
	}
}

// takeIdle returns the most recently used idle connection that is still open, or nil. It closes unusable ones.
func (p *Pool) takeIdle() *Conn {
	now := time.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(c.idleDeadline) && c.isReusable() {
			return c
		}
		c.Discard()
	}
}

func (p *Pool) putIdle(c *Conn, timeout time.Duration) {
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	c.idleDeadline = time.Now().Add(timeout - min(idleTimeoutMargin, timeout/4))
	p.returnIdle(c)
}

// returnIdle makes an open connection available until its idle deadline.
func (p *Pool) returnIdle(c *Conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.Discard()
		return
	}
	p.idle = append(p.idle, c)
	var w *waiter
	if len(p.waiting) > 0 && p.delayed != nil && p.delayed() {
		w, p.waiting = p.waiting[0], p.waiting[1:]
	}
	p.mu.Unlock()
	if w != nil {
		w.end(errIdle)
	}
}

// Expire closes idle connections whose idle timeout has passed. The owner of the pool must call it periodically.
func (p *Pool) Expire(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		isExpired := !now.Before(c.idleDeadline)
		if isExpired {
			expired = append(expired, c)
		}
		return isExpired
	})
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

func (p *Pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// Close closes the pool and its idle connections; those in use are closed when their exchanges end.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
	return nil
}

// DropIdle closes the idle connections; the pool remains open.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}
