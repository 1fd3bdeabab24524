package laceworkload

import (
	"math"
	"math/rand/v2"
	"time"

	"lacewingcove/lib/laceunit"
)

// ClassID names a class of requests.
type ClassID string

// Kind distinguishes chats from calls of plain services.
type Kind string

// The kinds of requests.
const (
	KindChat    Kind = "chat"
	KindService Kind = "service"
)

// Workload describes the requests that callers send during a run.
type Workload struct {
	Name string
	// Duration is the time during which requests arrive.
	Duration time.Duration
	Accounts map[laceunit.AccountID]Account
	Classes  map[ClassID]Class
	Retry    RetryPolicy
	Limits   Limits
	Standin  Standin
}

// Account is a client account with its API key and its prepaid budgets.
type Account struct {
	Key     string
	Budgets []Budget
}

// Budget is a prepaid budget; a run spreads the requests of an account evenly over its budgets.
type Budget struct {
	Name laceunit.BudgetID
	Paid laceunit.Tokens
}

// Class is a class of requests with Poisson arrivals.
type Class struct {
	Kind Kind
	// Rate is in requests per second.
	Rate     float64
	Accounts []AccountWeight
	// Model, StreamedShare, Prompt, Output and Prefixes apply to chats.
	Model laceunit.ModelID
	// StreamedShare is the share of chats that are streamed, from 0 to 1.
	StreamedShare float64
	Prompt        LengthDistribution
	Output        LengthDistribution
	Prefixes      Prefixes
	// Service, Method, Path, Body, Price and Idempotent apply to calls of plain services.
	Service    laceunit.ServiceID
	Method     string
	Path       string
	Body       LengthDistribution
	Price      laceunit.Tokens
	Idempotent bool
}

// AccountWeight is the weight of a client account within a class.
type AccountWeight struct {
	Account laceunit.AccountID
	Weight  float64
}

// Prefixes are the system prompts that the prompts of a class share.
type Prefixes struct {
	Count  int
	Tokens int
}

// LengthDistribution is a log-normal distribution of a number of tokens or words, clamped to Min and Max.
type LengthDistribution struct {
	Median float64
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	Min   int
	Max   int
}

// draw returns a random length.
func (l LengthDistribution) draw(r *rand.Rand) int {
	v := l.Median * math.Exp(l.Sigma*r.NormFloat64())
	return int(min(max(v, float64(l.Min)), float64(l.Max)))
}

// RetryPolicy configures how callers retry refused and interrupted requests.
type RetryPolicy struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// InitialBackoff is the delay before a retry if the instance requests none; it doubles up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// RequestTimeout bounds a request with all of its attempts.
	RequestTimeout time.Duration
	// StatusQueryTimeout is how long the status of a request with an unknown outcome is polled.
	StatusQueryTimeout time.Duration
}

// Limits bound a run.
type Limits struct {
	MaxConcurrent int
	MaxRequests   int
	// MaxVerified bounds the requests that are compared with the ledger after the run.
	MaxVerified int
}

// Standin holds the addresses of the stand-in servers whose counters the checks read.
type Standin struct {
	Platform laceunit.Address
	Services []laceunit.Address
}
