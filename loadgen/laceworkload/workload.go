package laceworkload

import (
	"math"
	"math/rand/v2"
	"time"

	"lacewingcove/lib/laceunit"
)

// ClassID names a class of requests.
type ClassID string

// Kind tells chats from calls of plain services.
type Kind string

// The kinds of requests.
const (
	KindChat    Kind = "chat"
	KindService Kind = "service"
)

// Workload is what callers do during a run.
type Workload struct {
	Name string
	// Duration is how long requests arrive.
	Duration time.Duration
	Accounts map[laceunit.AccountID]Account
	Classes  map[ClassID]Class
	Retry    RetryPolicy
	Limits   Limits
	Standin  Standin
}

// Account is a client account with its key and what was paid into its budgets.
type Account struct {
	Key     string
	Budgets []Budget
}

// Budget is a prepaid budget; a run spreads the requests of an account evenly over its budgets.
type Budget struct {
	Name laceunit.BudgetID
	Paid laceunit.Tokens
}

// Class is a class of requests that arrive as a Poisson process.
type Class struct {
	Kind Kind
	// Rate is in requests a second.
	Rate     float64
	Accounts []AccountWeight
	// Model, Stream, Prompt, Output and the prefixes belong to chats.
	Model laceunit.ModelID
	// Stream is the share of chats that are streamed.
	StreamedShare float64
	Prompt        LengthDistribution
	Output        LengthDistribution
	Prefixes      Prefixes
	// Service, Method, Path, Body, Price and Idempotent belong to calls of plain services.
	Service    laceunit.ServiceID
	Method     string
	Path       string
	Body       LengthDistribution
	Price      laceunit.Tokens
	Idempotent bool
}

// Share is the weight of a client account within a class.
type AccountWeight struct {
	Account laceunit.AccountID
	Weight  float64
}

// Prefixes are instructions that several prompts of a class begin with.
type Prefixes struct {
	Count  int
	Tokens int
}

// Length is a log-normal distribution of a number of tokens or words, cut off at both ends.
type LengthDistribution struct {
	Median float64
	// Spread is the standard deviation of the logarithm.
	Sigma float64
	Min   int
	Max   int
}

// draw returns one length.
func (l LengthDistribution) draw(r *rand.Rand) int {
	v := l.Median * math.Exp(l.Sigma*r.NormFloat64())
	return int(min(max(v, float64(l.Min)), float64(l.Max)))
}

// Retry is how callers deal with refusals and cut answers.
type RetryPolicy struct {
	// Tries bounds the attempts of one request.
	MaxAttempts int
	// Wait is the pause before a retry when the instance names none; it doubles up to Longest.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Timeout bounds one attempt.
	AttemptTimeout time.Duration
	// Deadline bounds a request with all of its attempts.
	RequestTimeout time.Duration
	// Ask is how long the state of a request with an unknown outcome is asked for before it is given up.
	StatusQueryTimeout time.Duration
}

// Limits bound a run.
type Limits struct {
	MaxConcurrent int
	MaxRequests   int
	// Verify is how many requests are compared with the ledger after the run.
	MaxVerified int
}

// Standin names the servers whose counts the checks read.
type Standin struct {
	Platform laceunit.Address
	Services []laceunit.Address
}
