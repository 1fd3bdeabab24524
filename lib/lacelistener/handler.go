package lacelistener

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"lacewingcove/lib/laceresource"
)

const (
	// headCopies is how often the handlers hold the lines of a head: as parsed, without the headers of the connection,
	// and as sent to a server.
	headCopies = 3
	// fieldBytes is the memory of a field of a query, tokenBytes that of a name in a list in the Connection header.
	fieldBytes = 200
	tokenBytes = 64
	// retryAfterSeconds is the Retry-After of a request that there is no memory for. What large requests hold is returned
	// within seconds.
	retryAfterSeconds = "1"
)

// Holding is what a request holds. A nil Holding bounds nothing.
type Holding struct {
	guard  *Guard
	holder *laceresource.Holder
	bytes  int64
	// running is true between Run and Settle.
	running bool
}

// FromContext returns the holding of a request, or nil.
func FromContext(ctx context.Context) *Holding {
	h, _ := ctx.Value(holdingKey).(*Holding)
	return h
}

// Charge waits until the request may hold more memory; it returns ErrShort if there is none.
func (h *Holding) Charge(bytes int64, reason string) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	if err := h.guard.charge(h.holder, bytes, reason); err != nil {
		return err
	}
	h.bytes += bytes
	return nil
}

// Release returns memory before the end of the request.
func (h *Holding) Release(bytes int64) {
	if h == nil {
		return
	}
	h.bytes -= bytes
	h.guard.release(h.holder, bytes)
}

// Detach returns a holding for a response that may outlive the request and its connection. Its owner must close it.
func (h *Holding) Detach() *Holding {
	if h == nil {
		return nil
	}
	now := h.guard.options.Now()
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	return &Holding{
		guard:  h.guard,
		holder: h.guard.budget.Detach(now, h.holder.Owner()),
	}
}

// Close returns all memory of a detached holding.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.guard.release(h.holder, h.bytes)
	h.bytes = 0
}

// Assign names the account of the request.
func (h *Holding) Assign(account string) {
	if h == nil || account == "" {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Assign(h.holder, laceresource.Owner("account "+account))
}

// Run records that a server may run the request from now on, so that its connection is not closed for the sake of
// others.
func (h *Holding) Run() {
	if h == nil || h.running {
		return
	}
	h.running = true
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Run(h.holder)
}

// Settle records that the whole response is there, so that the connection may be closed if the client doesn't read it.
func (h *Holding) Settle() {
	if h == nil || !h.running {
		return
	}
	h.running = false
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Settle(h.guard.options.Now(), h.holder)
}

// close returns all memory at the end of the request.
func (h *Holding) close() {
	h.Settle()
	h.guard.release(h.holder, h.bytes)
	h.bytes = 0
}

// handler returns a handler that charges the head of each request while it is served.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey).(*conn)
		if c == nil || c.guard != g {
			next.ServeHTTP(w, r)
			return
		}
		// net/http reports no change of state for a request that it has read together with the one before.
		c.inRequest.Store(true)
		h := &Holding{
			guard:  g,
			holder: c.holder,
		}
		defer func() {
			dropHead(r)
			h.close()
		}()
		// The exact cost replaces what was charged while the head was read.
		err := h.Charge(headCost(r)-laceresource.HeadAllowance, reasonHead)
		if err != nil {
			dropHead(r)
		}
		g.mu.Lock()
		c.releaseHeadLocked()
		g.mu.Unlock()
		if err != nil {
			w.Header().Set("Retry-After", retryAfterSeconds)
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), holdingKey, h)))
	})
}

// dropHead removes what a request holds of its head. net/http keeps the request for half a second after its response when
// the body was not read, so that refused requests would hold memory that is not charged any more; it has read what it
// needs of the head before the handler.
func dropHead(r *http.Request) {
	r.Header, r.URL, r.RequestURI = http.Header{}, &url.URL{}, ""
}

// headCost returns the memory of the head of a request while it is served.
func headCost(r *http.Request) int64 {
	lines, text := 0, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		text += len(name)
		for _, v := range values {
			text += len(v)
		}
	}
	cost := int64(lines*lineBytes+text*textFactor) * headCopies
	for _, v := range r.Header["Connection"] {
		cost += int64(strings.Count(v, ",")) * tokenBytes
	}
	return cost + int64(strings.Count(r.URL.RawQuery, "&"))*fieldBytes
}
