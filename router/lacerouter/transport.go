package lacerouter

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"lacewingcove/lib/lacesetting"
	"lacewingcove/lib/lacetls"
)

const (
	// peerConnections keeps enough idle connections to the writer of a shard for a full instance.
	peerConnections = 64
	peerIdle        = 2 * time.Minute
)

// certificates returns the source of a set of TLS files, or nothing when none are named.
func certificates(files lacesetting.TLS, logger logr.Logger) (*lacetls.Source, error) {
	if files.IsZero() {
		return nil, nil //nolint:nilnil // no files means plain text, which is not an error
	}
	return lacetls.New(lacetls.Files{
		Certificate: files.Certificate,
		Key:         files.Key,
		Authority:   files.Authority,
	}, lacetls.WithNotice(func(err error) {
		if err != nil {
			logger.Error(err, "certificates not reloaded")
			return
		}
		logger.Info("certificates reloaded")
	}))
}

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
		transport.TLSClientConfig = source.MutualClient()
		p.server = source.MutualServer()
		p.scheme = "https"
	}
	return p
}

// Close closes the idle connections.
func (p peerTransport) Close() error {
	p.client.CloseIdleConnections()
	return nil
}
