package lacegateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacetrace"
	"lacewingcove/lib/laceunit"
)

// Configuration gives the document in force.
type Configuration interface {
	// Current returns the document in force; nil means that none has been received yet.
	Current() *laceconfig.Document
	// Fresh reports whether the document is certain enough to take new work.
	Fresh() bool
}

// Wallet reserves tokens.
type Wallet interface {
	Reserve(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (lacegrant.Reservation, error)
	ReserveOffline(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (lacegrant.Reservation, error)
	Convert(r lacegrant.Reservation) (lacegrant.Reservation, bool)
	Settle(r lacegrant.Reservation, used laceunit.Tokens)
	Forfeit(r lacegrant.Reservation)
	Drop(budget laceunit.BudgetID, grant laceunit.GrantID)
	Retire(budget laceunit.BudgetID, grant laceunit.GrantID)
}

// Choice is what the picker has to know of a request.
type PickRequest struct {
	Account  laceunit.AccountID
	Model    laceunit.ModelID
	Service  laceunit.ServiceID
	Prefix   lacebackend.Prefix
	Priority laceunit.Priority
	Exclude  []laceunit.ServerID
	Prefer   laceunit.ServerID
	// Retry is true when the pick counts against the retry budget.
	Retry bool
	// Once is true for a call that is not idempotent.
	NonIdempotent bool
	// Cost is the expected work in tokens.
	Cost laceunit.Tokens
}

// Result tells the picker how an attempt ended.
type AttemptResult uint8

// The results of an attempt.
const (
	ResultSuccess AttemptResult = iota + 1
	ResultFailure
	ResultCanceled
	// ResultSuspect marks a server that reported more tokens than it was allowed.
	ResultOverrun
	// ResultHeld means that the server wants no requests; it has not failed.
	ResultUnavailable
)

// Ticket is one picked backend server; Done is called exactly once.
type PickResult struct {
	Server  laceunit.ServerID
	Address laceunit.Address
	Done    func(result AttemptResult)
	// Notice takes in what an answer says about the server. Held reports whether the server must not get the request any
	// more. Both may be nil.
	OnNotice  func(notice lacebackend.Notice)
	IsBlocked func() bool
}

// Picker chooses backend servers; it may wait for one, within its own bound.
type Picker interface {
	Pick(ctx context.Context, choice PickRequest) (PickResult, *lacefault.Fault)
}

// Members knows the other instances.
type Membership interface {
	// Authorize decides whether and how a request may run now.
	Authorize(request laceledger.Request, idempotent bool) lacemember.Decision
	// Abandon ends the authorization of a call that is not idempotent and certainly did not run.
	Abandon(request laceledger.Request)
	// Enabled reports whether another member has acknowledged this instance; before that it runs no call that is not
	// idempotent.
	Enabled() bool
	// Addresses returns the addresses that callers may use, best first, and for how long.
	Addresses() ([]AddressEntry, time.Duration)
	// Other returns the address of another instance that takes new work, or nothing.
	RedirectAddress() laceunit.Address
}

// AddressEntry is one line of the address list.
type AddressEntry struct {
	Instance laceunit.InstanceID
	Zone     laceunit.ZoneID
	Address  laceunit.Address
}

// Journal keeps the records of offline work.
type Journal interface {
	// Copy stores the entry and returns once the instances that the decision asks for have copies.
	Copy(ctx context.Context, entry laceledger.Offline, decision lacemember.Decision) error
	// Abandon drops the entry of a request whose call was certainly not sent or whose answer nobody received.
	Abandon(request laceledger.Request)
	// Find returns what this instance's journal knows of a request.
	Find(request laceledger.Request) (laceledger.Offline, bool)
}

// Limiter admits requests.
type Limiter interface {
	// Admit returns a function to call when the request ends, with the tokens of its output, or the refusal.
	Admit(ctx context.Context, admission AdmissionRequest) (func(output laceunit.Tokens), *lacefault.Fault)
}

// Admission is what the limiter has to know of a request.
type AdmissionRequest struct {
	Account  laceunit.AccountID
	Priority laceunit.Priority
	// Tokens are due at once: the prompt, or the price of a service call.
	Tokens laceunit.Tokens
	// Limits are the client account's own limits.
	Limits laceconfig.AccountLimits
}

// Deps are the services that a gateway stands on.
type Deps struct {
	Configuration Configuration
	Wallet        Wallet
	Ledger        laceledger.Ledger
	Picker        Picker
	Backend       lacebackend.Client
	Membership    Membership
	Journal       Journal
	Limiter       Limiter
}

// Option changes a gateway at construction.
type Option func(*Gateway)

// WithClock replaces the system clock.
func WithClock(now func() time.Time) Option {
	return func(g *Gateway) { g.now = now }
}

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option {
	return func(g *Gateway) { g.logger = logger }
}

// WithMetrics sets the metrics.
func WithMetrics(metrics *Metrics) Option {
	return func(g *Gateway) { g.metrics = metrics }
}

// WithHolder names the incarnation in attempt ids, so that two processes never use the same one.
func WithHolder(holder laceunit.Holder) Option {
	return func(g *Gateway) { g.holder = holder }
}

// WithRecorder writes a trace of every request that ends.
func WithRecorder(recorder *lacetrace.Recorder) Option {
	return func(g *Gateway) { g.recorder = recorder }
}

// Gateway serves callers.
type Gateway struct {
	deps     Deps
	now      func() time.Time
	logger   logr.Logger
	metrics  *Metrics
	holder   laceunit.Holder
	keys     keyring
	resolver *Resolver
	recorder *lacetrace.Recorder

	mu       sync.Mutex
	draining bool
	running  sync.WaitGroup
	serial   uint64
}

// New returns a gateway.
func New(deps Deps, options ...Option) *Gateway {
	g := &Gateway{
		deps:   deps,
		now:    time.Now,
		logger: logr.Discard(),
	}
	for _, o := range options {
		o(g)
	}
	if g.metrics == nil {
		g.metrics = NewMetrics(nil)
	}
	g.resolver = newResolver(deps, g.now, g.metrics)
	return g
}

// Resolver returns the background service that ends open records.
func (g *Gateway) Resolver() *Resolver {
	return g.resolver
}

// Handler returns the HTTP API for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.chat)
	mux.HandleFunc("/v1/services/{service}/{path...}", g.service)
	mux.HandleFunc("GET /v1/requests/{id}", g.find)
	mux.HandleFunc("GET /v1/addresses", g.addresses)
	mux.HandleFunc("GET /healthz", g.health)
	mux.HandleFunc("GET /readyz", g.ready)
	return mux
}

// Refuse refuses new work from now on.
func (g *Gateway) StartDraining() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Drain refuses new work from now on and waits until every running request has its final answer.
func (g *Gateway) Drain(ctx context.Context) error {
	g.StartDraining()
	done := make(chan struct{})
	go func() {
		g.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close waits for the requests under way; it does not cut them off.
func (g *Gateway) Close() error {
	return g.Drain(context.Background())
}

// enter counts a request in, or refuses it when the instance drains.
func (g *Gateway) enter() (uint64, *lacefault.Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return 0, &lacefault.Fault{
			Outcome:    lacefault.NotRun,
			Code:       lacefault.Draining,
			Message:    "this instance is stopping",
			RetryAfter: time.Second,
			Instance:   g.deps.Membership.RedirectAddress(),
		}
	}
	g.running.Add(1)
	g.serial++
	return g.serial, nil
}

func (g *Gateway) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}
