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
	// silence is how long sent bytes may stay unacknowledged before a connection counts as lost. A partition answers
	// nothing, and a connection that went silent stays so.
	silence = 2 * time.Second
	// probeIdle and probeCount find lost connections on which nothing is being sent.
	probeIdle  = time.Second
	probeCount = 2
	// defaultIdle is how long a connection is kept when the server does not say for how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is left between the last use of a connection and the moment at which the server closes it.
	idleMargin = 300 * time.Millisecond
)

// tcpUserTimeout is the socket option that bounds unacknowledged data, which package syscall does not name.
const tcpUserTimeout = 18

// Pool holds the connections to one backend server.
type Pool struct {
	address laceunit.Address
	traffic *Traffic

	mu     sync.Mutex
	most   int
	idle   []*Conn
	open   map[*Conn]struct{}
	closed bool
}

// NewPool returns a pool of at most some connections; no number stands for no bound.
func NewPool(address laceunit.Address, most int) *Pool {
	return &Pool{
		address: address,
		most:    most,
		open:    map[*Conn]struct{}{},
	}
}

// Count makes the pool count the bytes of its connections; it must be called before Get.
func (p *Pool) CountTraffic(t *Traffic) { p.traffic = t }

// Get returns an idle connection or opens one, but none once the pool is closed. Its errors say that nothing was sent.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	if c := p.take(); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.most > 0 && len(p.open) >= p.most {
		p.mu.Unlock()
		return nil, ErrPoolExhausted
	}
	c := &Conn{
		pool:  p,
		fresh: true,
	}
	// The place is taken before dialling, so that the bound holds while connections open.
	p.open[c] = struct{}{}
	p.mu.Unlock()
	conn, err := Dial(ctx, "tcp", string(p.address))
	if err != nil {
		p.forget(c)
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	conn = p.traffic.WrapConn(conn)
	c.net = conn
	c.head.conn = conn
	c.reader = bufio.NewReaderSize(&c.head, bufferBytes)
	return c, nil
}

// take returns the idle connection that was used last and is still open.
func (p *Pool) take() *Conn {
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
		if now.Before(c.rest) && c.quiet() {
			return c
		}
		c.Discard()
	}
}

func (p *Pool) put(c *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	c.rest = time.Now().Add(idle - min(idleMargin, idle/4))
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.Discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Expire closes idle connections that the server may close; whoever owns the pool calls it now and then.
func (p *Pool) Expire(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		over := !now.Before(c.rest)
		if over {
			expired = append(expired, c)
		}
		return over
	})
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

func (p *Pool) forget(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// Close closes the idle connections; those in use close when their exchange ends.
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
