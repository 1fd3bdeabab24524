package lacebackend

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
)

const (
	// headerLeaving is "1" on the answers of a server that leaves.
	headerLeaving = "Server-Leaving"
	// headerLimit is how many requests a second a server takes from all instances together.
	headerLimit = "Server-Limit"
)

// Notice is what the head of an answer says about its server, whatever becomes of the answer.
type Notice struct {
	// Leaving is true when the server wants nothing new until it is gone.
	Leaving bool
	// Pause is how long the server wants nothing; zero means that it asks for no pause.
	Pause time.Duration
	// Unread is not nil when the length of a pause is not a plain number of seconds; Pause is how it is taken.
	HeaderError error
	// Limit is how many requests a second the server takes from all instances.
	Limit laceconn.RateLimit
}

// notify calls a function, if there is one, with what an answer says about its server, which may be nothing.
func notify(resp *http.Response, notice func(Notice)) {
	n := Notice{
		Leaving: resp.Header.Get(headerLeaving) == "1",
		Limit:   laceconn.ParseRateLimit(resp.Header.Values(headerLimit)),
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		n.Pause, n.HeaderError = laceconn.ParseRetryAfter(resp.Header)
	}
	if notice != nil {
		notice(n)
	}
}

// retryAfter returns a server's hint; what can't be read is reported with the notice.
func retryAfter(header http.Header) time.Duration {
	d, _ := laceconn.ParseRetryAfter(header)
	return d
}
