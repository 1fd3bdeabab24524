package laceemulator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Handler serves the backend protocol of engines.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/generate", e.generate)
	m.HandleFunc("POST /v1/cancel", e.cancel)
	m.HandleFunc("GET /v1/requests/{id...}", e.getRequest)
	m.HandleFunc("GET /v1/load", e.getLoad)
	m.HandleFunc("GET /v1/cache/events", e.getCacheEvents)
	m.HandleFunc("POST /v1/orders", e.applyOrder)
	m.HandleFunc("GET /v1/orders", e.getOrders)
	m.HandleFunc("GET /v1/counts", e.getCounts)
	return withFaults(e.faultInjector, m)
}

type cancelRequest struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
}

// requestState is the response to a lookup by request id.
type requestState struct {
	Request      string          `json:"request"`
	Attempt      string          `json:"attempt,omitempty"`
	State        string          `json:"state"`
	OutputTokens int             `json:"tokens"`
	PromptTokens laceunit.Tokens `json:"prompt,omitempty"`
	Runs         int             `json:"runs,omitempty"`
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var req cancelRequest
	if !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	j := e.batch.cancel(req.Request, req.Attempt)
	e.changed.notify()
	e.mu.Unlock()
	e.writeRequestState(w, j)
}

func (e *Engine) getRequest(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	j := e.batch.jobs[r.PathValue("id")]
	e.mu.Unlock()
	e.writeRequestState(w, j)
}

func (e *Engine) writeRequestState(w http.ResponseWriter, j *job) {
	if j == nil {
		reject(w, http.StatusNotFound, "request is not known")
		return
	}
	e.mu.Lock()
	state := requestState{
		Request:      j.requestID,
		Attempt:      j.attemptID,
		State:        string(j.state),
		OutputTokens: j.producedTokens,
		PromptTokens: j.promptTokens,
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// loadResponse is a load report; the age is in milliseconds.
type loadResponse struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	Slots        int   `json:"slots"`
	CachedTokens int   `json:"cached"`
	AgeMillis    int64 `json:"age"`
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	l := e.currentReport(now)
	resp := loadResponse{
		Running:      l.running,
		Waiting:      l.waiting,
		Slots:        e.options.Slots,
		CachedTokens: l.cachedTokens,
	}
	if !l.time.IsZero() {
		resp.AgeMillis = now.Sub(l.time).Milliseconds()
	}
	writeJSON(w, http.StatusOK, resp)
}

// cacheEventsResponse lists cache events; a gap in the sequence means that an event was lost.
type cacheEventsResponse struct {
	Events []cacheEventJSON `json:"events"`
}

type cacheEventJSON struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // Without the parameter, all events are listed.
	e.mu.Lock()
	events := e.batch.cache.eventsSince(after, time.Now().Add(-e.options.EventLag))
	e.mu.Unlock()
	resp := cacheEventsResponse{
		Events: []cacheEventJSON{},
	}
	for _, event := range events {
		kind := "stored"
		if event.evicted {
			kind = "evicted"
		}
		resp.Events = append(resp.Events, cacheEventJSON{
			Sequence: event.sequence,
			Kind:     kind,
			Block:    event.block,
		})
	}
	writeJSON(w, http.StatusOK, resp)
}

// ordersResponse reports the state that results from the orders to an engine, and the latest orders.
type ordersResponse struct {
	Fence    laceunit.Fence              `json:"fence"`
	Models   []laceunit.ModelID          `json:"models"`
	Adapters []string                    `json:"adapters,omitempty"`
	Versions map[laceunit.ModelID]string `json:"versions,omitempty"`
	Role     string                      `json:"role,omitempty"`
	Orders   []order                     `json:"orders,omitempty"`
}

// applyOrder executes an order. Loading a model first fetches its weights from the weight store.
func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !readJSON(w, r, &o) {
		return
	}
	if o.Kind == orderLoad && e.options.WeightStore != "" && !e.serves(o.Model) {
		if err := e.fetchWeights(r.Context(), o.Model); err != nil {
			w.Header().Set("Retry-After", "1")
			reject(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	e.mu.Lock()
	err := e.orderState.apply(o)
	e.mu.Unlock()
	switch {
	case errors.Is(err, errStaleFence):
		reject(w, http.StatusConflict, err.Error())
	case err != nil:
		reject(w, http.StatusBadRequest, err.Error())
	default:
		e.getOrders(w, r)
	}
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	resp := ordersResponse{
		Fence:    e.orderState.fence,
		Models:   slices.Clone(e.orderState.models),
		Adapters: slices.Clone(e.orderState.adapters),
		Versions: map[laceunit.ModelID]string{},
		Role:     e.orderState.role,
		Orders:   slices.Clone(e.orderState.applied),
	}
	for m, v := range e.orderState.versions {
		resp.Versions[m] = v
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, resp)
}

func (e *Engine) serves(model laceunit.ModelID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.orderState.models, model)
}

// fetchWeights reads the weights of a model from the weight store.
func (e *Engine) fetchWeights(ctx context.Context, model laceunit.ModelID) error {
	ctx, cancel := context.WithTimeout(ctx, maxHangTime)
	defer cancel()
	req, err := http.NewRequestWithContext(
		ctx, http.MethodGet, string(e.options.WeightStore)+"/v1/weights/"+string(model), http.NoBody,
	)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("emulator: weight store answers %s", resp.Status)
	}
	return nil
}

// engineCounts are counters since the start.
type engineCounts struct {
	Started   int64 `json:"started"`
	Done      int64 `json:"done"`
	Cancelled int64 `json:"cancelled"`
	Tokens    int64 `json:"tokens"`
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	c := e.batch.counts
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, engineCounts{
		Started:   c.started,
		Done:      c.done,
		Cancelled: c.cancelled,
		Tokens:    c.tokens,
	})
}
