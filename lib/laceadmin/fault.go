package laceadmin

import (
	"net/http"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceorder"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceyaml"
)

// Code is a stable, machine-readable error code.
type Code string

// The codes; the set is closed.
const (
	BadRequest   Code = "bad_request"
	Unauthorized Code = "unauthorized"
	Forbidden    Code = "forbidden"
	NotFound     Code = "not_found"
	// InvalidDocument means that a document failed validation; Fault.Faults lists its errors.
	InvalidDocument Code = "invalid"
	// Conflict means that a concurrent change was accepted first; read the state again and retry with a new id.
	Conflict Code = "conflict"
	// IDReused means that the id was already used for a different request.
	IDReused Code = "id_reused"
	// Unavailable means that the request certainly had no effect.
	Unavailable Code = "unavailable"
	// OutcomeUnknown means that the request may have taken effect; retry with the same id.
	OutcomeUnknown Code = "unknown"
	Internal       Code = "internal"
)

// Status returns the HTTP status of a code.
func (c Code) Status() int {
	switch c {
	case BadRequest:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case InvalidDocument, IDReused:
		return http.StatusUnprocessableEntity
	case Conflict:
		return http.StatusConflict
	case Unavailable, OutcomeUnknown:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// Fault is an error response of the API.
type Fault struct {
	Code    Code            `json:"code"`
	Message string          `json:"message"`
	Faults  []DocumentFault `json:"faults,omitempty"`
}

// DocumentFault is one validation error of a document.
type DocumentFault struct {
	Line     int    `json:"line,omitempty"`
	Path     string `json:"path,omitempty"`
	Expected string `json:"expected"`
	Found    string `json:"found,omitempty"`
}

// Error implements error.
func (f *Fault) Error() string {
	text := string(f.Code) + ": " + f.Message
	for _, p := range f.Faults {
		text += "\n" + laceyaml.Fault(p).String()
	}
	return text
}

func newFault(code Code, message string) *Fault {
	return &Fault{
		Code:    code,
		Message: message,
	}
}

// toFault maps the errors of the lower layers to faults; any other error is reported as internal.
func toFault(err error) *Fault {
	var f *Fault
	var faults laceyaml.Faults
	var conflict *laceconfig.ConflictError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &faults):
		f = newFault(InvalidDocument, "the document has faults")
		for _, d := range faults {
			f.Faults = append(f.Faults, DocumentFault(d))
		}
		return f
	case errors.As(err, &conflict):
		return newFault(Conflict, conflict.Error())
	case errors.Is(err, laceconfig.ErrContention):
		return newFault(Conflict, err.Error())
	case errors.Is(err, laceconfig.ErrEditIDReused):
		return newFault(IDReused, err.Error())
	case errors.Is(err, laceconfig.ErrMalformed):
		return newFault(BadRequest, err.Error())
	case errors.Is(err, laceconfig.ErrUnknown), errors.Is(err, laceplatform.ErrUnknown):
		return newFault(OutcomeUnknown, "it may have been done; repeat with the same id")
	case errors.Is(err, laceconfig.ErrUnavailable), errors.Is(err, laceplatform.ErrUnavailable):
		return newFault(Unavailable, "the platform is out of reach; nothing was done")
	case errors.Is(err, laceorder.ErrUnknown):
		return newFault(OutcomeUnknown, "the order may have been carried out; repeat it with the same id")
	case errors.Is(err, laceorder.ErrNotApplied), errors.Is(err, laceorder.ErrQueueFull):
		return newFault(Unavailable, err.Error()+"; nothing was done")
	case errors.Is(err, laceplatform.ErrMissing):
		return newFault(NotFound, "no such thing")
	default:
		return newFault(Internal, "internal error")
	}
}
