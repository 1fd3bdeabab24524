package laceemulator

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/laceunit"
)

// WeightStore is the emulated store of model weights, which refuses reads over its rate.
type WeightStore struct {
	*mishaps
	now     func() time.Time
	limit   *rate.Limiter
	read    atomic.Int64
	refused atomic.Int64
}

// NewWeightStore returns a store that serves so many reads in a second, and a burst of them at once.
func NewWeightStore(now func() time.Time, perSecond float64, burst int, seed uint64) *WeightStore {
	return &WeightStore{
		mishaps: newMishaps(seed, ServerFaults{}),
		now:     now,
		limit:   rate.NewLimiter(rate.Limit(perSecond), burst),
	}
}

// Handler serves GET /v1/weights/{model} and GET /v1/counts.
func (s *WeightStore) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/weights/{model...}", s.get)
	m.HandleFunc("GET /v1/counts", s.counts)
	return withFaults(s.mishaps, m)
}

type weightAnswer struct {
	Model laceunit.ModelID `json:"model"`
}

func (s *WeightStore) get(w http.ResponseWriter, r *http.Request) {
	m := s.draw()
	if m.refused || !s.limit.AllowN(s.now(), 1) {
		s.refused.Add(1)
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusTooManyRequests, "over the rate")
		return
	}
	if sleep(r.Context(), m.slow+m.late) != nil {
		return
	}
	s.read.Add(1)
	writeJSON(w, http.StatusOK, weightAnswer{
		Model: laceunit.ModelID(r.PathValue("model")),
	})
}

type weightCounts struct {
	Reads    int64 `json:"read"`
	Rejected int64 `json:"refused"`
}

func (s *WeightStore) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, weightCounts{
		Reads:    s.read.Load(),
		Rejected: s.refused.Load(),
	})
}
