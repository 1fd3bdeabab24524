package laceroute

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// RetryMode says how a request of a route may be retried.
type RetryMode int

// The retry modes.
const (
	// AtMostOnce means that a request must not run more than once.
	AtMostOnce RetryMode = iota
	// Idempotent means that a request may run more than once.
	Idempotent
	// Resumable means that another server may resume a stream after the last event received.
	Resumable
)

// Route describes how requests to a path prefix are served.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	RetryMode RetryMode
	// Stream is true for responses that are event streams.
	Stream bool
	// Timeout is the longest time a request may take.
	Timeout time.Duration
	// LatencyObjective is the response-time objective; for a stream, the time to the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest time between events of a stream that meets the objective.
	MaxEventGap time.Duration
	// Rank is the priority among the routes of a service; 0 is the most urgent.
	Rank int
	// Targets are the services of the route with their traffic weights.
	Targets []Target
	// MaxAttempts is the number of servers that one request may be sent to.
	MaxAttempts int
	// Anonymous routes do not require an API key.
	Anonymous bool
	// PrefixAffinity sends requests with the same prompt prefix to the same server where possible.
	PrefixAffinity bool
}

// Target is a service and its weight in a route's traffic split.
type Target struct {
	Service laceunit.ServiceID
	Weight  int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	ID laceunit.ServiceID
	// MaxConnections is the number of connections that each server accepts from all clients together.
	MaxConnections int
	// Engine is set if the servers are model engines.
	Engine *Engine
}

// Engine describes the servers of a model service.
type Engine struct {
	// MaxTokensPerEvent is the maximum number of tokens in one stream event.
	MaxTokensPerEvent int
	// MemoryTokens is the number of tokens that each server can hold; zero means unknown.
	MemoryTokens int64
}

// Account is a client account with the API keys that identify it.
type Account struct {
	ID   laceunit.AccountID
	Keys []string
	// Rank takes precedence over Route.Rank when HasRank is true.
	Rank    int
	HasRank bool
	// Paid is the total number of tokens that the account may consume when Prepaid is true.
	Paid    laceunit.Tokens
	Prepaid bool
}

// Limits are the limits on client requests.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
}

// Document is one version of the routing configuration.
type Document struct {
	Version  laceunit.Version
	Routes   []Route
	Services []Service
	Accounts []Account
	// KeyRequired is true when requests must carry an API key.
	KeyRequired bool
	Limits      Limits
}
