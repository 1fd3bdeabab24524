package laceconn

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// ErrResponseTooLong means that the body of a response exceeds the limit of a Transport.
var ErrResponseTooLong = errors.New("conn: response is too long")

// Transport is an http.RoundTripper that sends requests by net/http on connections of type ResponseConn, and limits the
// size of response bodies. It is for calls to the store, to other instances and to the control interfaces of servers;
// requests of callers use Pool.
type Transport struct {
	base         *http.Transport
	maxBodyBytes int64
}

// NewTransport returns a transport that takes over base. A response body of more than maxBodyBytes fails with
// ErrResponseTooLong after that many bytes; zero means no limit.
func NewTransport(base *http.Transport, maxBodyBytes int64) *Transport {
	dialContext, dialTLS := base.DialContext, base.DialTLSContext
	if dialContext == nil {
		dialContext = NewDialer(0).DialContext
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
	return &Transport{
		base:         base,
		maxBodyBytes: maxBodyBytes,
	}
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
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	checkTrailer(response)
	if t.maxBodyBytes > 0 {
		response.Body = &limitedBody{
			ReadCloser: response.Body,
			remaining:  t.maxBodyBytes,
		}
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// limitedBody is a response body that fails when it is longer than its limit.
type limitedBody struct {
	io.ReadCloser
	// remaining is how many bytes may be read.
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	// One byte more shows whether the body is longer.
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.remaining {
		n, err = int(b.remaining), ErrResponseTooLong
	}
	b.remaining -= int64(n)
	return n, err
}
