package laceconfig

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Document is one accepted configuration; it is immutable once it is in force.
type Document struct {
	Version  laceunit.Version
	Accounts map[laceunit.AccountID]Account
	Servers  map[laceunit.ServerID]Server
	Models   map[laceunit.ModelID]Model
	Services map[laceunit.ServiceID]Service
	Routing  Routing
	Limits   Limits
	Audit    Audit
}

// Account is a client account: its keys, its budgets and its limits.
type Account struct {
	Name    string
	Keys    []Key
	Budgets []laceunit.BudgetID
	// Limits override the document's limits where they are not zero.
	Limits AccountLimits
}

// Key is an API key, stored as the hexadecimal SHA-256 of the key.
type Key struct {
	Name string
	Hash string
	// Budget is the budget that the key draws on when a request names none; empty means the account's first.
	Budget laceunit.BudgetID
}

// Kind tells model engines from plain services.
type ServerKind string

// The kinds of backend servers.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// Server is a backend server.
type Server struct {
	Kind    ServerKind
	Address laceunit.Address
	Place   laceunit.Place
	// Models are the models that an engine serves.
	Models []laceunit.ModelID
	// Services are the plain services that the server offers.
	Services []laceunit.ServiceID
	// Slots is how many requests the server runs at once before it queues.
	Slots int
	// Fencing is true when the server refuses orders with an old fencing token.
	SupportsFencing bool
	// Leaving servers get no new work.
	Leaving bool
	// Born tells the starts of a server under one id apart, where they are known; documents don't name it.
	StartTime int64
}

// Model is a model that callers can ask for.
type Model struct {
	// Context is the largest prompt plus output in tokens.
	ContextWindow laceunit.Tokens
	// Output is the largest output, and the default when a request sets none.
	MaxOutput laceunit.Tokens
	Priority  laceunit.Priority
}

// Service is a plain service that callers can reach.
type Service struct {
	Priority laceunit.Priority
	// Price is what one call costs.
	Price laceunit.Tokens
	// Timeout bounds one call.
	Timeout time.Duration
	// Routes decide which calls are idempotent; the first match counts. Calls without a match are idempotent
	// only for GET and HEAD.
	Routes []Route
	// Lookup is true when the backend server answers GET /v1/requests/{id}.
	SupportsLookup bool
}

// Route marks calls of a service by method and path prefix.
type Route struct {
	Method     string
	Prefix     string
	Idempotent bool
	// Price overrides the service's price when it is not zero.
	Price laceunit.Tokens
}

// Routing sets the choice of backend servers.
type Routing struct {
	// Policy names the balancer policy.
	Policy string
	// Bound is the most that a server may hold relative to the mean before prefix affinity is given up.
	LoadFactor float64
	// Retries is the share of requests that may be retried.
	RetryRatio float64
	// Eject is how many failures in a row eject a server.
	EjectAfter int
	// Probe is how long an ejected server rests before it is probed.
	EjectionTime time.Duration
	// Queue bounds the requests that wait for a server, and Wait how long each may.
	MaxQueued    int
	QueueTimeout time.Duration
}

// Limits are the instance's limits and the defaults of client accounts.
type Limits struct {
	Account AccountLimits
	// Body is the largest request body in bytes.
	MaxBodyBytes int64
	// Concurrent bounds the requests that an instance runs at once, Waiting those that queue for admission.
	MaxConcurrent int
	MaxQueued     int
	// Wait bounds the time in the admission queue.
	QueueTimeout time.Duration
}

// AccountLimits bound one client account on one instance; zero means no limit.
type AccountLimits struct {
	// Requests and Tokens are rates per second.
	RequestsPerSecond float64
	TokensPerSecond   float64
	MaxConcurrent     int
}

// Audit sets how long audit records are kept.
type Audit struct {
	Retention time.Duration
}
