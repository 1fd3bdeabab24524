package lacerelay

import (
	"net/http"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

// Call is what a caller asks for, whatever protocol it speaks.
type Call struct {
	// Attempt is the caller's id of this attempt.
	Attempt laceunit.AttemptID
	// Key names the client account.
	Key    string
	Method string
	Host   string
	Path   string
	// Target is the path with the query as the caller sent it.
	Target string
	// Wait is how long the caller waits for the answer; zero means that it does not say.
	Timeout time.Duration
	// After is the id of the last event that the caller has of a stream that it resumes.
	LastEventID string
	// Input and Output are the prompt's tokens and the most that may be generated.
	Input     laceunit.Tokens
	MaxOutput laceunit.Tokens
	// Metered is true when the call consumes tokens.
	Metered bool
	// Prefix is the hash of the part of the prompt that other calls share; zero means none.
	Prefix uint64
	// Header is what is passed on to the server.
	Header http.Header
}

// Send is one attempt at a server.
type AttemptParams struct {
	Server  laceunit.ServerID
	Account laceunit.AccountID
	// Left is how long the server may work.
	Timeout time.Duration
	Rank    int
	// After is the id of the last event that arrived.
	LastEventID string
}

// Reply is what the header of a server's answer says.
type Reply struct {
	Attempt laceunit.AttemptID
	// Signed is true when the server vouches for the answer.
	HasReceipt bool
	// NotRun is true when the server states that it did not run the request.
	NotRun bool
	// Leaving is true when the server states that it leaves and wants nothing new.
	Leaving bool
	// Pause is how long the server wants nothing; zero means that it does not ask for a pause.
	Pause time.Duration
	// Unread tells what of the header can't be read; nil means nothing.
	HeaderError error
	// Limit is how many requests a second the server takes from all instances.
	Limit laceconn.Limit
	// Load is nil when the answer tells none.
	Load *lacebalancer.Load
	// Idle is how long the server keeps the connection open; zero means that it does not say.
	KeepAlive time.Duration
}

// Codec translates between a protocol and calls.
type Codec interface {
	// Call reads the header of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// Request builds the request to a server.
	EncodeRequest(c Call, body []byte, s AttemptParams) *http.Request
	// Reply reads the header of a server's answer.
	DecodeReply(r *http.Response) Reply
	// Answer sets the header of the caller's answer from that of the server.
	SetResponseHeader(h http.Header, from http.Header, c Call)
	// Refuse writes a refusal or a failure.
	WriteFault(w http.ResponseWriter, c Call, f *lacefault.Fault)
}
