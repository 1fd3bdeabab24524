package laceemulator

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/laceunit"
)

// WeightStore is the emulated store of model weights. It rejects reads above its rate limit.
type WeightStore struct {
	*faultInjector
	now      func() time.Time
	limiter  *rate.Limiter
	reads    atomic.Int64
	rejected atomic.Int64
}

// NewWeightStore returns a store whose rate limit is a token bucket with the given rate and burst.
func NewWeightStore(now func() time.Time, perSecond float64, burst int, seed uint64) *WeightStore {
	return &WeightStore{
		faultInjector: newFaultInjector(seed, ServerFaults{}),
		now:           now,
		limiter:       rate.NewLimiter(rate.Limit(perSecond), burst),
	}
}

// Handler serves GET /v1/weights/{model} and GET /v1/counts.
func (s *WeightStore) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/weights/{model...}", s.getWeights)
	m.HandleFunc("GET /v1/counts", s.getCounts)
	return withFaults(s.faultInjector, m)
}

type weightResponse struct {
	Model laceunit.ModelID `json:"model"`
}

func (s *WeightStore) getWeights(w http.ResponseWriter, r *http.Request) {
	faults := s.drawFaults()
	if faults.rejected || !s.limiter.AllowN(s.now(), 1) {
		s.rejected.Add(1)
		w.Header().Set("Retry-After", "1")
		reject(w, http.StatusTooManyRequests, "over the rate")
		return
	}
	if sleep(r.Context(), faults.latency+faults.delay) != nil {
		return
	}
	s.reads.Add(1)
	writeJSON(w, http.StatusOK, weightResponse{
		Model: laceunit.ModelID(r.PathValue("model")),
	})
}

type weightCounts struct {
	Reads    int64 `json:"read"`
	Rejected int64 `json:"refused"`
}

func (s *WeightStore) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, weightCounts{
		Reads:    s.reads.Load(),
		Rejected: s.rejected.Load(),
	})
}
