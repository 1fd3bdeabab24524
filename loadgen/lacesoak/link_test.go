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
	// slowMbits makes linkBytes take a quarter of a second through one direction, and those of two connections half a second.
	slowMbits = 1
	linkBytes = slowMbits * megabit / 4
	// linkTime is when the last packet of two connections that share the link is through.
	linkTime = (2*linkBytes - packet) * time.Second / (slowMbits * megabit)
)

func listener(t *testing.T) net.Listener {
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

// took sends bytes on two connections at once and returns when both have all of it.
func took(t *testing.T, l *link, accept func(net.Conn) net.Conn, w way) time.Duration {
	t.Helper()
	sink := listener(t)
	address := sink.Addr().String()
	if w != nil {
		front := listener(t)
		address = front.Addr().String()
		_ = front.Close() // Its port is free again.
		if err := l.front(laceunit.Address(address), laceunit.Address(sink.Addr().String()), w); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	ended := make(chan error, 2)
	for range 2 {
		c := dial(t, address)
		far, err := sink.Accept()
		if err != nil {
			t.Fatal(err)
		}
		far = accept(far)
		t.Cleanup(func() { _ = far.Close() })
		go func() { _, _ = c.Write(make([]byte, linkBytes)) }() // The reader finds what is missing.
		go func() {
			_, err := io.ReadFull(far, make([]byte, linkBytes))
			ended <- err
		}()
	}
	for range 2 {
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	return time.Since(began)
}

// Guards against connections of the instance that don't share its link, or that bypass it, and against others that it slows.
func TestConnectionsShareTheLink(t *testing.T) {
	plain := func(c net.Conn) net.Conn { return c }
	for name, x := range map[string]struct {
		process int
		accept  func(*link) func(net.Conn) net.Conn
		way     func(*link) way
		shared  bool
	}{
		"to the instance":       {way: func(l *link) way { return l.inward }, shared: true},
		"from it":               {process: os.Getpid(), way: func(l *link) way { return l.mixed }, shared: true},
		"of others":             {process: os.Getppid(), way: func(l *link) way { return l.mixed }},
		"from it to a server":   {process: os.Getpid(), accept: func(l *link) func(net.Conn) net.Conn { return l.through }, shared: true},
		"of others to a server": {process: os.Getppid(), accept: func(l *link) func(net.Conn) net.Conn { return l.through }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLink(slowMbits)
			l.process = func() int { return x.process }
			t.Cleanup(l.close)
			accept, w := plain, way(nil)
			if x.accept != nil {
				accept = x.accept(l)
			}
			if x.way != nil {
				w = x.way(l)
			}
			d := took(t, l, accept, w)
			if x.shared && d < linkTime {
				t.Errorf("twice %d bytes took %s through %d Mbit/s", linkBytes, d, slowMbits)
			}
			if !x.shared && d > linkTime {
				t.Errorf("twice %d bytes took %s without the link", linkBytes, d)
			}
		})
	}
}
