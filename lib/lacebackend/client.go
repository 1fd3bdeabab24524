package lacebackend

import (
	"context"
	"net/http"
	"time"

	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceunit"
)

// ScopedRequestID is a request id with the client account as its scope: <account>/<request id>.
type ScopedRequestID string

// Scope returns the request id that is sent to backend servers.
func Scope(account laceunit.AccountID, id laceunit.RequestID) ScopedRequestID {
	return ScopedRequestID(string(account) + "/" + string(id))
}

// GenerateRequest is a generation request to a model engine.
type GenerateRequest struct {
	RequestID ScopedRequestID
	Attempt   laceunit.AttemptID
	Model     laceunit.ModelID
	Prompt    string
	MaxTokens laceunit.Tokens
	Priority  laceunit.Priority
	// FirstChunk is the index of the first chunk to send. With a value above 0, the engine resumes the stream of the
	// request with the same id.
	FirstChunk int
	// Memory is charged for large events; nil bounds only their size. It is in use until the stream is closed.
	Memory *lacelistener.Holding
	// OnNotice is called once the response header has arrived, before Generate returns; it may be nil.
	OnNotice func(Notice)
}

// Chunk is a part of a streamed response. The one with End set has the token counts instead of text.
type Chunk struct {
	Index        int
	Text         string
	End          bool
	OutputTokens laceunit.Tokens
	PromptTokens laceunit.Tokens
}

// Stream is the streamed response of a model engine.
type Stream interface {
	// Next returns the next chunk. After the chunk with End set it returns io.EOF; any other error is an *Error
	// and ends the stream.
	Next() (Chunk, error)
	// Close releases the connection; it does not cancel the request on the engine.
	Close() error
}

// InvokeRequest is a request to a plain service.
type InvokeRequest struct {
	RequestID ScopedRequestID
	Attempt   laceunit.AttemptID
	Method    string
	// Path is the escaped path and starts with a slash; Query is the raw query without the question mark.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Memory is charged for the body of the response; nil bounds only its size.
	Memory *lacelistener.Holding
	// OnNotice is called once the response header has arrived, before Invoke returns; it may be nil.
	OnNotice func(Notice)
}

// Reply is the complete response of a plain service, with any status.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// State is the state of a request on a backend server.
type State string

// The states of a request on a backend server.
const (
	// StateAbsent means that the server has not received the request; one that is in flight can still arrive.
	StateAbsent    State = "absent"
	StateWaiting   State = "waiting"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateCancelled State = "cancelled"
	StateFailed    State = "failed"
)

// Status is the state of a request on a backend server, with its token counts.
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
	// CachedTokens is the number of prompt tokens in the prefix cache.
	CachedTokens int
	// Age is the age of the values when the server sent them.
	Age time.Duration
}

// CacheEvent reports that an engine has cached or evicted a prompt prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   Prefix
	Stored   bool
}

// CacheEventPage is a page of cache events. HasGap means that at least one event before or between them is missing.
type CacheEventPage struct {
	Events []CacheEvent
	HasGap bool
}

// Client sends requests to backend servers.
type Client interface {
	// Generate starts or resumes a request on a model engine.
	Generate(ctx context.Context, server laceunit.Address, request GenerateRequest) (Stream, error)
	// Cancel cancels an attempt on a model engine. An engine that has started a later attempt of the request ignores it.
	Cancel(ctx context.Context, server laceunit.Address, id ScopedRequestID, attempt laceunit.AttemptID) error
	// Lookup returns the status of a request on a backend server.
	Lookup(ctx context.Context, server laceunit.Address, id ScopedRequestID) (Status, error)
	// Invoke sends a request to a plain service and returns the complete, validated response.
	Invoke(ctx context.Context, server laceunit.Address, request InvokeRequest) (Reply, error)
	// Load returns the server's load report.
	Load(ctx context.Context, server laceunit.Address) (Load, error)
	// Events returns the engine's cache events after a sequence number.
	Events(ctx context.Context, server laceunit.Address, after uint64) (CacheEventPage, error)
}
