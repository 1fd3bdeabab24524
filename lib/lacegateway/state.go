package lacegateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

type wireState struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"`
	State   string `json:"state"`
	Budget  string `json:"budget,omitempty"`
	Tokens  int64  `json:"tokens"`
}

// requestState serves GET /v1/requests/{id}: the state of a request of the caller's account.
func (g *Gateway) requestState(w http.ResponseWriter, r *http.Request) {
	c, _, fault := g.authenticate(r)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	request := laceledger.Request{
		Account: c.id,
		ID:      laceunit.RequestID(r.PathValue("id")),
	}
	state, err := g.deps.Ledger.Find(r.Context(), c.budget, request)
	if err != nil || state.Phase == laceledger.PhaseOpen {
		// The journal may have the final state of a run whose record has not reached the ledger yet.
		if entry, ok := g.deps.Journal.Find(request); ok {
			writeState(w, journalState(request, entry))
			return
		}
	}
	switch {
	case errors.Is(err, laceplatform.ErrMissing):
		// The request may still be in transit, have run on another instance during an outage, or be older than the
		// retention window.
		g.refuse(w, &lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.NotFound,
			Message:    "no request with this id is known",
			RetryAfter: time.Second,
		})
		return
	case err != nil:
		g.refuse(w, &lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.PlatformDown,
			Message:    "the ledger is out of reach",
			RetryAfter: time.Second,
		})
		return
	}
	writeState(w, ledgerState(request, state))
}

func writeState(w http.ResponseWriter, state wireState) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, state.Outcome)
	_ = json.NewEncoder(w).Encode(state)
}

// journalState returns the state of a request that ran offline here and has not been recorded in the ledger yet.
func journalState(request laceledger.Request, record laceledger.Offline) wireState {
	s := wireState{
		Request: string(request.ID),
		Outcome: string(lacefault.Unknown),
		State:   "open",
		Budget:  budgetName(record.Budget),
	}
	if record.Finished {
		s.Outcome, s.State, s.Tokens = string(lacefault.Done), "settled", int64(record.Tokens)
	}
	return s
}

// budgetName returns the name that callers use for a budget in the ledger.
func budgetName(budget laceunit.BudgetID) string {
	_, name := laceledger.SplitBudgetID(budget)
	return string(name)
}

// ledgerState returns the state of a request in the ledger.
func ledgerState(request laceledger.Request, state laceledger.RequestState) wireState {
	s := wireState{
		Request: string(request.ID),
		Outcome: string(lacefault.Unknown),
		State:   "open",
		Budget:  budgetName(state.Budget),
	}
	switch state.Phase {
	case laceledger.PhaseSettled:
		s.Outcome, s.State, s.Tokens = string(lacefault.Done), "settled", int64(state.Tokens)
	case laceledger.PhaseVoid:
		s.Outcome, s.State = string(lacefault.NotRun), "void"
	}
	return s
}

type wireAddress struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
}

type wireAddresses struct {
	Addresses []wireAddress `json:"addresses"`
	// TTL is how long the caller may use the list, in milliseconds.
	TTL int64 `json:"life"`
}

// addresses serves GET /v1/addresses.
func (g *Gateway) addresses(w http.ResponseWriter, _ *http.Request) {
	entries, ttl := g.deps.Membership.Addresses()
	out := wireAddresses{
		Addresses: make([]wireAddress, 0, len(entries)),
		TTL:       ttl.Milliseconds(),
	}
	for _, a := range entries {
		out.Addresses = append(out.Addresses, wireAddress{
			Instance: string(a.Instance),
			Zone:     string(a.Zone),
			Address:  string(a.Address),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// health serves /healthz: the process is running, even if it is draining.
func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	state := "ok"
	if g.isDraining() {
		state = "draining"
	}
	_, _ = w.Write([]byte(state + "\n"))
}

// ready serves /readyz: whether the instance accepts new requests.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.isDraining():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case g.deps.Configuration.Current() == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	case !g.deps.Configuration.Fresh():
		http.Error(w, "configuration not confirmed", http.StatusServiceUnavailable)
	case !g.deps.Membership.Enabled():
		http.Error(w, "joining", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}
