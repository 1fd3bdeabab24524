package lacepeer

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacepack"
)

// narrowRate is the slowest link, in bytes a second, that a large request still passes. The system takes a request into its
// buffers at once, so that its progress can't be seen.
const narrowRate = 30_000

// patient returns a client that takes packed answers, for as long as they move.
func patient(client *http.Client, silence time.Duration) *http.Client {
	p := *client
	p.Transport = &lacepack.Transport{Base: &carrier{
		base:    client.Transport,
		silence: silence,
	}}
	return &p
}

// carrier ends a call by silence and gives a large request the time that its size takes.
type carrier struct {
	base    http.RoundTripper
	silence time.Duration
}

// RoundTrip implements http.RoundTripper.
func (c *carrier) RoundTrip(r *http.Request) (*http.Response, error) {
	p := &laceconn.TimeoutTransport{
		Base:                  c.base,
		ResponseHeaderTimeout: c.silence + time.Duration(max(r.ContentLength, 0))*time.Second/narrowRate,
		BodyIdleTimeout:       c.silence,
	}
	return p.RoundTrip(r)
}
