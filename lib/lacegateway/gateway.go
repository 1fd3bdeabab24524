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

// Configuration provides the active configuration document.
type Configuration interface {
	// Current returns the active document, or nil if none has been received yet.
	Current() *laceconfig.Document
	// Fresh reports whether the document is sufficiently certain to be current, so that new requests may be accepted.
	Fresh() bool
}

// Wallet reserves tokens from budgets.
type Wallet interface {
	Reserve(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (lacegrant.Reservation, error)
	ReserveOffline(ctx context.Context, budget laceunit.BudgetID, ceiling laceunit.Tokens) (lacegrant.Reservation, error)
	Convert(r lacegrant.Reservation) (lacegrant.Reservation, bool)
	Settle(r lacegrant.Reservation, used laceunit.Tokens)
	Forfeit(r lacegrant.Reservation)
	Drop(budget laceunit.BudgetID, grant laceunit.GrantID)
	Retire(budget laceunit.BudgetID, grant laceunit.GrantID)
}

// PickRequest holds the properties of a request that determine its backend server.
type PickRequest struct {
	Account  laceunit.AccountID
	Model    laceunit.ModelID
	Service  laceunit.ServiceID
	Prefix   lacebackend.Prefix
	Priority laceunit.Priority
	Exclude  []laceunit.ServerID
	Prefer   laceunit.ServerID
	// Retry is true if the pick counts against the retry budget.
	Retry         bool
	NonIdempotent bool
	// Cost is the estimated cost of the request in tokens.
	Cost laceunit.Tokens
}

// AttemptResult is the result of an attempt, reported to the picker.
type AttemptResult uint8

// The results of an attempt.
const (
	ResultSuccess AttemptResult = iota + 1
	ResultFailure
	ResultCanceled
	// ResultOverrun means that the server reported more tokens than the request's ceiling.
	ResultOverrun
	// ResultUnavailable means that the server accepts no requests for now; it does not count as a failure.
	ResultUnavailable
)

// PickResult is the backend server picked for an attempt; Done must be called exactly once.
type PickResult struct {
	Server  laceunit.ServerID
	Address laceunit.Address
	Done    func(result AttemptResult)
	// OnNotice processes what a response header says about the state of the server. IsBlocked reports whether the
	// request must no longer be sent to the server. Both may be nil.
	OnNotice  func(notice lacebackend.Notice)
	IsBlocked func() bool
}

// Picker selects backend servers; it may queue a request until one has capacity, up to its own timeout.
type Picker interface {
	Pick(ctx context.Context, request PickRequest) (PickResult, *lacefault.Fault)
}

// Membership is the gateway's view of the fleet's membership.
type Membership interface {
	// Authorize decides whether a request may run on this instance now, and whether online or offline.
	Authorize(request laceledger.Request, idempotent bool) lacemember.Decision
	// Abandon revokes the authorization of a non-idempotent call that certainly did not run.
	Abandon(request laceledger.Request)
	// Enabled reports whether another member has acknowledged this instance; until then it runs no non-idempotent
	// calls.
	Enabled() bool
	// Addresses returns the addresses that callers may use, best first, and how long the list is valid.
	Addresses() ([]AddressEntry, time.Duration)
	// RedirectAddress returns the address of another instance that accepts new requests, or an empty address.
	RedirectAddress() laceunit.Address
}

// AddressEntry is an entry of the address list.
type AddressEntry struct {
	Instance laceunit.InstanceID
	Zone     laceunit.ZoneID
	Address  laceunit.Address
}

// Journal stores the records of requests that run offline.
type Journal interface {
	// Copy stores the entry and returns once the instances that the decision requires have copies.
	Copy(ctx context.Context, entry laceledger.Offline, decision lacemember.Decision) error
	// Abandon deletes the entry of a request that certainly was not sent or whose response nobody received.
	Abandon(request laceledger.Request)
	// Find returns the entry of a request in this instance's journal.
	Find(request laceledger.Request) (laceledger.Offline, bool)
}

// Limiter is the admission control.
type Limiter interface {
	// Admit returns a function to call with the number of output tokens when the request ends, or the refusal.
	Admit(ctx context.Context, request AdmissionRequest) (func(output laceunit.Tokens), *lacefault.Fault)
}

// AdmissionRequest holds the properties of a request that determine its admission.
type AdmissionRequest struct {
	Account  laceunit.AccountID
	Priority laceunit.Priority
	// Tokens are charged at admission: the length of the prompt, or the price of a service call.
	Tokens laceunit.Tokens
	// Limits are the client account's own limits.
	Limits laceconfig.AccountLimits
}

// Deps are the dependencies of a gateway.
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

// Option configures a gateway at construction.
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

// WithHolder sets the incarnation that is part of attempt ids, so that two processes never use the same id.
func WithHolder(holder laceunit.Holder) Option {
	return func(g *Gateway) { g.holder = holder }
}

// WithRecorder sets the recorder of request traces; a trace is written when its request ends.
func WithRecorder(recorder *lacetrace.Recorder) Option {
	return func(g *Gateway) { g.recorder = recorder }
}

// Gateway serves the HTTP API for callers.
type Gateway struct {
	deps     Deps
	now      func() time.Time
	logger   logr.Logger
	metrics  *Metrics
	holder   laceunit.Holder
	keys     keyring
	resolver *Resolver
	recorder *lacetrace.Recorder

	// attempts is the context of all attempts at servers; abort ends it.
	attempts context.Context
	abort    context.CancelFunc

	mu           sync.Mutex
	draining     bool
	running      sync.WaitGroup
	lastSequence uint64
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
	g.attempts, g.abort = context.WithCancel(context.Background())
	return g
}

// Resolver returns the background service that retries unresolved records.
func (g *Gateway) Resolver() *Resolver {
	return g.resolver
}

// Handler returns the HTTP API for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.chat)
	mux.HandleFunc("/v1/services/{service}/{path...}", g.service)
	mux.HandleFunc("GET /v1/requests/{id}", g.requestState)
	mux.HandleFunc("GET /v1/addresses", g.addresses)
	mux.HandleFunc("GET /healthz", g.health)
	mux.HandleFunc("GET /readyz", g.ready)
	return mux
}

// StartDraining makes the gateway refuse new requests.
func (g *Gateway) StartDraining() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Drain refuses new requests and waits until the running ones have ended, with their background work. When the context
// ends, it aborts their attempts, so that they are answered, and returns its error.
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
		g.abort()
		return ctx.Err()
	}
}

// Close drains the gateway without a timeout; it does not cancel running requests.
func (g *Gateway) Close() error {
	return g.Drain(context.Background())
}

// startRequest registers a running request and returns its sequence number, or a fault if the instance is draining.
func (g *Gateway) startRequest() (uint64, *lacefault.Fault) {
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
	g.lastSequence++
	return g.lastSequence, nil
}

func (g *Gateway) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}
