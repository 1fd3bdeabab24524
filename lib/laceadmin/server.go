package laceadmin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Configuration stores the configuration document; laceconfig.Store implements it.
type Configuration interface {
	Show(ctx context.Context) (laceconfig.File, error)
	Plan(ctx context.Context, file laceconfig.File) (laceconfig.Plan, error)
	Apply(ctx context.Context, edit laceconfig.Edit) (laceconfig.Result, error)
	Amend(ctx context.Context, amendment laceconfig.Amendment) (laceconfig.Result, error)
	History(ctx context.Context, from laceunit.Version, limit int) ([]laceconfig.Record, error)
}

// Ledger is the part of laceledger.Ledger that the API uses.
type Ledger interface {
	Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error)
	Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error)
	Balances(ctx context.Context) ([]laceledger.Balance, error)
}

// Members is the membership.
type Members interface {
	Instances(ctx context.Context) ([]Member, error)
	// Fence declares that an incarnation has terminated permanently; it is idempotent.
	Fence(ctx context.Context, holder laceunit.Holder) error
}

// Member is an instance of the membership.
type Member struct {
	Holder  laceunit.Holder
	Address laceunit.Address
	Place   laceunit.Place
	// State is one word: live, draining, lost or fenced.
	State string
}

// Drainer starts the graceful shutdown of the instance that serves the API, without waiting for it.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Deps are the dependencies of the API.
type Deps struct {
	Configuration Configuration
	Ledger        Ledger
	Members       Members
	Drainer       Drainer
	// Orders may be nil; orders are then rejected.
	Orders   Orders
	AuditLog AuditLog
	// Operators may be nil; every call is then rejected.
	Operators *Operators
	// Instance is the instance that serves the API; it is the target in the audit records of drains.
	Instance laceunit.InstanceID
	// OnEdit is called after each accepted edit, so that the instance reads it immediately; nil is allowed.
	OnEdit func()
	// Now returns the wall-clock time of records.
	Now func() time.Time
}

// timeout limits the processing time of one request.
const timeout = 30 * time.Second

// Server serves the API.
type Server struct {
	deps Deps
	mux  *http.ServeMux
}

// NewServer returns the handler of the API.
func NewServer(deps Deps) *Server {
	if deps.OnEdit == nil {
		deps.OnEdit = func() {}
	}
	if deps.Operators == nil {
		deps.Operators = &Operators{}
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	s := &Server{
		deps: deps,
		mux:  http.NewServeMux(),
	}
	s.handle("GET config", s.showConfig)
	s.handle("POST config/plan", s.planConfig)
	s.handle("POST config/apply", s.applyConfig)
	s.handle("GET config/history", s.history)
	s.handle("GET accounts", s.accounts)
	s.handle("POST accounts/{account}/rotate", s.rotate)
	s.handle("GET budgets", s.budgets)
	s.handle("GET budgets/{budget}", s.budget)
	s.handle("POST budgets/{budget}/topup", s.topUp)
	s.handle("GET grants", s.grants)
	s.handle("POST budgets/{budget}/grants/{grant}/release", s.release)
	s.handle("GET instances", s.instances)
	s.handle("POST instances/{instance}/{incarnation}/fence", s.fence)
	s.handle("POST drain", s.drain)
	s.handle("GET servers", s.servers)
	s.handle("POST servers/{server}/orders", s.order)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// call is one authenticated request.
type call struct {
	*http.Request
	operator Operator
}

func (s *Server) handle(pattern string, handler func(call) (any, error)) {
	method, path, _ := strings.Cut(pattern, " ")
	s.mux.HandleFunc(method+" "+Prefix+path, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		operator, ok := s.deps.Operators.Authenticate(r)
		if !ok {
			respond(w, nil, newFault(Unauthorized, "unknown or missing operator token"))
			return
		}
		v, err := handler(call{
			Request:  r,
			operator: operator,
		})
		respond(w, v, err)
	})
}

func respond(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		f := toFault(err)
		status, v = f.Code.Status(), f
	}
	text, err := encodeJSON(v)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"code":"internal","message":"internal error"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// decodeBody decodes a request; it rejects unknown keys, because a misspelt key would otherwise be ignored silently.
func decodeBody[T any](c call) (T, error) {
	var v T
	d := json.NewDecoder(c.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, newFault(BadRequest, "the body is not the JSON that this call takes: "+err.Error())
	}
	return v, nil
}

func (c call) requirePermission(p Permission) error {
	if !c.operator.HasPermission(p) {
		return newFault(Forbidden, "operator "+c.operator.Name+" may not change "+string(p))
	}
	return nil
}

func requireID(id string) error {
	if !laceyaml.IsID(id) {
		return newFault(BadRequest, "id is missing or malformed")
	}
	return nil
}

// perform records an action, executes it and records its result. An action whose id already exists is executed again:
// actions are idempotent, and the retry completes an action whose first response was lost. The exception is an order
// that has completed: executing it again would undo a later order.
func (s *Server) perform(c call, record Action, action func(context.Context) (int64, bool, error)) (any, error) {
	if err := requireID(record.ID); err != nil {
		return nil, err
	}
	record.Actor, record.Time, record.Result = c.operator.Name, s.deps.Now().UTC(), resultPending
	existing, exists, err := s.deps.AuditLog.Begin(c.Context(), record)
	if err != nil {
		return nil, err
	}
	if exists &&
		(existing.Kind != record.Kind || existing.Target != record.Target || existing.Tokens != record.Tokens) {
		return nil, newFault(IDReused, "the id was used for another request")
	}
	if exists && existing.Result == resultDone && record.Kind == actionOrder {
		return ActionResult{
			ID:       record.ID,
			Repeated: true,
		}, nil
	}
	tokens, repeated, err := action(c.Context())
	if err != nil {
		if code := toFault(err).Code; code == NotFound || code == Conflict || code == BadRequest {
			record.Result = resultRefused
			_ = s.deps.AuditLog.End(c.Context(), record)
		}
		return nil, err
	}
	record.Result = resultDone
	// The action has been executed and recorded; if End fails, only the result is missing from the record.
	_ = s.deps.AuditLog.End(c.Context(), record)
	return ActionResult{
		ID:       record.ID,
		Repeated: repeated || (exists && existing.Result == resultDone),
		Tokens:   tokens,
	}, nil
}
