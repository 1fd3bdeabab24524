package lacebackend

import (
	"context"
	"net/http"
	"time"

	"lacewingcove/lib/laceunit"
)

// Request is a request id scoped by its client account: <account>/<request id>.
type ScopedRequestID string

// Scope returns the request id as backend servers know it.
func Scope(account laceunit.AccountID, id laceunit.RequestID) ScopedRequestID {
	return ScopedRequestID(string(account) + "/" + string(id))
}

// Call asks a model engine for an answer.
type GenerateRequest struct {
	RequestID ScopedRequestID
	Attempt   laceunit.AttemptID
	Model     laceunit.ModelID
	Prompt    string
	MaxTokens laceunit.Tokens
	Priority  laceunit.Priority
	// Resume is the index of the first chunk to send; the engine continues the request of the same id.
	FirstChunk int
	// Notice is called with the head of an answer, before Generate returns; it may be nil.
	OnNotice func(Notice)
}

// Chunk is a piece of an answer; the one with End set carries the token counts instead of text.
type Chunk struct {
	Index        int
	Text         string
	End          bool
	OutputTokens laceunit.Tokens
	PromptTokens laceunit.Tokens
}

// Stream is one answer of a model engine.
type Stream interface {
	// Next returns the next chunk. After the chunk with End set it returns io.EOF; any other error is an *Error
	// and ends the stream.
	Next() (Chunk, error)
	// Close releases the connection; it does not cancel the request at the engine.
	Close() error
}

// Invocation is one call of a plain service.
type InvokeRequest struct {
	RequestID ScopedRequestID
	Attempt   laceunit.AttemptID
	Method    string
	// Path is the escaped path and starts with a slash; Query is the raw query without the question mark.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Notice is called with the head of an answer, before Invoke returns; it may be nil.
	OnNotice func(Notice)
}

// Reply is the whole answer of a plain service, whatever its status.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// State is what a backend server knows of a request.
type State string

// The states of a request at a backend server.
const (
	// StateAbsent means that the server has not seen the request; one that is still on its way can yet arrive.
	StateAbsent    State = "absent"
	StateWaiting   State = "waiting"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateCancelled State = "cancelled"
	StateFailed    State = "failed"
)

// Status is the state of a request at a backend server.
type Status struct {
	State        State
	Attempt      laceunit.AttemptID
	OutputTokens laceunit.Tokens
	PromptTokens laceunit.Tokens
}

// Load is a load report of a backend server.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Cached is how many prompt tokens the prefix cache holds.
	CachedTokens int
	// Age is how old the figures were when the server sent them.
	Age time.Duration
}

// Event says that an engine has stored or dropped a prompt prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   Prefix
	Stored   bool
}

// Events is a page of cache events; Gap means that earlier events are lost.
type CacheEventPage struct {
	Events []CacheEvent
	HasGap bool
}

// Client speaks to backend servers.
type Client interface {
	// Generate starts or resumes a request at a model engine.
	Generate(ctx context.Context, server laceunit.Address, call GenerateRequest) (Stream, error)
	// Cancel ends an attempt at a model engine; an engine that has started a later attempt of the request ignores it.
	Cancel(ctx context.Context, server laceunit.Address, request ScopedRequestID, attempt laceunit.AttemptID) error
	// Find returns what a backend server knows of a request.
	Lookup(ctx context.Context, server laceunit.Address, request ScopedRequestID) (Status, error)
	// Invoke calls a plain service and returns the whole checked answer.
	Invoke(ctx context.Context, server laceunit.Address, invocation InvokeRequest) (Reply, error)
	// Load returns the server's load report.
	Load(ctx context.Context, server laceunit.Address) (Load, error)
	// Events returns the engine's cache events that follow a sequence number.
	Events(ctx context.Context, server laceunit.Address, after uint64) (CacheEventPage, error)
}
