package laceconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Presence is what a new connection to an address has shown.
type Presence int

// The results of a probe.
const (
	// PresenceUnknown means that the machine did not answer in time.
	PresenceUnknown Presence = iota
	// Present means that a process listens at the address.
	Present
	// Refusing means that the machine answers and refuses the connection, so that no process listens.
	Refusing
)

// probeHold is how long a process must be seen to listen. One that ends closes its connections and its listener one after
// the other, so that its listener may still accept a connection after another one has ended.
const probeHold = 20 * time.Millisecond

// Probe reports whether a process listens at the server's address, and goes on to do so for probeHold.
func (p *Pool) Probe(ctx context.Context) Presence {
	until := time.Now().Add(probeHold)
	conn, presence := p.probeOnce(ctx)
	if presence != Present {
		return presence
	}
	defer conn.Close()
	if staysOpen(conn, until) {
		return Present
	}
	// The process has closed the connection, or has ended.
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return PresenceUnknown
	case <-timer.C:
	}
	second, presence := p.probeOnce(ctx)
	if presence == Present {
		second.Close()
	}
	return presence
}

// probeOnce opens a connection, which the caller must close if the result is Present.
func (p *Pool) probeOnce(ctx context.Context) (net.Conn, Presence) {
	conn, err := Dial(ctx, "tcp", string(p.address))
	switch {
	case err == nil:
		return conn, Present
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Refusing
	default:
		return nil, PresenceUnknown
	}
}

// staysOpen reports whether the remote side does not close a connection until a point in time.
func staysOpen(conn net.Conn, until time.Time) bool {
	if conn.SetReadDeadline(until) != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	return err == nil || errors.As(err, &netErr) && netErr.Timeout()
}
