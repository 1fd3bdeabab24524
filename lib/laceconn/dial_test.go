package laceconn

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// starveCPU limits this process to one CPU and keeps it busy. A goroutine is then rescheduled only after 10 ms for each
// busy goroutine.
func starveCPU(goroutines int) (stop func()) {
	var stopped atomic.Bool
	var group sync.WaitGroup
	previous := runtime.GOMAXPROCS(1)
	for range goroutines {
		group.Go(func() {
			for !stopped.Load() {
			}
		})
	}
	return func() {
		stopped.Store(true)
		group.Wait()
		runtime.GOMAXPROCS(previous)
	}
}

// Guards against treating a healthy server as unreachable because this process is short of CPU time and notices late
// that the connection is established. Callers got a 503 for this reason in a platform test on a loaded machine.
func TestDialSucceedsUnderCPUStarvation(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(laceunit.Address(l.Addr().String()), 0)
	defer starveCPU(60)()
	for range 4 {
		c, err := p.Get(context.Background())
		if err != nil {
			t.Fatalf("connecting to a server that accepts connections: %v", err)
		}
		c.Discard()
	}
}

// Guards against waiting until the request's deadline for a server that never completes the handshake.
func TestUnansweredHandshakeTimesOut(t *testing.T) {
	address := listenWithFullBacklog(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*dialTimeout)
	defer cancel()
	started := time.Now()
	c, err := NewPool(address, 0).Get(ctx)
	if err == nil {
		c.Discard()
		t.Fatal("connected to a server that does not answer handshakes")
	}
	if elapsed := time.Since(started); !errors.Is(err, ErrNotSent) || ctx.Err() != nil || elapsed < dialTimeout {
		t.Errorf("failed after %s, limit %s: %v", elapsed, 10*dialTimeout, err)
	}
}

// Guards against a handshake that is given up behind a saturated link while the request has time left, and against one
// that leaves no time for another server.
func TestDelayedHandshakeTakesLonger(t *testing.T) {
	for _, c := range []struct{ remaining, least, most time.Duration }{
		{10 * time.Second, maxDelayedDialTimeout, 4 * maxDelayedDialTimeout},
		{4 * dialTimeout, 2*dialTimeout - 50*time.Millisecond, 4 * dialTimeout},
	} {
		p := NewPool(listenWithFullBacklog(t), 0)
		p.ExtendHandshakes(func() bool { return true })
		ctx, cancel := context.WithTimeout(context.Background(), c.remaining)
		started := time.Now()
		_, err := p.Get(ctx)
		if elapsed := time.Since(started); !errors.Is(err, ErrHandshakeTimeout) || elapsed < c.least || elapsed > c.most {
			t.Errorf("remaining %s: failed after %s: %v", c.remaining, elapsed, err)
		}
		cancel()
	}
}

// Guards against requests that wait for a handshake behind a saturated link although an open connection is idle.
func TestIdleConnectionEndsDelayedHandshake(t *testing.T) {
	p := NewPool(listenWithFullBacklog(t), 0)
	p.ExtendHandshakes(func() bool { return true })
	near, far := net.Pipe()
	defer far.Close()
	open := &Conn{
		net:    NewResponseConn(near),
		pool:   p,
		reader: bufio.NewReader(near),
	}
	got := make(chan *Conn)
	go func() {
		c, err := p.Get(context.Background())
		if err != nil {
			t.Errorf("no connection: %v", err)
		}
		got <- c
	}()
	for waiting := 0; waiting == 0; runtime.Gosched() {
		p.mu.Lock()
		waiting = len(p.waiting)
		p.mu.Unlock()
	}
	p.putIdle(open, time.Minute)
	c := <-got
	if c != open {
		t.Error("the idle connection was not used")
	}
	if c != nil {
		c.Release()
	}
	if p.takeIdle() != open {
		t.Error("a released connection is not idle")
	}
	open.Discard()
}

// listenWithFullBacklog returns the address of a listening socket whose accept backlog is full, so that the kernel
// doesn't answer further handshakes.
func listenWithFullBacklog(t *testing.T) laceunit.Address {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err = syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	in, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("unexpected socket address %v", bound)
	}
	address := (&net.TCPAddr{
		IP:   net.IP(in.Addr[:]),
		Port: in.Port,
	}).String()
	// A backlog of 0 holds one connection.
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { first.Close() })
	return laceunit.Address(address)
}
