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

// find serves GET /v1/requests/{id}: what is known of a request of the caller's account.
func (g *Gateway) find(w http.ResponseWriter, r *http.Request) {
	c, _, fault := g.authenticate(r)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	request := laceledger.Request{
		Account: c.id,
		ID:      laceunit.RequestID(r.PathValue("id")),
	}
	old, err := g.deps.Ledger.Find(r.Context(), c.budget, request)
	if err != nil || old.Phase == laceledger.PhaseOpen {
		// The journal may know the end of a run that the ledger has not seen yet.
		if local, ok := g.deps.Journal.Find(request); ok {
			writeState(w, journalState(request, local))
			return
		}
	}
	switch {
	case errors.Is(err, laceplatform.ErrMissing):
		// The id can be on its way, or have run at another instance during an outage, or be older than the retention.
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
	writeState(w, stateOf(request, old))
}

func writeState(w http.ResponseWriter, state wireState) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, state.Outcome)
	_ = json.NewEncoder(w).Encode(state)
}

// journalState is the state of a request that ran here without the platform and that the ledger does not know yet.
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

// budgetName returns the name that callers use for a budget of the ledger.
func budgetName(budget laceunit.BudgetID) string {
	_, name := laceledger.SplitBudgetID(budget)
	return string(name)
}

func stateOf(request laceledger.Request, old laceledger.RequestState) wireState {
	s := wireState{
		Request: string(request.ID),
		Outcome: string(lacefault.Unknown),
		State:   "open",
		Budget:  budgetName(old.Budget),
	}
	switch old.Phase {
	case laceledger.PhaseSettled:
		s.Outcome, s.State, s.Tokens = string(lacefault.Done), "settled", int64(old.Tokens)
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
	// Life is how long the caller may keep the list, in milliseconds.
	TTL int64 `json:"life"`
}

// addresses serves GET /v1/addresses.
func (g *Gateway) addresses(w http.ResponseWriter, _ *http.Request) {
	list, life := g.deps.Membership.Addresses()
	out := wireAddresses{
		Addresses: make([]wireAddress, 0, len(list)),
		TTL:       life.Milliseconds(),
	}
	for _, a := range list {
		out.Addresses = append(out.Addresses, wireAddress{
			Instance: string(a.Instance),
			Zone:     string(a.Zone),
			Address:  string(a.Address),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// health serves /healthz: the process runs, draining or not.
func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	state := "ok"
	if g.isDraining() {
		state = "draining"
	}
	_, _ = w.Write([]byte(state + "\n"))
}

// ready serves /readyz: the instance takes new work.
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
