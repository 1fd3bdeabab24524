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
	// packetBytes is the unit in which a link transmits, windowBytes the size of a connection's socket buffers, which
	// bound its data in flight.
	packetBytes = 1448
	windowBytes = 32 << 10
	// bytesPerMbit converts Mbit/s to bytes per second.
	bytesPerMbit = 1_000_000 / 8
)

// link emulates the slow network link of an instance's machine: all connections of the instance share its bandwidth,
// and their packets are transmitted in the order of arrival.
type link struct {
	in, out direction
	// running counts the goroutines of listeners and connections.
	running sync.WaitGroup

	mu sync.Mutex
	// pid returns the process id of the instance, 0 if none has been started.
	pid       func() int
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

// direction is one direction of a link. It transmits one packet at a time; a nil direction has no delay.
type direction struct {
	bytesPerSecond float64

	mu sync.Mutex
	// idleAt is when the transmission of all accepted packets is complete.
	idleAt time.Time
}

func newLink(mbits float64) *link {
	l := &link{
		pid:   func() int { return 0 },
		conns: map[net.Conn]struct{}{},
	}
	l.in.bytesPerSecond, l.out.bytesPerSecond = mbits*bytesPerMbit, mbits*bytesPerMbit
	return l
}

// transmit blocks until a packet of n bytes has been transmitted.
func (d *direction) transmit(n int) {
	if d == nil || n == 0 {
		return
	}
	d.mu.Lock()
	if now := time.Now(); now.After(d.idleAt) {
		d.idleAt = now
	}
	d.idleAt = d.idleAt.Add(time.Duration(float64(n) / d.bytesPerSecond * float64(time.Second)))
	wait := time.Until(d.idleAt)
	d.mu.Unlock()
	<-time.After(wait)
}

// directionFunc returns the directions that a connection uses, seen from the client that opened it: toServer carries
// its requests and toClient the responses.
type directionFunc func(client net.Conn) (toServer, toClient *direction)

// inbound is the directionFunc of connections to the instance.
func (l *link) inbound(net.Conn) (toServer, toClient *direction) { return &l.in, &l.out }

// outbound is the directionFunc of connections that the instance opens.
func (l *link) outbound(net.Conn) (toServer, toClient *direction) { return &l.out, &l.in }

// outboundIfOwned is the directionFunc of connections to another instance: only those that the instance behind the link
// opens use it.
func (l *link) outboundIfOwned(client net.Conn) (toServer, toClient *direction) {
	if l.owns(client) {
		return l.outbound(client)
	}
	return nil, nil
}

// proxy listens at an address and forwards connections to another address.
func (l *link) proxy(at, to laceunit.Address, directions directionFunc) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(at))
	if err != nil {
		return errors.Wrap(err, "soak: link")
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	l.running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			l.running.Go(func() { l.proxyConn(client, to, directions) })
		}
	})
	return nil
}

// proxyConn forwards a connection until either end closes it. If the target refuses the connection, the client's end is
// reset, as by a machine on which nothing listens.
func (l *link) proxyConn(client net.Conn, to laceunit.Address, directions directionFunc) {
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", string(to))
	if err != nil {
		if t, ok := client.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // On an error, the close below has to do.
		}
		_ = client.Close()
		return
	}
	if !l.track(client, server) {
		return
	}
	toServer, toClient := directions(client)
	var both sync.WaitGroup
	both.Go(func() { forward(client, server, toServer) })
	both.Go(func() { forward(server, client, toClient) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, client)
	delete(l.conns, server)
}

// track registers connections and sets the sizes of their buffers. It closes them and returns false if the link is
// closed.
func (l *link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		setBufferSizes(c)
		l.conns[c] = struct{}{}
		if l.closed {
			_ = c.Close()
		}
	}
	return !l.closed
}

// setBufferSizes gives a connection the small socket buffers of a slow link; on an error it keeps the default sizes.
func setBufferSizes(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_, _ = t.SetReadBuffer(windowBytes), t.SetWriteBuffer(windowBytes)
	}
}

// forward copies bytes from one connection to another in a direction of the link.
func forward(from, to net.Conn, d *direction) {
	defer func() { _, _ = to.Close(), from.Close() }() // The other direction closes them as well.
	buffer := make([]byte, packetBytes)
	for {
		n, err := from.Read(buffer)
		d.transmit(n)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// wrap returns a connection that a backend server has accepted. If the instance behind the link opened it, its data
// passes the link.
func (l *link) wrap(c net.Conn) net.Conn {
	if l == nil || !l.owns(c) {
		return c
	}
	setBufferSizes(c)
	return &linkConn{
		Conn: c,
		link: l,
	}
}

// linkConn is the server's end of a connection that the instance behind the link opened.
type linkConn struct {
	net.Conn
	link *link
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	c.link.out.transmit(n)
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), packetBytes)]
		c.link.in.transmit(len(part))
		n := 0
		n, err = c.Conn.Write(part)
		written, p = written+n, p[n:]
	}
	return written, err
}

// SetLinger sets the linger time, with which a server resets the connection; net.Conn does not have it.
func (c *linkConn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// owns reports whether the remote end of a loopback connection is a socket of the instance's process.
func (l *link) owns(c net.Conn) bool {
	local, localOK := c.LocalAddr().(*net.TCPAddr)
	remote, remoteOK := c.RemoteAddr().(*net.TCPAddr)
	l.mu.Lock()
	pidFunc := l.pid
	l.mu.Unlock()
	pid := pidFunc()
	if !localOK || !remoteOK || pid == 0 {
		return false
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	return hasSocket(pid, socketInode(string(table), remote.Port, local.Port))
}

// socketInode returns the inode of the socket with a local and a remote port in a table of the format of /proc/net/tcp,
// or an empty string.
func socketInode(table string, local, remote int) string {
	// Columns of the addresses and the inode in /proc/net/tcp, see proc(5).
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

// hasSocket reports whether a process has the socket with an inode open.
func hasSocket(pid int, inode string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || inode == "" {
		return false
	}
	for _, f := range files {
		// Readlink fails for a file that has been closed since the listing; it is not the socket.
		if name, err := os.Readlink(f); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// close closes all listeners and connections and waits for their goroutines.
func (l *link) close() {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.closed = true
	for _, x := range l.listeners {
		_ = x.Close() // An error does not matter: no more connections are accepted.
	}
	for c := range l.conns {
		_ = c.Close() // It may be closed already.
	}
	l.mu.Unlock()
	l.running.Wait()
}
