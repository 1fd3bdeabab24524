package lacerequest

import (
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Input is something that happened; the types below are the closed set.
type Input interface{ input() }

// Picked tells which backend server was chosen.
type Picked struct{ Server laceunit.ServerID }

// Unpicked tells that no backend server can take the request.
type Unpicked struct{ Fault *lacefault.Fault }

// Chunk is a part of an engine's answer.
type Chunk struct {
	Attempt laceunit.AttemptID
	Index   int
	Text    string
}

// Ended tells that an engine's answer is whole.
type Ended struct {
	Attempt laceunit.AttemptID
	Prompt  laceunit.Tokens
	Output  laceunit.Tokens
}

// Replied is the whole answer of a plain service.
type Replied struct {
	Attempt  laceunit.AttemptID
	Response laceledger.Response
}

// Class tells what a failed attempt may have done.
type FailureClass uint8

// The classes of failure.
const (
	// NotSent means that the backend server certainly did not run the request.
	NotRun FailureClass = iota + 1
	// MayHaveRun means that the request may have run, wholly or in part.
	MayHaveRun
)

// Failed tells that an attempt gave no whole answer of its own.
type Failed struct {
	Attempt laceunit.AttemptID
	Class   FailureClass
}

// Durable is the ledger's verdict on an intent or a takeover.
type Durable struct {
	Verdict laceledger.Verdict
	// Lost is true when the record was not acknowledged; Certain when it was certainly not appended.
	Unacknowledged bool
	NotAppended    bool
}

// Billed is the ledger's verdict on a settlement.
type Billed struct {
	Verdict        laceledger.Verdict
	Unacknowledged bool
}

// Voided tells that a Void was appended, or not.
type Voided struct{ Unacknowledged bool }

// Copied tells whether the journal entry has a copy at another instance.
type Copied struct{ OK bool }

// Regranted brings a new grant after the former one was closed.
type Regranted struct {
	Grant laceunit.GrantID
	Fault *lacefault.Fault
}

// Found is a backend server's word about a request id. Ran is false when the server does not know it or still runs it.
type Found struct{ Ran bool }

// Gone tells that the caller has disconnected.
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
