package laceemulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// OutcomeHeader is "not_run" on a response to a request that was certainly not executed.
const OutcomeHeader = "Lace-Outcome"

// leavingHeader is "1" on the responses of a server that is leaving (draining).
const leavingHeader = "Server-Leaving"

// limitHeader is the number of requests per second that a server accepts from all instances together.
const limitHeader = "Server-Limit"

// errorResponse is the response body of a rejected request.
type errorResponse struct {
	Error string `json:"error"`
}

// reject responds to a request that was not executed.
func reject(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(OutcomeHeader, "not_run")
	writeJSON(w, status, errorResponse{
		Error: reason,
	})
}

// jsonDuration is a duration that is encoded as a Go duration string, such as "150ms".
type jsonDuration time.Duration

// MarshalJSON implements json.Marshaler.
func (p jsonDuration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(p).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *jsonDuration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "emulator: duration")
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "emulator: duration")
	}
	*p = jsonDuration(d)
	return nil
}

// serverFaults is the JSON form of ServerFaults.
type serverFaults struct {
	Down            bool         `json:"down"`
	RejectionRate   float64      `json:"refused"`
	DelayRate       float64      `json:"late"`
	Delay           jsonDuration `json:"late_by"`
	MisrouteRate    float64      `json:"crossed"`
	TruncationRate  float64      `json:"cut"`
	LengthErrorRate float64      `json:"length"`
	Latency         jsonDuration `json:"slow"`
	Leaving         bool         `json:"leaving"`
	RateLimit       float64      `json:"limit"`
	Pause           jsonDuration `json:"pause"`
}

// withFaults adds GET and POST /faults to a server, and injects the faults that are the same for all paths: while the
// server is down, it aborts all other requests. A POST replaces all faults; omitted ones are cleared.
func withFaults(injector *faultInjector, next http.Handler) http.Handler {
	h := http.NewServeMux()
	h.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		f := injector.Faults()
		writeJSON(w, http.StatusOK, serverFaults{
			Down:            f.Down,
			RejectionRate:   f.RejectionRate,
			DelayRate:       f.DelayRate,
			Delay:           jsonDuration(f.Delay),
			MisrouteRate:    f.MisrouteRate,
			TruncationRate:  f.TruncationRate,
			LengthErrorRate: f.LengthErrorRate,
			Latency:         jsonDuration(f.Latency),
			Leaving:         f.Leaving,
			RateLimit:       f.RateLimit,
			Pause:           jsonDuration(f.Pause),
		})
	})
	h.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f serverFaults
		if !readJSON(w, r, &f) {
			return
		}
		injector.SetFaults(ServerFaults{
			Down:            f.Down,
			RejectionRate:   f.RejectionRate,
			DelayRate:       f.DelayRate,
			Delay:           time.Duration(f.Delay),
			MisrouteRate:    f.MisrouteRate,
			TruncationRate:  f.TruncationRate,
			LengthErrorRate: f.LengthErrorRate,
			Latency:         time.Duration(f.Latency),
			Leaving:         f.Leaving,
			RateLimit:       f.RateLimit,
			Pause:           time.Duration(f.Pause),
		})
		w.WriteHeader(http.StatusNoContent)
	})
	h.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f := injector.Faults()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if f.Leaving {
			w.Header().Set(leavingHeader, "1")
		}
		if f.RateLimit > 0 {
			w.Header().Set(limitHeader, strconv.FormatFloat(f.RateLimit, 'f', -1, 64))
		}
		// Control calls have no request id and are not paused.
		if remaining := injector.remainingPause(); remaining > 0 && r.Header.Get(requestHeader) != "" {
			w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
			w.Header().Set("Retry-After", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
			reject(w, http.StatusServiceUnavailable, "paused")
			return
		}
		next.ServeHTTP(w, r)
	})
	return h
}

// platformFaults is the JSON form of PlatformFaults.
type platformFaults struct {
	Down              bool                 `json:"down"`
	Latency           jsonDuration         `json:"latency"`
	Jitter            jsonDuration         `json:"jitter"`
	LossRate          float64              `json:"lost"`
	LoseNextResponses int                  `json:"lose_next"`
	Partitions        map[string]Partition `json:"cuts,omitempty"`
	Hang              bool                 `json:"hang"`
	PauseRenewals     []string             `json:"pause_renewals,omitempty"`
	SuspendExpiry     bool                 `json:"hold_leases"`
}

func (s *platformServer) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := s.platform.Faults()
	faults := platformFaults{
		Down:              f.Down,
		Latency:           jsonDuration(f.Latency),
		Jitter:            jsonDuration(f.Jitter),
		LossRate:          f.LossRate,
		LoseNextResponses: f.LoseNextResponses,
		Partitions:        f.Partitions,
		Hang:              f.Hang,
		SuspendExpiry:     f.SuspendExpiry,
	}
	for client, paused := range f.PauseRenewals {
		if paused {
			faults.PauseRenewals = append(faults.PauseRenewals, client)
		}
	}
	writeJSON(w, http.StatusOK, faults)
}

// setFaults replaces all faults; those omitted from the body are cleared.
func (s *platformServer) setFaults(w http.ResponseWriter, r *http.Request) {
	var req platformFaults
	if !readJSON(w, r, &req) {
		return
	}
	f := PlatformFaults{
		Down:              req.Down,
		Latency:           time.Duration(req.Latency),
		Jitter:            time.Duration(req.Jitter),
		LossRate:          req.LossRate,
		LoseNextResponses: req.LoseNextResponses,
		Partitions:        req.Partitions,
		Hang:              req.Hang,
		PauseRenewals:     map[string]bool{},
		SuspendExpiry:     req.SuspendExpiry,
	}
	for _, client := range req.PauseRenewals {
		f.PauseRenewals[client] = true
	}
	s.platform.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// platformCounts is the JSON form of Counts.
type platformCounts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Leases      int64 `json:"leases"`
	Watches     int64 `json:"watches"`
	RateLimited int64 `json:"refused"`
}

func (s *platformServer) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, platformCounts(s.platform.Counts()))
}
