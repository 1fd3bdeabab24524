package laceroute

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Repeat says what may be done again for one request of a route.
type RetryMode int

// The kinds of repetition.
const (
	// Once means that a request runs at most once.
	AtMostOnce RetryMode = iota
	// Idempotent means that a request may run more than once.
	Idempotent
	// Resumable means that a stream may go on at another server behind the last event that arrived.
	Resumable
)

// Route says how requests below a path are served.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	RetryMode RetryMode
	// Stream marks answers that are a series of events.
	Stream bool
	// Timeout is the longest time that a request may stay unanswered.
	Timeout time.Duration
	// Goal is the response-time objective, up to the first event of a stream.
	LatencyObjective time.Duration
	// Gap is the longest pause between events of a stream that is still on time.
	MaxEventGap time.Duration
	// Rank orders the routes of a service; 0 is the most urgent.
	Rank int
	// Targets are the services of the route with their shares of the traffic.
	Targets []Target
	// Attempts is how many servers one request may be sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Affinity marks requests whose prompts share parts.
	PrefixAffinity bool
}

// Target is a service with its share of a route's traffic.
type Target struct {
	Service laceunit.ServiceID
	Weight  int
}

// Service is a group of equal backend servers.
type Service struct {
	ID laceunit.ServiceID
	// Connections is how many connections each server takes from all callers.
	MaxConnections int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the servers of a model service.
type Engine struct {
	// Stride is how many tokens one event of a stream holds at most.
	MaxTokensPerEvent int
}

// Account is a client account with the keys that name it.
type Account struct {
	ID   laceunit.AccountID
	Keys []string
	// Rank takes precedence over the rank of routes when Ranked is true.
	Rank    int
	HasRank bool
	// Paid is the total that the account may consume when Prepaid is true.
	Paid    laceunit.Tokens
	Prepaid bool
}

// Limits bound what a caller may send.
type Limits struct {
	// Body is the largest body in bytes.
	MaxBodyBytes int64
}

// Document is one version of the configuration.
type Document struct {
	Version  laceunit.Version
	Routes   []Route
	Services []Service
	Accounts []Account
	// Keyed is true when requests need a key.
	KeyRequired bool
	Limits      Limits
}
