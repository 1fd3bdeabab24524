package lacerequest

import (
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Effect is an action that the driver must perform. The types below are the only implementations.
type Effect interface{ effect() }

// Pick selects a backend server; the result is Picked or Unpicked.
type Pick struct {
	Exclude []laceunit.ServerID
	// Prefer is the server that ran the request before.
	Prefer laceunit.ServerID
	// Retry is true if the pick counts against the retry budget.
	Retry bool
}

// Dispatch sends the request to a backend server.
type Dispatch struct {
	Attempt laceunit.AttemptID
	Server  laceunit.ServerID
	// FirstChunk is the index of the first chunk that is still needed.
	FirstChunk int
}

// Abort cancels an attempt at its backend server and discards its further output.
type Abort struct {
	Attempt laceunit.AttemptID
	Server  laceunit.ServerID
	// KeepRunning is true if the server must not cancel the run, because another attempt resumes it.
	KeepRunning bool
}

// Append appends a record to the ledger; the result is Durable for Intent and Takeover, Billed for Settle, Voided for
// Void.
type Append struct{ Record laceledger.Record }

// Copy writes an entry to the journal and copies it to another instance; the result is Copied.
type Copy struct{ Entry laceledger.Offline }

// Regrant replaces a grant that is closed in the ledger or has fewer tokens there than in the wallet, and makes a new
// reservation; the result is Regranted.
type Regrant struct {
	Grant laceunit.GrantID
	// Closed is false if the grant is still open in the ledger and must be closed there.
	Closed bool
}

// Lookup looks up the request id at the backend server; the result is Found.
type Lookup struct{ Server laceunit.ServerID }

// Emit sends a chunk to the caller.
type Emit struct{ Text string }

// Reply sends the complete response of a plain service to the caller. Missing is true if the request ran, but its
// response was not received or not stored.
type Reply struct {
	Response laceledger.Response
	Missing  bool
}

// Finish ends the response to the caller as complete.
type Finish struct {
	Prompt laceunit.Tokens
	Output laceunit.Tokens
}

// Refuse ends the request with a fault; it is the final response if there is no complete one.
type Refuse struct {
	Fault *lacefault.Fault
	// Output is the number of output tokens that were billed although the response is truncated.
	Output laceunit.Tokens
}

// Release ends the reservation.
type Release struct {
	// Used is the number of billed tokens; the rest becomes available again. It is zero after a takeover by another
	// attempt.
	Used laceunit.Tokens
}

// Resolve passes an unresolved record and the reservation to the background resolver, which retries the append of
// Record until the ledger has returned a verdict. If Server is set, the resolver first looks up the request at that
// backend server until the outcome is known or it gives up, and appends Record only if the request ran.
type Resolve struct {
	Record laceledger.Record
	Server laceunit.ServerID
}

func (Pick) effect()     {}
func (Dispatch) effect() {}
func (Abort) effect()    {}
func (Append) effect()   {}
func (Copy) effect()     {}
func (Regrant) effect()  {}
func (Lookup) effect()   {}
func (Emit) effect()     {}
func (Reply) effect()    {}
func (Finish) effect()   {}
func (Refuse) effect()   {}
func (Release) effect()  {}
func (Resolve) effect()  {}
