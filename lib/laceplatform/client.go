package laceplatform

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
)

// Defaults of the client.
const (
	// DefaultTimeout bounds the time in which a call receives no response data, over all endpoints; a healthy platform
	// responds in milliseconds.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchIdleTimeout is how long a watch may receive no data before it reconnects. A half-open connection
	// looks like an idle one, and each reconnect costs a call.
	DefaultWatchIdleTimeout = 30 * time.Second
	// DefaultReconnectDelay is the initial backoff before a broken watch reconnects.
	DefaultReconnectDelay = 50 * time.Millisecond
)

const (
	// maxReadDuration bounds a read whose response keeps arriving; at 30 kB/s it is enough for 3.6 MB.
	maxReadDuration = 2 * time.Minute
	// minLinkRate is the slowest link, in bytes per second, on which a write of the largest value still completes.
	minLinkRate = 30_000
)

// ErrEndpoints means that a client was created without endpoints.
var ErrEndpoints = errors.New("platform: no endpoints")

var _ Store = (*Client)(nil)

// Client is a Store over the JSON gateway of the etcd v3 API.
type Client struct {
	endpoints        []string
	clientName       string
	timeout          time.Duration
	watchIdleTimeout time.Duration
	reconnectDelay   time.Duration
	observer         Observer
	dialTLS          DialTLS
	transport        *laceconn.Transport
	// preferred is the index of the endpoint that responded last.
	preferred atomic.Int64
}

// Option changes a client at construction.
type Option func(*Client)

// WithTimeout sets how long a call may wait for response data. A write gets additional time in proportion to its size,
// so that it completes on a slow link.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithWatchIdleTimeout sets how long a watch may receive no data before it reconnects.
func WithWatchIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.watchIdleTimeout = timeout }
}

// WithReconnectDelay sets the initial backoff before a broken watch reconnects.
func WithReconnectDelay(delay time.Duration) Option {
	return func(c *Client) { c.reconnectDelay = delay }
}

// WithObserver sets the observer of calls.
func WithObserver(observer Observer) Option {
	return func(c *Client) { c.observer = observer }
}

// WithName sets the name by which an emulated platform identifies the client.
func WithName(name string) Option {
	return func(c *Client) { c.clientName = name }
}

// DialTLS connects to an https endpoint and verifies its certificate.
type DialTLS func(ctx context.Context, network, address string) (net.Conn, error)

// WithTLS sets the dial function for https endpoints.
func WithTLS(dial DialTLS) Option {
	return func(c *Client) { c.dialTLS = dial }
}

// NewClient returns a client of the endpoints; an endpoint without a scheme uses http.
func NewClient(endpoints []laceunit.Address, options ...Option) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, ErrEndpoints
	}
	c := &Client{
		timeout:          DefaultTimeout,
		watchIdleTimeout: DefaultWatchIdleTimeout,
		reconnectDelay:   DefaultReconnectDelay,
		observer:         ObserverFunc(func(Call) {}),
	}
	for _, address := range endpoints {
		endpoint := strings.TrimSuffix(string(address), "/")
		if !strings.Contains(endpoint, "://") {
			endpoint = "http://" + endpoint
		}
		c.endpoints = append(c.endpoints, endpoint)
	}
	for _, o := range options {
		o(c)
	}
	// Each endpoint gets an equal share of the timeout, so that an address that drops packets leaves time for the others.
	dialer := laceconn.NewDialer(c.timeout / time.Duration(len(c.endpoints)))
	c.transport = laceconn.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		DialTLSContext:      c.dialTLS.withTimeout(dialer.Timeout),
		TLSHandshakeTimeout: dialer.Timeout,
		MaxIdleConns:        256,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}, 0)
	return c, nil
}

// newHTTPClient returns an HTTP client for one attempt. It limits the wait for the response header and the time between
// reads of the body, not the whole response; zero means no limit.
func (c *Client) newHTTPClient(firstByteTimeout, idleTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &laceconn.TimeoutTransport{
			Base:                  c.transport,
			ResponseHeaderTimeout: firstByteTimeout,
			BodyIdleTimeout:       idleTimeout,
		},
		// A redirected write may be executed twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// withTimeout limits the time to connect; for nil it returns nil, and the transport handles https.
func (d DialTLS) withTimeout(timeout time.Duration) DialTLS {
	if d == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return d(ctx, network, address)
	}
}

// Close closes idle connections; watches are closed by their owners.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

func (c *Client) observe(kind Kind, startedAt time.Time, err error) {
	c.observer.Observe(Call{
		Kind:     kind,
		Duration: time.Since(startedAt),
		Err:      err,
	})
}
