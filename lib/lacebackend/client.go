package lacebackend

import (
	"context"
	"net/http"
	"time"

	"lacewingcove/lib/laceunit"
)

// Request is a request id scoped by its client account: <account>/<request id>.
type Request string

// Scope returns the request id as backend servers know it.
func Scope(account laceunit.AccountID, id laceunit.RequestID) Request {
	return Request(string(account) + "/" + string(id))
}

// Call asks a model engine for an answer.
type Call struct {
	Request  Request
	Attempt  laceunit.AttemptID
	Model    laceunit.ModelID
	Prompt   string
	Max      laceunit.Tokens
	Priority laceunit.Priority
	// Resume is the index of the first chunk to send; the engine continues the request of the same id.
	Resume int
	// Notice is called with the head of an answer, before Generate returns; it may be nil.
	Notice func(Notice)
}

// Chunk is a piece of an answer; the one with End set carries the token counts instead of text.
type Chunk struct {
	Index  int
	Text   string
	End    bool
	Tokens laceunit.Tokens
	Prompt laceunit.Tokens
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
type Invocation struct {
	Request Request
	Attempt laceunit.AttemptID
	Method  string
	// Path is the escaped path and starts with a slash; Query is the raw query without the question mark.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Notice is called with the head of an answer, before Invoke returns; it may be nil.
	Notice func(Notice)
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
	State   State
	Attempt laceunit.AttemptID
	Tokens  laceunit.Tokens
	Prompt  laceunit.Tokens
}

// Load is a load report of a backend server.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Cached is how many prompt tokens the prefix cache holds.
	Cached int
	// Age is how old the figures were when the server sent them.
	Age time.Duration
}

// Event says that an engine has stored or dropped a prompt prefix.
type Event struct {
	Sequence uint64
	Prefix   Prefix
	Stored   bool
}

// Events is a page of cache events; Gap means that earlier events are lost.
type Events struct {
	List []Event
	Gap  bool
}

// Client speaks to backend servers.
type Client interface {
	// Generate starts or resumes a request at a model engine.
	Generate(ctx context.Context, server laceunit.Address, call Call) (Stream, error)
	// Cancel ends an attempt at a model engine; an engine that has started a later attempt of the request ignores it.
	Cancel(ctx context.Context, server laceunit.Address, request Request, attempt laceunit.AttemptID) error
	// Find returns what a backend server knows of a request.
	Find(ctx context.Context, server laceunit.Address, request Request) (Status, error)
	// Invoke calls a plain service and returns the whole checked answer.
	Invoke(ctx context.Context, server laceunit.Address, invocation Invocation) (Reply, error)
	// Load returns the server's load report.
	Load(ctx context.Context, server laceunit.Address) (Load, error)
	// Events returns the engine's cache events that follow a sequence number.
	Events(ctx context.Context, server laceunit.Address, after uint64) (Events, error)
}
