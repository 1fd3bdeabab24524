package lacerelay

import (
	"net/http"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacequarantine"
	"lacewingcove/lib/laceunit"
)

// Call is a caller's request, independent of its protocol.
type Call struct {
	// Attempt is the caller's id of this attempt.
	Attempt laceunit.AttemptID
	// Key is the API key of the client account.
	Key    string
	Method string
	Host   string
	Path   string
	// Target is the request target (path and query) as the caller sent it.
	Target string
	// Timeout is how long the caller waits for the response; zero means that the caller did not specify it.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller received of a stream that it resumes.
	LastEventID string
	// Resumes is the attempt of the caller that brought the first event of that stream; empty if the caller does not say.
	Resumes laceunit.AttemptID
	// Input is the number of prompt tokens, MaxOutput the maximum number of generated tokens.
	Input     laceunit.Tokens
	MaxOutput laceunit.Tokens
	// Metered is true when the call consumes tokens.
	Metered bool
	// Prefix is the hash of the prompt prefix that is shared with other calls; zero means none.
	Prefix uint64
	// Parts are the parts of the prompt that are shared with other calls.
	Parts []lacequarantine.Part
	// PromptParts are the shared parts with their tokens, LengthHint is the caller's estimate of the tokens to generate;
	// zero means none.
	PromptParts []lacebalancer.Part
	LengthHint  laceunit.Tokens
	// Header is the header that is forwarded to the server.
	Header http.Header
}

// AttemptParams are the parameters of one attempt at a server.
type AttemptParams struct {
	Server  laceunit.ServerID
	Account laceunit.AccountID
	// Timeout is how long the server may process the request.
	Timeout time.Duration
	Rank    int
	// LastEventID is the id of the last event that was received from a server.
	LastEventID string
}

// Reply holds the control information in the header of a server's response.
type Reply struct {
	Attempt laceunit.AttemptID
	// HasReceipt is true when the server confirms with a receipt that it processed the request.
	HasReceipt bool
	// NotRun is true when the server states that it did not run the request.
	NotRun bool
	// Misdirected is true when the response is that of another server than the one that the request was meant for.
	Misdirected bool
	// Leaving is true when the server announces that it is leaving (draining) and accepts no new requests.
	Leaving bool
	// Pause is how long the server asks to get no requests; zero means that it does not ask for a pause.
	Pause time.Duration
	// HeaderError is the error of parsing the header; nil when all of it could be parsed.
	HeaderError error
	// Limit is the server's rate limit in requests a second, for all instances together.
	Limit laceconn.RateLimit
	// Brittle tells whether the server fails when it has to reject requests.
	Brittle Brittle
	// Load is nil when the response has no load report.
	Load *lacebalancer.Load
	// KeepAlive is how long the server keeps an idle connection open; zero means that it did not specify it.
	KeepAlive time.Duration
}

// Codec translates between calls and a wire protocol.
type Codec interface {
	// DecodeCall parses the header of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// EncodeRequest builds the request to a server.
	EncodeRequest(c Call, body []byte, p AttemptParams) *http.Request
	// EncodeForward builds the request to another instance, which decodes it like that of the caller.
	EncodeForward(c Call, body []byte, p ForwardParams) *http.Request
	// DecodeReply parses the header of a server's response.
	DecodeReply(r *http.Response) Reply
	// SetResponseHeader derives the header of the response to the caller from that of the server's response.
	SetResponseHeader(h http.Header, from http.Header, c Call)
	// WriteFault writes the response for a refusal or a failure.
	WriteFault(w http.ResponseWriter, c Call, f *lacefault.Fault)
}
