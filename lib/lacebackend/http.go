package lacebackend

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
)

// Limits limits how much memory and time a response of a backend server can take.
type Limits struct {
	// MaxEventBytes limits the size of an event in a stream, MaxStreamBytes the size of the stream.
	MaxEventBytes  int
	MaxStreamBytes int64
	// MaxReplyBytes limits the response body of a plain service, MaxControlBytes that of a control request such as a
	// status lookup or load report.
	MaxReplyBytes   int64
	MaxControlBytes int64
	// DialTimeout limits the TCP and the TLS handshake each, ControlTimeout a control request such as a status lookup,
	// load report or cancellation.
	DialTimeout    time.Duration
	ControlTimeout time.Duration
	// IdleTimeout limits the time between two chunks, EndTimeout the time from the end marker to the end of the response.
	IdleTimeout time.Duration
	EndTimeout  time.Duration
	// InvokeTimeout limits an Invoke whose context has no deadline.
	InvokeTimeout time.Duration
}

// DefaultLimits returns the limits of a client without options.
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

// Option configures a client.
type Option func(*HTTPClient)

// WithLimits replaces all default limits.
func WithLimits(limits Limits) Option {
	return func(h *HTTPClient) { h.limits = limits }
}

// WithTLS sets the TLS configuration for servers whose address has the scheme https.
func WithTLS(config *tls.Config) Option {
	return func(h *HTTPClient) { h.tls = config }
}

// HTTPClient is a Client that uses net/http.
type HTTPClient struct {
	limits    Limits
	tls       *tls.Config
	transport *laceconn.Transport
}

// New returns a client.
func New(options ...Option) *HTTPClient {
	h := &HTTPClient{limits: DefaultLimits()}
	for _, o := range options {
		o(h)
	}
	// The transport's transparent decompression is disabled because it hides the declared content length. Proxies from
	// the environment are ignored. Each kind of call limits its body.
	h.transport = laceconn.NewTransport(&http.Transport{
		DialContext:         laceconn.NewDialer(h.limits.DialTimeout).DialContext,
		TLSClientConfig:     h.tls,
		TLSHandshakeTimeout: h.limits.DialTimeout,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}, 0)
	return h
}

// Close closes the idle connections.
func (h *HTTPClient) Close() error {
	h.transport.CloseIdleConnections()
	return nil
}

type outboundRequest struct {
	server laceunit.Address
	method string
	path   string
	query  string
	header http.Header
	body   []byte
	// useContextDeadline makes the deadline of the context, if it has one, replace ControlTimeout.
	useContextDeadline bool
}

// send performs a single HTTP round trip. It uses the transport instead of an http.Client, which would follow redirects
// and could send a request twice.
func (h *HTTPClient) send(ctx context.Context, out outboundRequest) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := buildRequest(httptrace.WithClientTrace(ctx, trace), out)
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
	// Without a connection nothing was sent. With one, a goroutine of the transport writes the request, so that even an
	// early error doesn't prove that nothing was sent.
	switch {
	case !connected.Load():
		fault.Effect, fault.Reason = EffectNone, ErrUnreachable
	case ctx.Err() != nil:
		fault.Reason = ErrTimeout
	case errors.Is(err, laceconn.ErrInvalidResponse):
		fault.Reason = ErrMalformed
	}
	return nil, fault
}

func buildRequest(ctx context.Context, out outboundRequest) (*http.Request, error) {
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
		// The transport retries these methods after a lost connection unless the body can't be rewound, but a service may
		// use them for non-idempotent routes.
		req.GetBody = nil
		req.Body = io.NopCloser(bytes.NewReader(out.body))
	}
	return req, nil
}

// readLimited reads a body of at most maxBytes and returns ErrTooLong if it is longer.
func readLimited(r io.Reader, maxBytes int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > maxBytes {
		return nil, ErrTooLong
	}
	return b, nil
}
