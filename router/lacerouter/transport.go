package lacerouter

import (
	"crypto/tls"
	"net/http"
	"time"

	"lacewingcove/lib/lacetls"
)

const (
	// peerConnections keeps enough idle connections to the writer of a shard for a full instance.
	peerConnections = 64
	peerIdle        = 2 * time.Minute
	// peerDial bounds connection and handshake: a dial goes on after the call that asked for it has been given up.
	peerDial = 5 * time.Second
)

// peerTransport is how this instance talks to others.
type peerTransport struct {
	client *http.Client
	server *tls.Config
	scheme string
}

func newPeerTransport(source *lacetls.Source) peerTransport {
	transport := &http.Transport{
		MaxIdleConnsPerHost: peerConnections,
		IdleConnTimeout:     peerIdle,
	}
	p := peerTransport{
		client: &http.Client{Transport: transport},
		scheme: "http",
	}
	if source != nil {
		transport.DialTLSContext = source.Dialer(peerDial)
		p.server = source.MutualServerConfig()
		p.scheme = "https"
	}
	return p
}

// Close closes the idle connections.
func (p peerTransport) Close() error {
	p.client.CloseIdleConnections()
	return nil
}
