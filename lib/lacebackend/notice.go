package lacebackend

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
)

const (
	// headerLeaving is "1" in the responses of a server that is leaving (draining).
	headerLeaving = "Server-Leaving"
	// headerRateLimit is the rate limit of a server in requests per second, for all instances together.
	headerRateLimit = "Server-Limit"
)

// Notice is the control information about a server in a response header. It applies even if the response turns out to
// be unusable.
type Notice struct {
	// Leaving is true when the server is leaving (draining) and accepts no new requests.
	Leaving bool
	// Pause is how long the server must get no requests; zero means that it doesn't ask for a pause.
	Pause time.Duration
	// HeaderError is not nil when Retry-After is not a single number of seconds; Pause is then the value that is used
	// instead.
	HeaderError error
	// Limit is the rate limit of the server, for all instances together.
	Limit laceconn.RateLimit
}

// reportNotice calls a function, unless it is nil, with the control information of a response, which may be empty.
func reportNotice(resp *http.Response, onNotice func(Notice)) {
	n := Notice{
		Leaving: resp.Header.Get(headerLeaving) == "1",
		Limit:   laceconn.ParseRateLimit(resp.Header.Values(headerRateLimit)),
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		n.Pause, n.HeaderError = laceconn.ParseRetryAfter(resp.Header)
	}
	if onNotice != nil {
		onNotice(n)
	}
}

// retryAfter returns the delay of a Retry-After header; a parse error is only reported in the notice.
func retryAfter(header http.Header) time.Duration {
	d, _ := laceconn.ParseRetryAfter(header)
	return d
}
