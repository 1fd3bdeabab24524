package lacereplica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// linkBytesPerSecond is the bandwidth of the link in each direction.
	linkBytesPerSecond = 30_000
	// packetBytes is the size of a packet, windowBytes the data that a connection may have in flight.
	packetBytes = 1448
	windowBytes = 32 << 10
)

// sharedLink connects instances over a shared link of limited bandwidth, timed by the fake clock of a synctest bubble.
type sharedLink struct {
	in, out    direction
	goroutines sync.WaitGroup

	mu        sync.Mutex
	conns     []net.Conn
	listeners map[string]listener
	servers   []*http.Server
}

func newSharedLink(t *testing.T) *sharedLink {
	l := &sharedLink{listeners: map[string]listener{}}
	t.Cleanup(l.close)
	return l
}

// direction is one direction of the link; it transmits packets sequentially.
type direction struct {
	mu sync.Mutex
	// idleAt is when all packets so far have been transmitted.
	idleAt time.Time
	bytes  int
}

// transmit queues a packet and returns when its transmission ends.
func (d *direction) transmit(n int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.idleAt.Before(now) {
		d.idleAt = now
	}
	d.idleAt = d.idleAt.Add(time.Duration(n) * time.Second / linkBytesPerSecond)
	d.bytes += n
	return d.idleAt
}

func (d *direction) total() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// listener accepts the connections to one address.
type listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  *sync.Once
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l listener) Addr() net.Addr { return &net.TCPAddr{} }

// serve starts an HTTP server at an address.
func (l *sharedLink) serve(address string, handler http.Handler) {
	ln := listener{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
		once:  &sync.Once{},
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners[address] = ln
	server := &http.Server{Handler: handler}
	l.servers = append(l.servers, server)
	l.goroutines.Go(func() { _ = server.Serve(ln) })
}

// client returns a client whose calls cross the link; behind selects from which side.
func (l *sharedLink) client(t *testing.T, behind bool) *http.Client {
	outbound, inbound := &l.in, &l.out
	if behind {
		outbound, inbound = &l.out, &l.in
	}
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return l.dial(ctx, address, outbound, inbound)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (l *sharedLink) dial(ctx context.Context, address string, outbound, inbound *direction) (net.Conn, error) {
	l.mu.Lock()
	ln := l.listeners[address]
	l.mu.Unlock()
	near, entry := net.Pipe()
	exit, far := net.Pipe()
	select {
	case ln.conns <- far:
	case <-ln.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	l.conns = append(l.conns, near, entry, exit, far)
	l.mu.Unlock()
	l.forward(entry, exit, outbound)
	l.forward(exit, entry, inbound)
	return near, nil
}

// forward copies data from one connection to another at the rate of the link, with up to a window of data in flight.
func (l *sharedLink) forward(from, to net.Conn, d *direction) {
	type segment struct {
		text []byte
		due  time.Time
	}
	queue := make(chan segment, windowBytes/packetBytes)
	l.goroutines.Go(func() {
		defer close(queue)
		buffer := make([]byte, packetBytes)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- segment{
					text: append([]byte(nil), buffer[:n]...),
					due:  d.transmit(n),
				}
			}
			if err != nil {
				return
			}
		}
	})
	l.goroutines.Go(func() {
		defer to.Close()
		defer from.Close()
		for p := range queue {
			<-time.After(time.Until(p.due))
			if _, err := to.Write(p.text); err != nil {
				from.Close()
			}
		}
	})
}

// close closes all servers and connections and waits for their goroutines.
func (l *sharedLink) close() {
	l.mu.Lock()
	for _, s := range l.servers {
		_ = s.Close()
	}
	for _, c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}
