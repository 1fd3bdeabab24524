package lacerequest

import (
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Input is an event. The types below are the only implementations.
type Input interface{ input() }

// Picked reports the backend server that was chosen.
type Picked struct{ Server laceunit.ServerID }

// Unpicked reports that no backend server can take the request.
type Unpicked struct{ Fault *lacefault.Fault }

// Chunk is a part of an engine's streamed response.
type Chunk struct {
	Attempt laceunit.AttemptID
	Index   int
	Text    string
}

// Ended reports that an engine's response is complete.
type Ended struct {
	Attempt laceunit.AttemptID
	Prompt  laceunit.Tokens
	Output  laceunit.Tokens
}

// Replied is the complete response of a plain service.
type Replied struct {
	Attempt  laceunit.AttemptID
	Response laceledger.Response
}

// FailureClass says whether a failed attempt may have run the request.
type FailureClass uint8

// The failure classes.
const (
	// NotRun means that the backend server certainly did not run the request.
	NotRun FailureClass = iota + 1
	// MayHaveRun means that the request may have run, completely or in part.
	MayHaveRun
)

// Failed reports that an attempt ended without a complete response.
type Failed struct {
	Attempt laceunit.AttemptID
	Class   FailureClass
	// Final is true if another attempt would fail for the same reason, such as a lack of memory.
	Final bool
}

// Durable is the ledger's verdict on an Intent or a Takeover.
type Durable struct {
	Verdict laceledger.Verdict
	// Unacknowledged is true if the append of the record was not acknowledged, so that there is no verdict.
	// NotAppended is true if the record was certainly not appended.
	Unacknowledged bool
	NotAppended    bool
}

// Billed is the ledger's verdict on a Settle.
type Billed struct {
	Verdict        laceledger.Verdict
	Unacknowledged bool
}

// Voided reports whether the append of a Void was acknowledged.
type Voided struct{ Unacknowledged bool }

// Copied reports whether another instance has a copy of the journal entry.
type Copied struct{ OK bool }

// Regranted is the result of Regrant: a new grant, or a fault if there is none.
type Regranted struct {
	Grant laceunit.GrantID
	Fault *lacefault.Fault
}

// Found is the result of a Lookup. Ran is false if the server does not know the request id or the request is still
// running.
type Found struct{ Ran bool }

// Gone reports that the caller has disconnected.
type Gone struct{}

func (Picked) input()    {}
func (Unpicked) input()  {}
func (Chunk) input()     {}
func (Ended) input()     {}
func (Replied) input()   {}
func (Failed) input()    {}
func (Durable) input()   {}
func (Billed) input()    {}
func (Voided) input()    {}
func (Copied) input()    {}
func (Regranted) input() {}
func (Found) input()     {}
func (Gone) input()      {}
