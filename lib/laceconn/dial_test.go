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

// starve keeps the only processor of this process busy: between two turns of a goroutine lie 10 ms for each busy one.
func starve(busy int) (end func()) {
	var stop atomic.Bool
	var group sync.WaitGroup
	former := runtime.GOMAXPROCS(1)
	for range busy {
		group.Go(func() {
			for !stop.Load() {
			}
		})
	}
	return func() {
		stop.Store(true)
		group.Wait()
		runtime.GOMAXPROCS(former)
	}
}

// Guards against a sound server that counts as unreachable because this process is short of processor time and learns
// late that the connection is open. Callers were refused with 503 by TestIncompleteResponsesAreNotForwarded beside a
// loaded machine.
func TestStarvedProcessReachesSoundServers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(laceunit.Address(l.Addr().String()), 0)
	defer starve(60)()
	for range 4 {
		c, err := p.Get(context.Background())
		if err != nil {
			t.Fatalf("a server that accepts connections: %v", err)
		}
		c.Discard()
	}
}

// Guards against a server that never completes a handshake and is waited for until the request's time is over.
func TestUnansweredHandshakeIsGivenUp(t *testing.T) {
	address := unanswering(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*dialTimeout)
	defer cancel()
	began := time.Now()
	c, err := NewPool(address, 0).Get(ctx)
	if err == nil {
		c.Discard()
		t.Fatal("a server that does not answer was reached")
	}
	if took := time.Since(began); !errors.Is(err, ErrNotSent) || ctx.Err() != nil || took < dialTimeout {
		t.Errorf("given up after %s of at most %s: %v", took, 10*dialTimeout, err)
	}
}

// unanswering returns the address of a socket that has no place for a further connection, so that the system leaves
// handshakes unanswered.
func unanswering(t *testing.T) laceunit.Address {
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
		t.Fatalf("socket at %v", bound)
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
