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
	// DefaultTimeout bounds the silence of a call over all endpoints; the platform answers in milliseconds when it is well.
	DefaultTimeout = 2 * time.Second
	// DefaultIdle is how long a watch may stay silent before it is opened again. A connection that was cut without
	// notice looks like a quiet one, and each reopening costs a call.
	DefaultWatchIdleTimeout = 30 * time.Second
	// DefaultPause is the first wait before a broken watch is opened again.
	DefaultReconnectDelay = 50 * time.Millisecond
)

const (
	// mostCall bounds an answer that moves; it leaves a link of 30 kB/s time for 3.6 MB.
	mostCall = 2 * time.Minute
	// narrowRate is the slowest link, in bytes a second, on which the largest value still gets through.
	narrowRate = 30_000
)

// ErrEndpoints means that a client was given no endpoint.
var ErrEndpoints = errors.New("platform: no endpoints")

var _ Store = (*Client)(nil)

// Client is a Store over the JSON form of etcd v3.
type Client struct {
	endpoints []string
	name      string
	timeout   time.Duration
	idle      time.Duration
	pause     time.Duration
	observer  Observer
	tls       DialTLS
	transport *http.Transport
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
}

// Option changes a client at construction.
type Option func(*Client)

// WithTimeout sets how long a call may go without a byte of an answer. A write has as much time as its size takes on a narrow
// link beside that.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithIdle sets how long a watch may stay silent before it is opened again.
func WithWatchIdleTimeout(idle time.Duration) Option {
	return func(c *Client) { c.idle = idle }
}

// WithPause sets the first wait before a broken watch is opened again.
func WithReconnectDelay(pause time.Duration) Option {
	return func(c *Client) { c.pause = pause }
}

// WithObserver sets who is told of calls.
func WithObserver(observer Observer) Option {
	return func(c *Client) { c.observer = observer }
}

// WithName sets the name under which an emulated platform knows the client.
func WithName(name string) Option {
	return func(c *Client) { c.name = name }
}

// DialTLS connects to an https endpoint and checks its certificate.
type DialTLS func(ctx context.Context, network, address string) (net.Conn, error)

// WithTLS sets how https endpoints are connected to.
func WithTLS(dial DialTLS) Option {
	return func(c *Client) { c.tls = dial }
}

// NewClient returns a client of the endpoints; an endpoint without a scheme is reached over http.
func NewClient(endpoints []laceunit.Address, options ...Option) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, ErrEndpoints
	}
	c := &Client{
		timeout:  DefaultTimeout,
		idle:     DefaultWatchIdleTimeout,
		pause:    DefaultReconnectDelay,
		observer: ObserverFunc(func(Call) {}),
	}
	for _, e := range endpoints {
		url := strings.TrimSuffix(string(e), "/")
		if !strings.Contains(url, "://") {
			url = "http://" + url
		}
		c.endpoints = append(c.endpoints, url)
	}
	for _, o := range options {
		o(c)
	}
	// The share of one endpoint, so that an address that swallows packets leaves time for the others.
	dialer := &net.Dialer{
		Timeout: c.timeout / time.Duration(len(c.endpoints)),
	}
	c.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		DialTLSContext:      c.tls.within(dialer.Timeout),
		TLSHandshakeTimeout: dialer.Timeout,
		MaxIdleConns:        256,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return c, nil
}

// patient returns an HTTP client for one attempt whose answer may take as long as it moves; zero stands for no bound.
func (c *Client) patient(first, between time.Duration) *http.Client {
	return &http.Client{
		Transport: &laceconn.TimeoutTransport{
			Base:                  c.transport,
			ResponseHeaderTimeout: first,
			BodyIdleTimeout:       between,
		},
		// A redirected write may be carried out twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// within bounds the time of a connection; nil leaves https to the transport.
func (d DialTLS) within(timeout time.Duration) DialTLS {
	if d == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return d(ctx, network, address)
	}
}

// Close drops the idle connections; watches are closed by their owners.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

func (c *Client) observe(kind Kind, began time.Time, err error) {
	c.observer.Observe(Call{
		Kind:     kind,
		Duration: time.Since(began),
		Err:      err,
	})
}
