package lacerouter

import (
	"crypto/tls"
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacetls"
)

const (
	// maxIdlePeerConnections is enough idle connections to the writer of a shard for a fully loaded instance.
	maxIdlePeerConnections = 64
	peerIdleTimeout        = 2 * time.Minute
	// peerDialTimeout bounds the connection setup and the TLS handshake: a dial continues after the call that started
	// it has been canceled.
	peerDialTimeout = 5 * time.Second
	// maxPeerResponseBytes bounds a response of another instance; the bindings of 340 members take 8.4 MB.
	maxPeerResponseBytes = 64 << 20
)

// peerTransport holds the HTTP client and the TLS configuration for calls between instances.
type peerTransport struct {
	client    *http.Client
	serverTLS *tls.Config
	scheme    string
}

func newPeerTransport(source *lacetls.Source) peerTransport {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePeerConnections,
		IdleConnTimeout:     peerIdleTimeout,
	}
	p := peerTransport{scheme: "http"}
	if source != nil {
		transport.DialTLSContext = source.Dialer(peerDialTimeout)
		p.serverTLS = source.MutualServerConfig()
		p.scheme = "https"
	}
	p.client = &http.Client{Transport: laceconn.NewTransport(transport, maxPeerResponseBytes)}
	return p
}

// Close closes the idle connections.
func (p peerTransport) Close() error {
	p.client.CloseIdleConnections()
	return nil
}
