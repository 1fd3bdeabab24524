package lacesoak

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// At testMbits, one direction transmits transferBytes in a quarter of a second, and those of two connections in
	// half a second.
	testMbits     = 1
	transferBytes = testMbits * bytesPerMbit / 4
	// minSharedTime is a lower bound for the transfer time of two connections that share the link.
	minSharedTime = (2*transferBytes - packetBytes) * time.Second / (testMbits * bytesPerMbit)
)

func newListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// transferTime sends bytes on two connections concurrently and returns the time until both have been received
// completely.
func transferTime(t *testing.T, l *link, accept func(net.Conn) net.Conn, directions directionFunc) time.Duration {
	t.Helper()
	target := newListener(t)
	address := target.Addr().String()
	if directions != nil {
		reserved := newListener(t)
		address = reserved.Addr().String()
		_ = reserved.Close() // This releases the port for the link.
		if err := l.proxy(laceunit.Address(address), laceunit.Address(target.Addr().String()), directions); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	done := make(chan error, 2)
	for range 2 {
		c := dial(t, address)
		server, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		server = accept(server)
		t.Cleanup(func() { _ = server.Close() })
		go func() { _, _ = c.Write(make([]byte, transferBytes)) }() // The reader detects missing bytes.
		go func() {
			_, err := io.ReadFull(server, make([]byte, transferBytes))
			done <- err
		}()
	}
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	return time.Since(start)
}

// transmitted reports whether any data passed a direction of a link, which is what delays data.
func (d *direction) transmitted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.idleAt.IsZero()
}

// Guards against connections of the instance that don't share its link or that bypass it, and against a link that
// delays connections of others.
func TestConnectionsShareTheLink(t *testing.T) {
	unwrapped := func(c net.Conn) net.Conn { return c }
	for name, x := range map[string]struct {
		pid        int
		accept     func(*link) func(net.Conn) net.Conn
		directions func(*link) directionFunc
		shared     bool
	}{
		"to the instance": {directions: func(l *link) directionFunc { return l.inbound }, shared: true},
		"from the instance": {
			pid:        os.Getpid(),
			directions: func(l *link) directionFunc { return l.outboundIfOwned },
			shared:     true,
		},
		"from others": {
			pid:        os.Getppid(),
			directions: func(l *link) directionFunc { return l.outboundIfOwned },
		},
		"from the instance to a server": {
			pid:    os.Getpid(),
			accept: func(l *link) func(net.Conn) net.Conn { return l.wrap },
			shared: true,
		},
		"from others to a server": {
			pid:    os.Getppid(),
			accept: func(l *link) func(net.Conn) net.Conn { return l.wrap },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLink(testMbits)
			l.pid = func() int { return x.pid }
			t.Cleanup(l.close)
			accept, directions := unwrapped, directionFunc(nil)
			if x.accept != nil {
				accept = x.accept(l)
			}
			if x.directions != nil {
				directions = x.directions(l)
			}
			d := transferTime(t, l, accept, directions)
			if x.shared && d < minSharedTime {
				t.Errorf("two transfers of %d bytes took %s at %d Mbit/s", transferBytes, d, testMbits)
			}
			if !x.shared && (l.in.transmitted() || l.out.transmitted()) {
				t.Errorf("the link transmitted data of two transfers by others")
			}
		})
	}
}
