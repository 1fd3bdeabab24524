package laceconn

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Traffic counts the bytes that are read from and written to connections. A nil Traffic counts nothing.
type Traffic struct {
	in, out atomic.Int64
}

// Bytes returns how many bytes have been read and written.
func (t *Traffic) Bytes() (in, out int64) { return t.in.Load(), t.out.Load() }

// WrapConn returns a connection that counts the bytes of c.
func (t *Traffic) WrapConn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{
		Conn:    c,
		traffic: t,
	}
}

// WrapListener returns a listener that counts the bytes of the connections that l accepts.
func (t *Traffic) WrapListener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &countedListener{
		Listener: l,
		traffic:  t,
	}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// CloseWrite closes the sending side, so that the peer reads what was sent before a reset can discard it.
func (c *countedConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return w.CloseWrite()
}

// SyscallConn implements syscall.Conn, which Conn.isReusable needs to check idle connections without reading from them.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
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

// DialControl opens a connection to the store or another instance and counts its bytes.
func (t *Traffic) DialControl(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dial(ctx, network, address, func(time.Duration) time.Duration { return controlDialTimeout })
	if err != nil {
		return nil, err
	}
	return t.WrapConn(c), nil
}
