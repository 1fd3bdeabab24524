package laceconn

import (
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
