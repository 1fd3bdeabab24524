package laceconn

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Contact is the result of an attempt to open a connection to a server.
type Contact int

// Values of Contact.
const (
	// ContactNone means that the handshake was not answered.
	ContactNone Contact = iota
	// ContactRefused means that the connection was refused or reset.
	ContactRefused
	// ContactMade means that the connection was accepted and stayed open for probeHold.
	ContactMade
)

// Contact opens a connection to the server and closes it. The handshake has the timeout of those for requests.
func (p *Pool) Contact(ctx context.Context) Contact {
	conn, err := dial(ctx, "tcp", string(p.address), p.handshakeTimeout(ctx))
	switch {
	case errors.Is(err, ErrHandshakeTimeout) || err != nil && ctx.Err() != nil:
		return ContactNone
	case err != nil:
		return ContactRefused
	}
	defer conn.Close()
	if !staysOpen(conn, time.Now().Add(probeHold)) {
		return ContactRefused
	}
	return ContactMade
}
