package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// Pool identifies the servers of one model or one plain service.
type Pool struct {
	Kind laceconfig.ServerKind
	Name string
}

// ModelPool returns the pool of the engines of a model.
func ModelPool(model laceunit.ModelID) Pool {
	return Pool{
		Kind: laceconfig.KindEngine,
		Name: string(model),
	}
}

// ServicePool returns the pool of the servers of a plain service.
func ServicePool(service laceunit.ServiceID) Pool {
	return Pool{
		Kind: laceconfig.KindService,
		Name: string(service),
	}
}

// Request asks for a server.
type Request struct {
	Pool     Pool
	Account  laceunit.AccountID
	Priority laceunit.Priority
	// Prefix is the hash of the beginning of the prompt; zero means none.
	Prefix uint64
	// Exclude lists servers at which earlier attempts failed; they are used only when no other server is available.
	Exclude []laceunit.ServerID
	// Version restricts the request to the servers of one software version; nil permits all. A request whose version has
	// no usable server is refused.
	Version *laceunit.SoftwareVersion
	// NonIdempotent requests are not used to probe an ejected server while another one is healthy, unless no other request
	// has probed it for some minutes.
	NonIdempotent bool
	// Retry marks a retry, which is counted against the retry budget.
	Retry bool
	// Deadline bounds the time in the queue; the zero time stands for the configured maximum. With a prompt it is the
	// time limit of the request, which is queued as long as it can still be served until then.
	Deadline time.Time
	// Prompt enables token-aware placement: the server is chosen by what the prompt would meet and cause there. Nil
	// selects the policy of the routing settings.
	Prompt *Prompt
}

// Ticket identifies a request from Pick to Done or Cancel.
type Ticket uint64

// Verdict tells whether a request was assigned, queued or refused.
type Verdict int

// The verdicts.
const (
	// Assigned means that the request may be sent to the server; Done must follow.
	Assigned Verdict = iota + 1
	// Waiting means that the request is queued; a later call returns the decision under the same ticket.
	Waiting
	// Refused means that the request gets no server; the ticket is no longer valid.
	Refused
)

// Reason is the reason why a request was refused.
type Reason int

// The reasons of a refusal.
const (
	// NoServer means that no server of the pool is usable.
	NoServer Reason = iota + 1
	// QueueFull means that the queue of the pool is full.
	QueueFull
	// Displaced means that a request with a higher priority, or of an account with fewer queued ones, took its place in
	// the full queue.
	Displaced
	// DeadlineExceeded means that the deadline passed while the request was queued.
	DeadlineExceeded
	// RetryBudgetExhausted means that the retry budget does not permit a retry.
	RetryBudgetExhausted
	// Paused means that all usable servers of the pool have asked for a pause.
	Paused
	// RateLimited means that the rate limits of the pool's servers permit no request before the deadline.
	RateLimited
	// Withheld means that the brittle servers of the pool have no room for the request before its deadline.
	Withheld
	// NotInTime means that no server can serve the request before its time limit.
	NotInTime
)

// Decision is the result of Pick, or of a later call for a queued request.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	Server     laceunit.ServerID
	Address    laceunit.Address
	Reason     Reason
	RetryAfter time.Duration
	// LoadEstimate is the estimated load of the server when it was selected. ReportAge is the age of the load report that
	// the estimate is based on, zero without one.
	LoadEstimate float64
	ReportAge    time.Duration
	// Placement is the estimate by which a request with a prompt was placed; nil for other requests.
	Placement *Placement
}

// Result is the outcome of an attempt at a server.
type Result int

// The results.
const (
	// Success means that the server responded.
	Success Result = iota + 1
	// Failure means that the server failed; consecutive failures eject it.
	Failure
	// Busy means that the server rejected the request because it is full.
	Busy
	// Unreachable means that no connection to the server could be opened; it ejects the server at once.
	Unreachable
	// Silent means that the server did not respond in time; consecutive failures and silences eject it.
	Silent
	// SilentHandshake means that the server's machine did not answer the handshake in time; it ejects the server at once.
	SilentHandshake
	// Neutral is an outcome that does not depend on the server, such as a canceled request.
	Neutral
)
