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
	presence, ended := p.probeOnce(ctx, until)
	if !ended {
		return presence
	}
	// The process has closed the connection, or has ended.
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return PresenceUnknown
	case <-timer.C:
	}
	presence, _ = p.probeOnce(ctx, until)
	return presence
}

// probeOnce opens a connection, and returns also whether the remote side ended it before a point in time.
func (p *Pool) probeOnce(ctx context.Context, until time.Time) (presence Presence, ended bool) {
	conn, err := Dial(ctx, "tcp", string(p.address))
	switch {
	case err == nil:
		defer conn.Close()
		return Present, !staysOpen(conn, until)
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refusing, false
	default:
		// A listener that closes during the handshake resets the connection.
		return PresenceUnknown, errors.Is(err, syscall.ECONNRESET)
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
