package lacegateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacegrant"
)

// The headers of the caller API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerBudget         = "Lace-Budget"
	headerOutcome        = "Lace-Outcome"
	headerInstance       = "Lace-Instance"
	headerRequestID      = "Lace-Request"
)

const (
	// retryAfterStale is the Retry-After while the configuration is not confirmed; peers are polled every second.
	retryAfterStale = time.Second
	// retryAfterRunning is the Retry-After while running requests reserve the rest of a budget or have the same id;
	// most requests end within seconds.
	retryAfterRunning = 2 * time.Second
	// retryAfterExhausted is the Retry-After for an exhausted budget, which has to be topped up.
	retryAfterExhausted = time.Minute
)

// refusal returns the fault of a request that was not run.
func refusal(code lacefault.Code, message string) *lacefault.Fault {
	return &lacefault.Fault{
		Outcome: lacefault.NotRun,
		Code:    code,
		Message: message,
	}
}

// walletFault converts an error of the wallet to a fault.
func walletFault(err error) *lacefault.Fault {
	f := refusal(lacefault.BudgetUnavailable, "the budget can't be reserved now")
	f.RetryAfter = retryAfterRunning
	switch {
	case errors.Is(err, lacegrant.ErrUnknownBudget):
		f.Code, f.Message, f.RetryAfter = lacefault.BudgetSpent, "nothing was paid into the budget yet",
			retryAfterExhausted
	case errors.Is(err, lacegrant.ErrBudgetExhausted):
		f.Code, f.Message, f.RetryAfter = lacefault.BudgetSpent, "the budget has too few tokens left",
			retryAfterExhausted
	case errors.Is(err, lacegrant.ErrTokensReserved):
		f.Message = "the rest of the budget is reserved by running requests"
	case errors.Is(err, lacegrant.ErrUnreachable):
		f.Code, f.Message = lacefault.PlatformDown, "the ledger is out of reach and the grant of this instance is too small"
	}
	return f
}

type wireFault struct {
	Error wireFaultBody `json:"error"`
}

type wireFaultBody struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       string `json:"code"`
	Outcome    string `json:"outcome"`
	RetryAfter int64  `json:"retry,omitempty"`
	Instance   string `json:"instance,omitempty"`
}

func faultBody(f *lacefault.Fault) []byte {
	kind := "invalid_request_error"
	if f.Code.Status() >= http.StatusInternalServerError {
		kind = "server_error"
	}
	// Encoding a struct of strings and integers can't fail.
	b, _ := json.Marshal(wireFault{Error: wireFaultBody{
		Message:    f.Message,
		Type:       kind,
		Code:       string(f.Code),
		Outcome:    string(f.Outcome),
		RetryAfter: f.RetryAfter.Milliseconds(),
		Instance:   string(f.Instance),
	}})
	return b
}

// writeFault sends a fault as the complete response.
func writeFault(w http.ResponseWriter, f *lacefault.Fault) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Instance != "" {
		h.Set(headerInstance, string(f.Instance))
	}
	w.WriteHeader(f.Code.Status())
	_, _ = w.Write(append(faultBody(f), '\n'))
}
