package lacerouter

import (
	"context"
	"net"
	"sync"
	"testing"
)

// direction is a direction of traffic that a proxy can block.
type direction int

const (
	requestDirection direction = iota
	responseDirection
)

// tcpProxy is a TCP proxy in front of the peer port of a router. A blocked direction acts like a network partition:
// connections stay open, but no data arrives. Connections that dropped data are closed when the direction is unblocked.
type tcpProxy struct {
	address     string
	target      string
	mu          sync.Mutex
	blocked     [2]bool
	unblocked   chan struct{}
	connections map[net.Conn]struct{}
	workers     sync.WaitGroup
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{
		address:     l.Addr().String(),
		target:      target,
		unblocked:   make(chan struct{}),
		connections: map[net.Conn]struct{}{},
	}
	p.workers.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.workers.Go(func() { p.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.setBlocked()
		p.mu.Lock()
		for c := range p.connections {
			_ = c.Close()
		}
		p.connections = nil
		p.mu.Unlock()
		p.workers.Wait()
	})
	return p
}

// setBlocked replaces the set of blocked directions.
func (p *tcpProxy) setBlocked(blocked ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = [2]bool{}
	for _, d := range blocked {
		p.blocked[d] = true
	}
	close(p.unblocked)
	p.unblocked = make(chan struct{})
}

// track registers a connection until closeConnection; it returns false if the proxy is closed.
func (p *tcpProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections == nil {
		return false
	}
	p.connections[c] = struct{}{}
	return true
}

func (p *tcpProxy) closeConnection(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

func (p *tcpProxy) serve(downstream net.Conn) {
	defer p.closeConnection(downstream)
	upstream, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConnection(upstream)
	if !p.track(downstream) || !p.track(upstream) {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(upstream, downstream, requestDirection) })
	copies.Go(func() { p.copy(downstream, upstream, responseDirection) })
	copies.Wait()
}

// copy forwards data until either side closes the connection or data was dropped.
func (p *tcpProxy) copy(to, from net.Conn, d direction) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil || p.waitUnblocked(d) {
			return
		}
		if _, err = to.Write(b[:n]); err != nil {
			return
		}
	}
}

// waitUnblocked waits until a direction is not blocked and reports whether it was blocked.
func (p *tcpProxy) waitUnblocked(d direction) bool {
	for wasBlocked := false; ; wasBlocked = true {
		p.mu.Lock()
		blocked, unblocked := p.blocked[d], p.unblocked
		p.mu.Unlock()
		if !blocked {
			return wasBlocked
		}
		<-unblocked
	}
}
