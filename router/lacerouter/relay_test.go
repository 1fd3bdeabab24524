package lacerouter

import (
	"context"
	"net"
	"sync"
	"testing"
)

// direction says what a relay drops.
type direction int

const (
	requests direction = iota
	answers
)

// relay is a TCP hop in front of the peer port of a router. A cut direction is silent, as in a partition: connections
// stay open and nothing arrives. Connections that lost bytes are closed when the cut ends.
type relay struct {
	address string
	target  string
	mu      sync.Mutex
	cut     [2]bool
	healed  chan struct{}
	open    map[net.Conn]struct{}
	done    sync.WaitGroup
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		address: l.Addr().String(),
		target:  target,
		healed:  make(chan struct{}),
		open:    map[net.Conn]struct{}{},
	}
	r.done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.done.Go(func() { r.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		r.set()
		r.mu.Lock()
		for c := range r.open {
			_ = c.Close()
		}
		r.open = nil
		r.mu.Unlock()
		r.done.Wait()
	})
	return r
}

// set replaces the cut directions.
func (r *relay) set(cut ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = [2]bool{}
	for _, d := range cut {
		r.cut[d] = true
	}
	close(r.healed)
	r.healed = make(chan struct{})
}

// keep notes a connection until it is dropped; false means that the relay has ended.
func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *relay) serve(near net.Conn) {
	defer r.drop(near)
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.target)
	if err != nil {
		return
	}
	defer r.drop(far)
	if !r.keep(near) || !r.keep(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, near, requests) })
	both.Go(func() { r.copy(near, far, answers) })
	both.Wait()
}

// copy passes bytes on until either side ends or bytes were dropped.
func (r *relay) copy(to, from net.Conn, d direction) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil || r.lost(d) {
			return
		}
		if _, err = to.Write(b[:n]); err != nil {
			return
		}
	}
}

// lost waits out a cut and reports whether there was one.
func (r *relay) lost(d direction) bool {
	for lost := false; ; lost = true {
		r.mu.Lock()
		cut, healed := r.cut[d], r.healed
		r.mu.Unlock()
		if !cut {
			return lost
		}
		<-healed
	}
}
