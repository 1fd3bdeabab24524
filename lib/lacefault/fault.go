package lacefault

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceunit"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// The closed set of outcomes.
const (
	// Done means that the request ran and was billed once.
	Done Outcome = "done"
	// NotRun means that the request certainly did not run and was not billed.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run; its id can be asked about later.
	Unknown Outcome = "unknown"
)

// Code is a stable reason that programs can switch on.
type Code string

// The closed set of codes.
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
	InProgress          Code = "in_progress"
	TimedOut            Code = "timed_out"
	OutcomeUnknown      Code = "outcome_unknown"
	Internal            Code = "internal"
)

// Fault is a refusal or failure as a caller sees it.
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
	case BudgetUnavailable, Overloaded, Draining, ConfigurationStale, PlatformDown, NoBackendServer:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
