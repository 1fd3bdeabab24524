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

// Configuration is the store of the document; laceconfig.Store is one.
type Configuration interface {
	Show(ctx context.Context) (laceconfig.File, error)
	Plan(ctx context.Context, file laceconfig.File) (laceconfig.Plan, error)
	Apply(ctx context.Context, edit laceconfig.Edit) (laceconfig.Result, error)
	Amend(ctx context.Context, amendment laceconfig.Amendment) (laceconfig.Result, error)
	History(ctx context.Context, from laceunit.Version, limit int) ([]laceconfig.Record, error)
}

// Ledger is the part of laceledger.Ledger that operators need.
type Ledger interface {
	Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error)
	Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error)
	Balances(ctx context.Context) ([]laceledger.Balance, error)
}

// Members is the membership.
type Members interface {
	Instances(ctx context.Context) ([]Member, error)
	// Fence declares that an incarnation is gone for good; fencing it again changes nothing.
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

// Drainer starts the planned stop of the instance that serves the API and returns at once.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Parts are what the API works on.
type Deps struct {
	Configuration Configuration
	Ledger        Ledger
	Members       Members
	Drainer       Drainer
	// Orders may be nil; orders are then refused.
	Orders   Orders
	AuditLog AuditLog
	// Operators may be nil; every call is then refused.
	Operators *Operators
	// Instance is the one that serves the API; records of its drain name it.
	Instance laceunit.InstanceID
	// Accepted is told after each accepted edit, so that the instance reads it at once; nil is allowed.
	OnEdit func()
	// Now is the wall clock of records.
	Now func() time.Time
}

// timeout bounds the work of one request.
const timeout = 30 * time.Second

// Server serves the API.
type Server struct {
	parts Deps
	mux   *http.ServeMux
}

// NewServer returns the handler of the API.
func NewServer(parts Deps) *Server {
	if parts.OnEdit == nil {
		parts.OnEdit = func() {}
	}
	if parts.Operators == nil {
		parts.Operators = &Operators{}
	}
	if parts.Now == nil {
		parts.Now = time.Now
	}
	s := &Server{
		parts: parts,
		mux:   http.NewServeMux(),
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

func (s *Server) handle(pattern string, f func(call) (any, error)) {
	method, path, _ := strings.Cut(pattern, " ")
	s.mux.HandleFunc(method+" "+Prefix+path, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		operator, ok := s.parts.Operators.Authenticate(r)
		if !ok {
			respond(w, nil, fault(Unauthorized, "unknown or missing operator token"))
			return
		}
		v, err := f(call{
			Request:  r,
			operator: operator,
		})
		respond(w, v, err)
	})
}

func respond(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		f := asFault(err)
		status, v = f.Code.Status(), f
	}
	text, err := encode(v)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"code":"internal","message":"internal error"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// body decodes a request; unknown keys are refused, because a misspelt key would be ignored silently.
func body[T any](c call) (T, error) {
	var v T
	d := json.NewDecoder(c.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, fault(BadRequest, "the body is not the JSON that this call takes: "+err.Error())
	}
	return v, nil
}

func (c call) need(r Permission) error {
	if !c.operator.HasPermission(r) {
		return fault(Forbidden, "operator "+c.operator.Name+" may not change "+string(r))
	}
	return nil
}

func needID(id string) error {
	if !laceyaml.IsID(id) {
		return fault(BadRequest, "id is missing or malformed")
	}
	return nil
}

// act records an action, carries it out and records its result. A known id is carried out again, which is safe
// because every act is idempotent, so a lost answer can't leave it half done. An order that is done is not carried out
// again: it would undo a later one.
func (s *Server) act(c call, a Action, f func(context.Context) (int64, bool, error)) (any, error) {
	if err := needID(a.ID); err != nil {
		return nil, err
	}
	a.Actor, a.Time, a.Result = c.operator.Name, s.parts.Now().UTC(), resultAsked
	former, known, err := s.parts.AuditLog.Begin(c.Context(), a)
	if err != nil {
		return nil, err
	}
	if known && (former.Kind != a.Kind || former.Target != a.Target || former.Tokens != a.Tokens) {
		return nil, fault(IDReused, "the id was used for another request")
	}
	if known && former.Result == resultDone && a.Kind == actionOrder {
		return ActionResult{
			ID:       a.ID,
			Repeated: true,
		}, nil
	}
	tokens, repeated, err := f(c.Context())
	if err != nil {
		if code := asFault(err).Code; code == NotFound || code == Conflict || code == BadRequest {
			a.Result = resultRefused
			_ = s.parts.AuditLog.End(c.Context(), a)
		}
		return nil, err
	}
	a.Result = resultDone
	// The act is done and its record is there; only the result may be missing from it.
	_ = s.parts.AuditLog.End(c.Context(), a)
	return ActionResult{
		ID:       a.ID,
		Repeated: repeated || (known && former.Result == resultDone),
		Tokens:   tokens,
	}, nil
}
