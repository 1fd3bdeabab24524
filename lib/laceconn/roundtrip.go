package laceconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// Transport is an http.RoundTripper that sends requests by net/http on connections of type ResponseConn. It is for calls to
// the store, to other instances and to the control interfaces of servers; requests of callers use Pool.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that takes over base.
func NewTransport(base *http.Transport) *Transport {
	dialContext, dialTLS := base.DialContext, base.DialTLSContext
	if dialContext == nil {
		dialContext = (&net.Dialer{}).DialContext
	}
	if dialTLS == nil {
		// net/http would encrypt the bytes above a ResponseConn.
		dialTLS = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return startTLS(ctx, c, address, base)
		}
	}
	base.DialContext, base.DialTLSContext = wrapDial(dialContext), wrapDial(dialTLS)
	return &Transport{base: base}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewResponseConn(c), nil
	}
}

// startTLS does a TLS handshake with the configuration and the timeout of a transport. It closes the connection on error.
func startTLS(ctx context.Context, c net.Conn, address string, t *http.Transport) (net.Conn, error) {
	config := &tls.Config{}
	if t.TLSClientConfig != nil {
		config = t.TLSClientConfig.Clone()
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			c.Close()
			return nil, errors.Wrap(err, "conn: address")
		}
		config.ServerName = host
	}
	if t.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer cancel()
	}
	encrypted := tls.Client(c, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, errors.Wrap(err, "conn: TLS handshake")
	}
	return encrypted, nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// The previous response on a connection has been read when net/http uses it for another request.
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*ResponseConn); ok {
				c.ExpectResponse()
			}
		},
	})
	return t.base.RoundTrip(r.WithContext(ctx))
}

// CloseIdleConnections closes the idle connections; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
