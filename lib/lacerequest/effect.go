package lacerequest

import (
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Effect is something that the shell has to do; the types below are the closed set.
type Effect interface{ effect() }

// Pick asks for a backend server; the answer is Picked or Unpicked.
type Pick struct {
	Exclude []laceunit.ServerID
	// Prefer is the server that has run the request before.
	Prefer laceunit.ServerID
	// Retry is true when the pick counts against the retry budget.
	Retry bool
}

// Dispatch sends the request to a backend server.
type Dispatch struct {
	Attempt laceunit.AttemptID
	Server  laceunit.ServerID
	// Resume is the index of the first chunk that is still wanted.
	FirstChunk int
}

// Abort cancels an attempt at its backend server and ignores what still comes from it.
type Abort struct {
	Attempt laceunit.AttemptID
	Server  laceunit.ServerID
	// Keep is true when the run at the server must go on, because another attempt resumes it.
	KeepRunning bool
}

// Append appends a record; the answer is Durable for Intent and Takeover, Billed for Settle, Voided for Void.
type Append struct{ Record laceledger.Record }

// Copy writes the journal entry and copies it to another instance; the answer is Copied.
type Copy struct{ Entry laceledger.Offline }

// Regrant replaces a grant that the ledger has closed or holds for smaller than the wallet does, and reserves again;
// the answer is Regranted.
type Regrant struct {
	Grant laceunit.GrantID
	// Closed is false when the grant is still open in the ledger and has to be ended there.
	Closed bool
}

// Lookup asks the backend server about the request id; the answer is Found.
type Lookup struct{ Server laceunit.ServerID }

// Emit passes a chunk to the caller.
type Emit struct{ Text string }

// Reply passes a plain service's whole answer to the caller. Missing is true when the answer was not kept.
type Reply struct {
	Response laceledger.Response
	Missing  bool
}

// Finish ends the caller's answer as whole.
type Finish struct {
	Prompt laceunit.Tokens
	Output laceunit.Tokens
}

// Refuse ends the request with a fault; it is the last word when no answer is whole.
type Refuse struct {
	Fault *lacefault.Fault
	// Output is the part of the answer that was billed although its end is missing.
	Output laceunit.Tokens
}

// Release ends the reservation.
type Release struct {
	// Used is what was billed; the rest is free again. After a takeover by another attempt nothing was used here.
	Used laceunit.Tokens
}

// Resolve hands an open record and the reservation to the background: Record is tried until the ledger has decided on
// it. With a Server, that backend server is asked about the request until its outcome is known, and Record is appended
// only when it ran.
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
