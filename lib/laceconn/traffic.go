package laceconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// Traffic counts the bytes of connections; a nil one counts nothing.
type Traffic struct {
	in, out atomic.Int64
}

// Bytes returns how many bytes were read and written so far.
func (t *Traffic) Bytes() (in, out int64) { return t.in.Load(), t.out.Load() }

// Conn returns a connection whose bytes are counted.
func (t *Traffic) WrapConn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &counted{
		Conn:    c,
		traffic: t,
	}
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) WrapListener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &countedListener{
		Listener: l,
		traffic:  t,
	}
}

type counted struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn, by which idle connections are looked at without reading.
func (c *counted) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.WrapConn(c), nil
}

// Dial opens a connection to the store or another instance, whose bytes are counted.
func (t *Traffic) DialControl(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dial(ctx, network, address, controlTimeout)
	if err != nil {
		return nil, err
	}
	return t.WrapConn(c), nil
}
