package lacebackend

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Bounds limit what a backend server can make the instance hold or wait for; zero fields take their defaults.
type Limits struct {
	// Line is the largest event of a stream and Stream the largest stream, in bytes.
	MaxEventBytes  int
	MaxStreamBytes int64
	// Reply is the largest answer of a plain service and Page the largest status or load report, in bytes.
	MaxReplyBytes   int64
	MaxControlBytes int64
	// Dial bounds the connection, Control a status, load or cancel call.
	DialTimeout    time.Duration
	ControlTimeout time.Duration
	// Idle bounds the time between two chunks, Tail the time from the end marker to the end of the answer.
	IdleTimeout time.Duration
	EndTimeout  time.Duration
	// Whole bounds an Invoke whose context has no deadline.
	InvokeTimeout time.Duration
}

// DefaultBounds returns the bounds that a client has without options.
func DefaultLimits() Limits {
	return Limits{
		MaxEventBytes:   64 << 10,
		MaxStreamBytes:  16 << 20,
		MaxReplyBytes:   8 << 20,
		MaxControlBytes: 1 << 20,
		DialTimeout:     time.Second,
		ControlTimeout:  2 * time.Second,
		IdleTimeout:     30 * time.Second,
		EndTimeout:      time.Second,
		InvokeTimeout:   30 * time.Second,
	}
}

// Option changes a client at construction.
type Option func(*HTTPClient)

// WithBounds sets the bounds.
func WithLimits(bounds Limits) Option {
	return func(h *HTTPClient) { h.bounds = bounds }
}

// WithTLS sets the TLS configuration for servers whose address has the scheme https.
func WithTLS(config *tls.Config) Option {
	return func(h *HTTPClient) { h.transport.TLSClientConfig = config }
}

// HTTP is the Client over net/http.
type HTTPClient struct {
	bounds    Limits
	transport *http.Transport
}

// New returns a client.
func New(options ...Option) *HTTPClient {
	h := &HTTPClient{
		bounds: DefaultLimits(),
		// Compression is off because it would hide the announced length; proxies from the environment are ignored.
		transport: &http.Transport{
			DisableCompression:     true,
			MaxIdleConnsPerHost:    64,
			MaxResponseHeaderBytes: 64 << 10,
			IdleConnTimeout:        time.Minute,
		},
	}
	for _, o := range options {
		o(h)
	}
	h.transport.DialContext = (&net.Dialer{Timeout: h.bounds.DialTimeout}).DialContext
	h.transport.TLSHandshakeTimeout = h.bounds.DialTimeout
	return h
}

// Close closes the idle connections.
func (h *HTTPClient) Close() error {
	h.transport.CloseIdleConnections()
	return nil
}

type outgoing struct {
	server laceunit.Address
	method string
	path   string
	query  string
	header http.Header
	body   []byte
	// patient leaves the deadline of a control call to its context.
	patient bool
}

// send makes one round trip. It uses the transport and not http.Client, because a client follows redirects and would
// send a request twice.
func (h *HTTPClient) send(ctx context.Context, out outgoing) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := build(httptrace.WithClientTrace(ctx, trace), out)
	if err != nil {
		return nil, &Error{
			Effect: EffectNone,
			Reason: ErrInvalidRequest,
			Server: out.server,
			Cause:  err,
		}
	}
	resp, err := h.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	fault := &Error{
		Effect: EffectUnknown,
		Reason: ErrConnectionLost,
		Server: out.server,
		Cause:  err,
	}
	// Without a connection nothing was sent. With one, the write runs in a goroutine of the transport, so even an
	// early error does not prove that nothing left.
	switch {
	case !connected.Load():
		fault.Effect, fault.Reason = EffectNone, ErrUnreachable
	case ctx.Err() != nil:
		fault.Reason = ErrTimeout
	}
	return nil, fault
}

func build(ctx context.Context, out outgoing) (*http.Request, error) {
	base := string(out.server)
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if !strings.HasPrefix(out.path, "/") || strings.ContainsAny(out.path, "?#") {
		return nil, errors.Errorf("invalid path %q", out.path)
	}
	u, err := url.Parse(strings.TrimSuffix(base, "/") + out.path)
	if err != nil {
		return nil, err
	}
	u.RawQuery = out.query
	req, err := http.NewRequestWithContext(ctx, out.method, u.String(), bytes.NewReader(out.body))
	if err != nil {
		return nil, err
	}
	if out.header != nil {
		req.Header = out.header
	}
	switch out.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// The transport repeats these methods after a lost connection unless the body can't be read again, but a
		// service may have non-idempotent routes under them.
		req.GetBody = nil
		req.Body = io.NopCloser(bytes.NewReader(out.body))
	}
	return req, nil
}

// readBounded reads a body of at most max bytes and returns ErrTooLong beyond that.
func readBounded(r io.Reader, maximum int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maximum+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > maximum {
		return nil, ErrTooLong
	}
	return b, nil
}
