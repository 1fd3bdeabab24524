package laceemulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// OutcomeHeader is "not_run" on an answer whose request certainly did not run.
const OutcomeHeader = "Lace-Outcome"

// leavingHeader is "1" on the answers of a server that leaves.
const leavingHeader = "Server-Leaving"

// limitHeader is how many requests a second a server takes from all instances together.
const limitHeader = "Server-Limit"

// refusal is the body of a request that was refused.
type refusal struct {
	Error string `json:"error"`
}

// refuse answers a request that did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(OutcomeHeader, "not_run")
	writeJSON(w, status, refusal{
		Error: reason,
	})
}

// period is a duration in the JSON form of Go, such as "150ms".
type period time.Duration

// MarshalJSON implements json.Marshaler.
func (p period) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(p).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *period) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "emulator: duration")
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "emulator: duration")
	}
	*p = period(d)
	return nil
}

// serverFaults is the JSON form of ServerFaults.
type serverFaults struct {
	Down            bool    `json:"down"`
	RejectionRate   float64 `json:"refused"`
	DelayRate       float64 `json:"late"`
	Delay           period  `json:"late_by"`
	MisrouteRate    float64 `json:"crossed"`
	TruncationRate  float64 `json:"cut"`
	LengthErrorRate float64 `json:"length"`
	Latency         period  `json:"slow"`
	Leaving         bool    `json:"leaving"`
	RateLimit       float64 `json:"limit"`
	Pause           period  `json:"pause"`
}

// withFaults adds GET and POST /faults to a server, and breaks its other connections while it is down. What a POST
// leaves out is switched off.
func withFaults(m *mishaps, next http.Handler) http.Handler {
	h := http.NewServeMux()
	h.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		f := m.Faults()
		writeJSON(w, http.StatusOK, serverFaults{
			Down:            f.Down,
			RejectionRate:   f.RejectionRate,
			DelayRate:       f.DelayRate,
			Delay:           period(f.Delay),
			MisrouteRate:    f.MisrouteRate,
			TruncationRate:  f.TruncationRate,
			LengthErrorRate: f.LengthErrorRate,
			Latency:         period(f.Latency),
			Leaving:         f.Leaving,
			RateLimit:       f.RateLimit,
			Pause:           period(f.Pause),
		})
	})
	h.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f serverFaults
		if !readJSON(w, r, &f) {
			return
		}
		m.SetFaults(ServerFaults{
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
		f := m.Faults()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if f.Leaving {
			w.Header().Set(leavingHeader, "1")
		}
		if f.RateLimit > 0 {
			w.Header().Set(limitHeader, strconv.FormatFloat(f.RateLimit, 'f', -1, 64))
		}
		// Control calls don't name a request.
		if left := m.paused(); left > 0 && r.Header.Get(requestHeader) != "" {
			w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
			w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
			refuse(w, http.StatusServiceUnavailable, "paused")
			return
		}
		next.ServeHTTP(w, r)
	})
	return h
}

// platformFaults is the JSON form of PlatformFaults.
type platformFaults struct {
	Down              bool                 `json:"down"`
	Latency           period               `json:"latency"`
	Jitter            period               `json:"jitter"`
	LossRate          float64              `json:"lost"`
	LoseNextResponses int                  `json:"lose_next"`
	Partitions        map[string]Partition `json:"cuts,omitempty"`
	Hang              bool                 `json:"hang"`
	PauseRenewals     []string             `json:"pause_renewals,omitempty"`
	SuspendExpiry     bool                 `json:"hold_leases"`
}

func (s *platformServer) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := s.platform.Faults()
	a := platformFaults{
		Down:              f.Down,
		Latency:           period(f.Latency),
		Jitter:            period(f.Jitter),
		LossRate:          f.LossRate,
		LoseNextResponses: f.LoseNextResponses,
		Partitions:        f.Partitions,
		Hang:              f.Hang,
		SuspendExpiry:     f.SuspendExpiry,
	}
	for client, paused := range f.PauseRenewals {
		if paused {
			a.PauseRenewals = append(a.PauseRenewals, client)
		}
	}
	writeJSON(w, http.StatusOK, a)
}

// setFaults replaces all faults; what the body leaves out is switched off.
func (s *platformServer) setFaults(w http.ResponseWriter, r *http.Request) {
	var q platformFaults
	if !readJSON(w, r, &q) {
		return
	}
	f := PlatformFaults{
		Down:              q.Down,
		Latency:           time.Duration(q.Latency),
		Jitter:            time.Duration(q.Jitter),
		LossRate:          q.LossRate,
		LoseNextResponses: q.LoseNextResponses,
		Partitions:        q.Partitions,
		Hang:              q.Hang,
		PauseRenewals:     map[string]bool{},
		SuspendExpiry:     q.SuspendExpiry,
	}
	for _, client := range q.PauseRenewals {
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
