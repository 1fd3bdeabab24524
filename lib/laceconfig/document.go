package laceconfig

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Document is an accepted configuration; it is immutable once it is in force.
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
	// Limits override the document's default limits where they are not zero.
	Limits AccountLimits
}

// Key is an API key, stored as the hexadecimal SHA-256 of the key.
type Key struct {
	Name string
	Hash string
	// Budget is the budget that is charged when a request names none; empty means the account's first.
	Budget laceunit.BudgetID
}

// ServerKind distinguishes model engines from plain services.
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
	// Slots is the number of requests that the server runs concurrently before it queues further ones.
	Slots int
	// SupportsFencing is true when the server rejects orders with an outdated fencing token.
	SupportsFencing bool
	// Version is the version of the server's software.
	Version laceunit.SoftwareVersion
	// Leaving servers receive no new requests.
	Leaving bool
	// StartTime distinguishes restarts of a server under the same id, where it is known; it is not a key of the
	// document.
	StartTime int64
}

// Model is a model that callers can request.
type Model struct {
	// ContextWindow is the maximum of prompt plus output in tokens.
	ContextWindow laceunit.Tokens
	// MaxOutput is the maximum output, and the default when a request sets none.
	MaxOutput laceunit.Tokens
	Priority  laceunit.Priority
}

// Service is a plain service that callers can invoke.
type Service struct {
	Priority laceunit.Priority
	// Price is the cost of one call.
	Price laceunit.Tokens
	// Timeout bounds one call.
	Timeout time.Duration
	// Routes define which calls are idempotent; the first match applies. Without a match, only GET and HEAD are.
	Routes []Route
	// SupportsLookup is true when the backend server implements GET /v1/requests/{id}.
	SupportsLookup bool
}

// Route sets properties of the calls of a service that match a method and a path prefix.
type Route struct {
	Method     string
	Prefix     string
	Idempotent bool
	// Price overrides the service's price when it is not zero.
	Price laceunit.Tokens
}

// Routing configures load balancing, retries, ejection and queueing.
type Routing struct {
	// Policy is the load balancing policy.
	Policy string
	// LoadFactor is the maximum load of a server relative to the mean; above it, prefix affinity is given up.
	LoadFactor float64
	// RetryRatio is the maximum ratio of retries to requests.
	RetryRatio float64
	// EjectAfter is the number of consecutive failures after which a server is ejected.
	EjectAfter int
	// EjectionTime is how long an ejected server gets no requests before it is probed.
	EjectionTime time.Duration
	// MaxQueued bounds the requests that wait for a server, QueueTimeout the waiting time of each.
	MaxQueued    int
	QueueTimeout time.Duration
}

// Limits are the limits of an instance and the default limits of client accounts.
type Limits struct {
	Account AccountLimits
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests that an instance runs concurrently, MaxQueued those that wait for admission.
	MaxConcurrent int
	MaxQueued     int
	// QueueTimeout bounds the time in the admission queue.
	QueueTimeout time.Duration
}

// AccountLimits bound one client account on one instance; zero means no limit.
type AccountLimits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	MaxConcurrent     int
}

// Audit configures the retention of audit records.
type Audit struct {
	Retention time.Duration
}
