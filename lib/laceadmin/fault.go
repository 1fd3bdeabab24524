package laceadmin

import (
	"net/http"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceorder"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceyaml"
)

// Code is a stable reason that programs can switch on.
type Code string

// The closed set of codes.
const (
	BadRequest   Code = "bad_request"
	Unauthorized Code = "unauthorized"
	Forbidden    Code = "forbidden"
	NotFound     Code = "not_found"
	// Invalid means that a document has the faults that are listed with it.
	InvalidDocument Code = "invalid"
	// Conflict means that something else was accepted first; look again and repeat with a new id.
	Conflict Code = "conflict"
	// Reused means that the id was used for another request.
	IDReused Code = "id_reused"
	// Unavailable means that nothing was done.
	Unavailable Code = "unavailable"
	// Unknown means that it may have been done; repeat with the same id.
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

// Fault is an error as the API returns it.
type Fault struct {
	Code    Code            `json:"code"`
	Message string          `json:"message"`
	Faults  []DocumentFault `json:"faults,omitempty"`
}

// Place is one fault of a document.
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

func fault(code Code, message string) *Fault {
	return &Fault{
		Code:    code,
		Message: message,
	}
}

// asFault converts the errors of the layers below.
func asFault(err error) *Fault {
	var f *Fault
	var faults laceyaml.Faults
	var conflict *laceconfig.ConflictError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &faults):
		f = fault(InvalidDocument, "the document has faults")
		for _, x := range faults {
			f.Faults = append(f.Faults, DocumentFault(x))
		}
		return f
	case errors.As(err, &conflict):
		return fault(Conflict, conflict.Error())
	case errors.Is(err, laceconfig.ErrContention):
		return fault(Conflict, err.Error())
	case errors.Is(err, laceconfig.ErrEditIDReused):
		return fault(IDReused, err.Error())
	case errors.Is(err, laceconfig.ErrMalformed):
		return fault(BadRequest, err.Error())
	case errors.Is(err, laceconfig.ErrUnknown), errors.Is(err, laceplatform.ErrUnknown):
		return fault(OutcomeUnknown, "it may have been done; repeat with the same id")
	case errors.Is(err, laceconfig.ErrUnavailable), errors.Is(err, laceplatform.ErrUnavailable):
		return fault(Unavailable, "the platform is out of reach; nothing was done")
	case errors.Is(err, laceorder.ErrUnknown):
		return fault(OutcomeUnknown, "the order may have been carried out; repeat it with the same id")
	case errors.Is(err, laceorder.ErrNotApplied), errors.Is(err, laceorder.ErrQueueFull):
		return fault(Unavailable, err.Error()+"; nothing was done")
	case errors.Is(err, laceplatform.ErrMissing):
		return fault(NotFound, "no such thing")
	default:
		return fault(Internal, "internal error")
	}
}
