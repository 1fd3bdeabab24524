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

// Reply is a whole answer as the instance passed it on.
type Reply struct {
	Status int
	Text   string
	// Output and Total are the usage of a chat.
	OutputTokens laceunit.Tokens
	TotalTokens  laceunit.Tokens
	// Finished is false when a chat that ended has no usage or no finish reason.
	Complete bool
	// Missing means that a call ran and that its answer was not kept.
	BodyNotStored bool
}

// Refusal is an answer that is a fault, or a broken connection.
type Failure struct {
	Outcome lacefault.Outcome
	// Code is CodeCut or CodeUnreachable when no fault was received.
	Code       lacefault.Code
	RetryAfter time.Duration
	Instance   laceunit.Address
}

const (
	// CodeCut stands for an answer that broke off or could not be understood.
	CodeInterrupted lacefault.Code = "cut"
	// CodeUnreachable stands for a connection that could not be made.
	CodeUnreachable lacefault.Code = "unreachable"
)

// Result is how a request ended for its caller.
type Result struct {
	Outcome lacefault.Outcome
	Reply   Reply
	// Last is the last refusal.
	LastFailure Failure
	Attempts    int
	// First is the time from the begin of the request to the first byte of the answer that was used.
	TimeToFirstByte time.Duration
	Duration        time.Duration
	// Address is the instance of the last attempt.
	Address laceunit.Address
	// Asked means that the outcome comes from GET /v1/requests/{id}.
	FromStatusQuery bool
}

// State is what an instance knows of a request id.
type RequestStatus struct {
	Found   bool
	Outcome lacefault.Outcome
	State   string
	Tokens  laceunit.Tokens
}

// Observer hears what happens while a request runs; it must be safe for concurrent use.
type Observer interface {
	// Gap reports the time between two chunks of a stream.
	ChunkInterval(d time.Duration)
	// Refused reports one refused or broken attempt.
	AttemptFailed(call Call, refusal Failure)
}

// CallOf returns the call that sends a request of a workload.
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
