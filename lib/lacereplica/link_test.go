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
	// linkRate is what the narrow link carries in each direction, in bytes a second.
	linkRate = 30_000
	// packet is what passes the link at once, and window what a connection may have on its way, both in bytes.
	packet = 1448
	window = 32 << 10
)

// link joins instances over a shared link with the clock of a synctest bubble, so that no test waits for real.
type link struct {
	in, out direction
	work    sync.WaitGroup

	mu      sync.Mutex
	conns   []net.Conn
	ends    map[string]listener
	servers []*http.Server
}

func newLink(t *testing.T) *link {
	l := &link{ends: map[string]listener{}}
	t.Cleanup(l.close)
	return l
}

// direction passes packets one after the other.
type direction struct {
	mu sync.Mutex
	// free is when the link has passed what it was given.
	free  time.Time
	bytes int
}

// through returns when a packet is through.
func (d *direction) through(n int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(time.Duration(n) * time.Second / linkRate)
	d.bytes += n
	return d.free
}

func (d *direction) sum() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// listener takes the connections to one address.
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

// serve answers at an address.
func (l *link) serve(address string, handler http.Handler) {
	end := listener{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
		once:  &sync.Once{},
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[address] = end
	server := &http.Server{Handler: handler}
	l.servers = append(l.servers, server)
	l.work.Go(func() { _ = server.Serve(end) })
}

// client returns a client whose calls pass the link, from within when it is behind it.
func (l *link) client(t *testing.T, behind bool) *http.Client {
	forth, back := &l.in, &l.out
	if behind {
		forth, back = &l.out, &l.in
	}
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return l.dial(ctx, address, forth, back)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (l *link) dial(ctx context.Context, address string, forth, back *direction) (net.Conn, error) {
	l.mu.Lock()
	end := l.ends[address]
	l.mu.Unlock()
	near, entry := net.Pipe()
	exit, far := net.Pipe()
	select {
	case end.conns <- far:
	case <-end.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	l.conns = append(l.conns, near, entry, exit, far)
	l.mu.Unlock()
	l.forward(entry, exit, forth)
	l.forward(exit, entry, back)
	return near, nil
}

// forward passes the bytes of one connection on to another; up to a window of them waits for the link.
func (l *link) forward(from, to net.Conn, d *direction) {
	type parcel struct {
		text []byte
		due  time.Time
	}
	queue := make(chan parcel, window/packet)
	l.work.Go(func() {
		defer close(queue)
		buffer := make([]byte, packet)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- parcel{
					text: append([]byte(nil), buffer[:n]...),
					due:  d.through(n),
				}
			}
			if err != nil {
				return
			}
		}
	})
	l.work.Go(func() {
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

// close ends all servers and connections and waits for them.
func (l *link) close() {
	l.mu.Lock()
	for _, s := range l.servers {
		_ = s.Close()
	}
	for _, c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.work.Wait()
}
