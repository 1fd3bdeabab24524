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

// Handler returns the backend protocol of engines.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/generate", e.generate)
	m.HandleFunc("POST /v1/cancel", e.cancel)
	m.HandleFunc("GET /v1/requests/{id...}", e.request)
	m.HandleFunc("GET /v1/load", e.loadNow)
	m.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	m.HandleFunc("POST /v1/orders", e.order)
	m.HandleFunc("GET /v1/orders", e.ordered)
	m.HandleFunc("GET /v1/counts", e.counts)
	return withFaults(e.mishaps, m)
}

type cancelRequest struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
}

// requestState answers for one request id.
type requestState struct {
	Request      string          `json:"request"`
	Attempt      string          `json:"attempt,omitempty"`
	State        string          `json:"state"`
	OutputTokens int             `json:"tokens"`
	PromptTokens laceunit.Tokens `json:"prompt,omitempty"`
	Runs         int             `json:"runs,omitempty"`
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var q cancelRequest
	if !readJSON(w, r, &q) {
		return
	}
	e.mu.Lock()
	j := e.batch.cancel(q.Request, q.Attempt)
	e.changed.fire()
	e.mu.Unlock()
	e.answerState(w, j)
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	j := e.batch.jobs[r.PathValue("id")]
	e.mu.Unlock()
	e.answerState(w, j)
}

func (e *Engine) answerState(w http.ResponseWriter, j *job) {
	if j == nil {
		refuse(w, http.StatusNotFound, "request is not known")
		return
	}
	e.mu.Lock()
	s := requestState{
		Request:      j.request,
		Attempt:      j.attempt,
		State:        string(j.state),
		OutputTokens: j.produced,
		PromptTokens: j.prompt,
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// loadAnswer is a load report; the age is in milliseconds.
type loadAnswer struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	Slots        int   `json:"slots"`
	CachedTokens int   `json:"cached"`
	AgeMillis    int64 `json:"age"`
}

func (e *Engine) loadNow(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	l := e.load(now)
	a := loadAnswer{
		Running:      l.running,
		Waiting:      l.waiting,
		Slots:        e.setting.Slots,
		CachedTokens: l.cached,
	}
	if !l.at.IsZero() {
		a.AgeMillis = now.Sub(l.at).Milliseconds()
	}
	writeJSON(w, http.StatusOK, a)
}

// cacheAnswer lists cache events; a sequence that is left out is an event that was lost.
type cacheAnswer struct {
	Events []cacheEventAnswer `json:"events"`
}

type cacheEventAnswer struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // Absent means from the start.
	e.mu.Lock()
	found := e.batch.cache.since(after, time.Now().Add(-e.setting.EventLag))
	e.mu.Unlock()
	a := cacheAnswer{
		Events: []cacheEventAnswer{},
	}
	for _, c := range found {
		kind := "stored"
		if c.evicted {
			kind = "evicted"
		}
		a.Events = append(a.Events, cacheEventAnswer{
			Sequence: c.sequence,
			Kind:     kind,
			Block:    c.block,
		})
	}
	writeJSON(w, http.StatusOK, a)
}

// ordersAnswer reports what an engine has been told.
type ordersAnswer struct {
	Fence    laceunit.Fence              `json:"fence"`
	Models   []laceunit.ModelID          `json:"models"`
	Adapters []string                    `json:"adapters,omitempty"`
	Versions map[laceunit.ModelID]string `json:"versions,omitempty"`
	Role     string                      `json:"role,omitempty"`
	Orders   []order                     `json:"orders,omitempty"`
}

// order carries out an order; loading a model takes its weights from the weight store first.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if !readJSON(w, r, &o) {
		return
	}
	if o.Kind == orderLoad && e.setting.WeightStore != "" && !e.serves(o.Model) {
		if err := e.fetch(r.Context(), o.Model); err != nil {
			w.Header().Set("Retry-After", "1")
			refuse(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	e.mu.Lock()
	err := e.orders.apply(o)
	e.mu.Unlock()
	switch {
	case errors.Is(err, errStaleFence):
		refuse(w, http.StatusConflict, err.Error())
	case err != nil:
		refuse(w, http.StatusBadRequest, err.Error())
	default:
		e.ordered(w, r)
	}
}

func (e *Engine) ordered(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	a := ordersAnswer{
		Fence:    e.orders.fence,
		Models:   slices.Clone(e.orders.models),
		Adapters: slices.Clone(e.orders.adapters),
		Versions: map[laceunit.ModelID]string{},
		Role:     e.orders.role,
		Orders:   slices.Clone(e.orders.log),
	}
	for m, v := range e.orders.versions {
		a.Versions[m] = v
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, a)
}

func (e *Engine) serves(model laceunit.ModelID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.orders.models, model)
}

// fetch reads the weights of a model from the weight store.
func (e *Engine) fetch(ctx context.Context, model laceunit.ModelID) error {
	ctx, cancel := context.WithTimeout(ctx, maxHang)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, string(e.setting.WeightStore)+"/v1/weights/"+string(model), http.NoBody)
	if err != nil {
		return err
	}
	a, err := e.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("emulator: weight store answers %s", a.Status)
	}
	return nil
}

// engineCounts are totals since the start.
type engineCounts struct {
	Started   int64 `json:"started"`
	Done      int64 `json:"done"`
	Cancelled int64 `json:"cancelled"`
	Tokens    int64 `json:"tokens"`
}

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
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
