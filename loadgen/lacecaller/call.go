package lacecaller

import (
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceworkload"
)

// Call is one request of a client account.
type Call struct {
	Key        string
	Budget     laceunit.BudgetID
	ID         laceunit.RequestID
	Method     string
	Path       string
	Body       []byte
	Chat       bool
	Stream     bool
	Idempotent bool
}

// Reply is a response of an instance that was received to its end.
type Reply struct {
	Status int
	Text   string
	// OutputTokens and TotalTokens are the usage of a chat.
	OutputTokens laceunit.Tokens
	TotalTokens  laceunit.Tokens
	// Complete is false for a chat that ended without usage or without a finish reason.
	Complete bool
	// BodyNotStored means that a call ran and that its response body was not stored.
	BodyNotStored bool
}

// Failure is the failure of one attempt: a fault that was received, or a connection error.
type Failure struct {
	Outcome lacefault.Outcome
	// Code is CodeInterrupted or CodeUnreachable if no fault was received.
	Code       lacefault.Code
	RetryAfter time.Duration
	Instance   laceunit.Address
}

const (
	// CodeInterrupted means that the response was interrupted or could not be decoded.
	CodeInterrupted lacefault.Code = "cut"
	// CodeUnreachable means that no connection could be established.
	CodeUnreachable lacefault.Code = "unreachable"
)

// Result is the result of a request for its caller.
type Result struct {
	Outcome lacefault.Outcome
	Reply   Reply
	// LastFailure is the failure of the last failed attempt.
	LastFailure Failure
	Attempts    int
	// TimeToFirstByte is measured from the start of the request to the first byte of the response that was used.
	TimeToFirstByte time.Duration
	Duration        time.Duration
	// Address is the instance of the last attempt.
	Address laceunit.Address
	// FromStatusQuery means that the outcome comes from GET /v1/requests/{id}.
	FromStatusQuery bool
}

// RequestStatus is the status that an instance reports for a request id.
type RequestStatus struct {
	Found   bool
	Outcome lacefault.Outcome
	State   string
	Tokens  laceunit.Tokens
}

// Observer receives events of running requests; it must be safe for concurrent use.
type Observer interface {
	// ChunkInterval is called with the time between two chunks of a stream.
	ChunkInterval(d time.Duration)
	// AttemptFailed is called for each failed attempt.
	AttemptFailed(call Call, failure Failure)
}

// CallOf returns the call for a request of a workload.
func CallOf(q *laceworkload.Request) Call {
	return Call{
		Key:        q.Key,
		Budget:     q.Budget,
		ID:         q.ID,
		Method:     q.Method,
		Path:       q.Path,
		Body:       q.Body,
		Chat:       q.Kind == laceworkload.KindChat,
		Stream:     q.Stream,
		Idempotent: q.Idempotent,
	}
}
