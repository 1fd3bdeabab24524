package lacepeer

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacepack"
)

// minLinkRate is the slowest link, in bytes per second, on which a large request still completes. The kernel accepts a
// request into its socket buffers at once, so that the progress of the upload is not visible.
const minLinkRate = 30_000

// withTransport returns a copy of a client that accepts packed responses and has an idle timeout instead of a total
// one.
func withTransport(client *http.Client, idleTimeout time.Duration) *http.Client {
	c := *client
	c.Transport = &lacepack.Transport{Base: &timeoutTransport{
		base:        client.Transport,
		idleTimeout: idleTimeout,
	}}
	return &c
}

// timeoutTransport ends a call after an idle timeout. It extends the wait for the response by the size of the request.
type timeoutTransport struct {
	base        http.RoundTripper
	idleTimeout time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *timeoutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p := &laceconn.TimeoutTransport{
		Base:                  t.base,
		ResponseHeaderTimeout: t.idleTimeout + time.Duration(max(r.ContentLength, 0))*time.Second/minLinkRate,
		BodyIdleTimeout:       t.idleTimeout,
	}
	return p.RoundTrip(r)
}
