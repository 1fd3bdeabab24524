package lacefault

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceunit"
)

// Outcome tells a caller whether its request was executed.
type Outcome string

// The outcomes; the set is closed.
const (
	// Done means that the request was executed and billed exactly once.
	Done Outcome = "done"
	// NotRun means that the request was definitely not executed and not billed.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have been executed; the outcome can be queried by request id later.
	Unknown Outcome = "unknown"
)

// Code is a stable, machine-readable error code.
type Code string

// The codes; the set is closed.
const (
	BadRequest          Code = "bad_request"
	TooLarge            Code = "too_large"
	Unauthorized        Code = "unauthorized"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not_found"
	IDReused            Code = "id_reused"
	IDMissing           Code = "id_missing"
	BudgetSpent         Code = "budget_spent"
	BudgetUnavailable   Code = "budget_unavailable"
	RateLimited         Code = "rate_limited"
	Overloaded          Code = "overloaded"
	Draining            Code = "draining"
	ConfigurationStale  Code = "configuration_stale"
	WrongInstance       Code = "wrong_instance"
	PlatformDown        Code = "platform_down"
	NoBackendServer     Code = "no_backend_server"
	BackendServerFailed Code = "backend_server_failed"
	PromptQuarantined   Code = "prompt_quarantined"
	InProgress          Code = "in_progress"
	TimedOut            Code = "timed_out"
	OutcomeUnknown      Code = "outcome_unknown"
	Internal            Code = "internal"
)

// Fault is an error response to a caller: a rejected or failed request.
type Fault struct {
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration
	Instance   laceunit.Address
}

// Error implements error.
func (f *Fault) Error() string {
	return string(f.Outcome) + ": " + string(f.Code) + ": " + f.Message
}

// Status returns the HTTP status of a code.
func (c Code) Status() int {
	switch c {
	case BadRequest, IDMissing:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case IDReused:
		return http.StatusUnprocessableEntity
	case BudgetSpent:
		return http.StatusPaymentRequired
	case RateLimited:
		return http.StatusTooManyRequests
	case InProgress, OutcomeUnknown:
		return http.StatusConflict
	case WrongInstance:
		return http.StatusMisdirectedRequest
	case BackendServerFailed:
		return http.StatusBadGateway
	case TimedOut:
		return http.StatusGatewayTimeout
	case Internal:
		return http.StatusInternalServerError
	case BudgetUnavailable, Overloaded, Draining, ConfigurationStale, PlatformDown, NoBackendServer, PromptQuarantined:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
