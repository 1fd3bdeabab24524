package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// Pool names the servers of one model or one plain service.
type Pool struct {
	Kind laceconfig.Kind
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
	// Exclude are servers that earlier attempts have failed at; they are used only when there is no other.
	Exclude []laceunit.ServerID
	// Once marks a non-idempotent request, which is not used to probe a server while another one is healthy.
	NonIdempotent bool
	// Retry draws on the retry budget.
	Retry bool
	// Deadline ends the wait; the zero time stands for the configured wait.
	Deadline time.Time
}

// Ticket names a request from Pick to Done or Cancel.
type Ticket uint64

// Verdict says what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Sent means that the request may go to the server; Done must follow.
	Assigned Verdict = iota + 1
	// Waiting means that the decision comes out of a later call, under the same ticket.
	Waiting
	// Refused means that the request gets no server; the ticket has ended.
	Refused
)

// Reason tells why a request was refused.
type Reason int

// The reasons of a refusal.
const (
	// NoServer means that no server of the pool is usable.
	NoServer Reason = iota + 1
	// QueueFull means that the queue of the pool is full.
	QueueFull
	// Displaced means that a more urgent request or one of an account with fewer waiting ones took the place.
	Displaced
	// Late means that the deadline came while the request waited.
	DeadlineExceeded
	// NoRetry means that the retry budget is spent.
	RetryBudgetExhausted
	// Paused means that all usable servers of the pool have asked for a pause.
	Paused
	// Limited means that none of the pool's servers takes a request in time, because of the limits that they have named.
	RateLimited
)

// Decision is the answer to a request.
type Decision struct {
	Ticket     Ticket
	Verdict    Verdict
	Server     laceunit.ServerID
	Address    laceunit.Address
	Reason     Reason
	RetryAfter time.Duration
	// Estimate is the load that the server was chosen at, and Age that of the report behind it; zero without one.
	LoadEstimate float64
	ReportAge    time.Duration
}

// Result tells how an attempt at a server ended.
type Result int

// The results.
const (
	// Success means that the server answered.
	Success Result = iota + 1
	// Failure means that the server failed; failures in a row eject it.
	Failure
	// Busy means that the server refused because it is full.
	Busy
	// Unreachable means that no connection to the server could be opened; it ejects the server at once.
	Unreachable
	// Neutral says nothing about the server, such as a caller that went away.
	Neutral
)
