package lacesoak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

const (
	// packet is what passes a link at once, in bytes, and window what a connection may have on its way.
	packet = 1448
	window = 32 << 10
	// megabit is a rate of one Mbit/s in bytes a second.
	megabit = 1_000_000 / 8
)

// link is the narrow link of an instance's machine: all connections of the instance share what it carries, in the order in
// which their packets come.
type link struct {
	in, out direction
	work    sync.WaitGroup

	mu sync.Mutex
	// process returns the instance's process, 0 for none.
	process   func() int
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

// direction passes packets one after the other. A nil one passes them at once.
type direction struct {
	// rate is in bytes a second.
	rate float64

	mu sync.Mutex
	// free is when the link has passed what it was given.
	free time.Time
}

func newLink(mbits float64) *link {
	l := &link{
		process: func() int { return 0 },
		conns:   map[net.Conn]struct{}{},
	}
	l.in.rate, l.out.rate = mbits*megabit, mbits*megabit
	return l
}

// pass waits until a packet is through.
func (d *direction) pass(n int) {
	if d == nil || n == 0 {
		return
	}
	d.mu.Lock()
	if now := time.Now(); now.After(d.free) {
		d.free = now
	}
	d.free = d.free.Add(time.Duration(float64(n) / d.rate * float64(time.Second)))
	wait := time.Until(d.free)
	d.mu.Unlock()
	<-time.After(wait)
}

// way tells which directions a connection begins with and answers with.
type way func(near net.Conn) (forth, back *direction)

// inward is the way of connections to the instance, outward that of its own ones.
func (l *link) inward(net.Conn) (forth, back *direction) { return &l.in, &l.out }

func (l *link) outward(net.Conn) (forth, back *direction) { return &l.out, &l.in }

// mixed is the way of connections to another instance: those of other processes don't pass the link.
func (l *link) mixed(near net.Conn) (forth, back *direction) {
	if l.owns(near) {
		return l.outward(near)
	}
	return nil, nil
}

// front listens at an address and passes connections on to another one.
func (l *link) front(at, to laceunit.Address, w way) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(at))
	if err != nil {
		return errors.Wrap(err, "soak: link")
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	l.work.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			l.work.Go(func() { l.join(near, to, w) })
		}
	})
	return nil
}

// join passes a connection on until one of its ends is closed. One that can't be opened is reset, as by a machine without a
// listener.
func (l *link) join(near net.Conn, to laceunit.Address, w way) {
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", string(to))
	if err != nil {
		if t, ok := near.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // The close below is enough where it fails.
		}
		_ = near.Close()
		return
	}
	if !l.keep(near, far) {
		return
	}
	forth, back := w(near)
	var both sync.WaitGroup
	both.Go(func() { forward(near, far, forth) })
	both.Go(func() { forward(far, near, back) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, near)
	delete(l.conns, far)
}

// keep notes connections and gives them small windows; it closes them when the link is closed.
func (l *link) keep(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		shrink(c)
		l.conns[c] = struct{}{}
		if l.closed {
			_ = c.Close()
		}
	}
	return !l.closed
}

// shrink gives a connection the small windows of a narrow link; the system's own sizes hold if it fails.
func shrink(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_, _ = t.SetReadBuffer(window), t.SetWriteBuffer(window)
	}
}

// forward passes the bytes of one connection on to another.
func forward(from, to net.Conn, d *direction) {
	defer func() { _, _ = to.Close(), from.Close() }() // The other direction closes them as well.
	buffer := make([]byte, packet)
	for {
		n, err := from.Read(buffer)
		d.pass(n)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// through returns a connection that a backend server has accepted, as it comes through the link if it is the instance's.
func (l *link) through(c net.Conn) net.Conn {
	if l == nil || !l.owns(c) {
		return c
	}
	shrink(c)
	return &narrowed{
		Conn: c,
		link: l,
	}
}

// narrowed is a server's end of a connection of the instance.
type narrowed struct {
	net.Conn
	link *link
}

// Read implements net.Conn.
func (c *narrowed) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), packet)])
	c.link.out.pass(n)
	return n, err
}

// Write implements net.Conn.
func (c *narrowed) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), packet)]
		c.link.in.pass(len(part))
		n := 0
		n, err = c.Conn.Write(part)
		written, p = written+n, p[n:]
	}
	return written, err
}

// SetLinger lets a server reset the connection.
func (c *narrowed) SetLinger(seconds int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// owns reports whether the other end of a loopback connection is a socket of the instance's process.
func (l *link) owns(c net.Conn) bool {
	here, hereOK := c.LocalAddr().(*net.TCPAddr)
	there, thereOK := c.RemoteAddr().(*net.TCPAddr)
	l.mu.Lock()
	process := l.process
	l.mu.Unlock()
	pid := process()
	if !hereOK || !thereOK || pid == 0 {
		return false
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	return holds(pid, inode(string(table), there.Port, here.Port))
}

// inode returns the inode of the socket with two ports in a table of the system's connections.
func inode(table string, local, remote int) string {
	// The columns of the addresses and of the inode in /proc/net/tcp, see proc(5).
	const localColumn, remoteColumn, inodeColumn = 1, 2, 9
	for row := range strings.Lines(table) {
		f := strings.Fields(row)
		if len(f) > inodeColumn && strings.HasSuffix(f[localColumn], fmt.Sprintf(":%04X", local)) &&
			strings.HasSuffix(f[remoteColumn], fmt.Sprintf(":%04X", remote)) {
			return f[inodeColumn]
		}
	}
	return ""
}

// holds reports whether a process has a socket open.
func holds(pid int, inode string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || inode == "" {
		return false
	}
	for _, f := range files {
		// A file that was closed meanwhile is not the socket.
		if name, err := os.Readlink(f); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// close ends all connections and waits for them.
func (l *link) close() {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.closed = true
	for _, x := range l.listeners {
		_ = x.Close() // Nothing is left to accept.
	}
	for c := range l.conns {
		_ = c.Close() // The other end may have closed it.
	}
	l.mu.Unlock()
	l.work.Wait()
}
