package lacerelay

import (
	"net/http"
	"strconv"

	"lacewingcove/lib/lacefault"
)

// origin is the state of a request that another instance has forwarded; nil for one of a caller.
type origin struct {
	params forwardParams
}

// HandleForwarded returns a handler for the address of the instance that other instances use. It serves requests that
// they have forwarded like those of callers, and passes others to next.
func (r *Relay) HandleForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(headerForwardVersion) == "" {
			next.ServeHTTP(w, q)
			return
		}
		params, err := decodeForwardParams(q.Header)
		if err != nil || r.declines(params) {
			// Without headerForwardServed, the response states that the request was not handled.
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.serveHTTP(w, q, &origin{params: params})
	})
}

// declines reports whether this instance can't handle a forwarded request better than its sender.
func (r *Relay) declines(p forwardParams) bool {
	table := r.options.Routes.Load()
	return table == nil || table.Version() < p.version || r.stopping.Load() || r.options.Reach.Isolated() ||
		r.tableFreshness() == Superseded || r.options.ServersLate != nil && r.options.ServersLate()
}

// hasLostServers reports whether a forwarded request that was sent to no server is refused because this instance may have
// become isolated since it accepted it.
func (r *Relay) hasLostServers(j *job, f *lacefault.Fault) bool {
	if j.origin == nil || j.history.sent != j.origin.params.attempts || !r.options.Reach.suspected() {
		return false
	}
	return f.Code == lacefault.NoBackendServer || f.Code == lacefault.Overloaded
}

// setForwardHeaders sets the headers of a response to another instance, and removes such headers of a server.
func (j *job) setForwardHeaders(h http.Header) {
	removeForwardHeaders(h)
	if j.origin == nil {
		return
	}
	if !j.declined {
		h.Set(headerForwardServed, "1")
	}
	h.Set(headerForwardAttempts, strconv.Itoa(j.history.sent))
	encodeSoftware(h, j.softwareVersion)
	encodeLeaving(h, j.leaving)
}
