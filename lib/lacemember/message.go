package lacemember

import "lacewingcove/lib/laceunit"

// Message is a message between instances; the types below are its only implementations.
type Message interface{ message() }

// PromiseAsk asks a member to refuse the requests of the sending home until the home releases the round.
type PromiseAsk struct {
	Home  laceunit.Holder
	Epoch laceunit.Epoch
	Round uint64
	// Record is the membership of the epoch. It is sent only to members that are known to have an older epoch, because
	// sending it to every member would cost megabytes at the design scale.
	Record Record
}

// PromiseReply answers a PromiseAsk.
type PromiseReply struct {
	From    laceunit.Holder
	Granted bool
	// PlatformReachable means that the promise was refused because the member reaches the platform.
	PlatformReachable bool
	// NeedsRecord means that the member has an older epoch and needs the record of the requested one first.
	NeedsRecord bool
	Epoch       laceunit.Epoch
	Round       uint64
	// Started lists the non-idempotent requests of the home that the member itself has started.
	Started []Key
	// Record is the member's record if it is newer than the requester's.
	Record Record
}

// ReleaseNote announces that a home has flushed and released all rounds up to this one.
type ReleaseNote struct {
	Home  laceunit.Holder
	Round uint64
}

// ProbeAsk checks that a member is alive, and asks whether it reaches the platform and which rounds it has released.
type ProbeAsk struct {
	From  laceunit.Holder
	Epoch laceunit.Epoch
}

// ProbeReply answers a ProbeAsk.
type ProbeReply struct {
	From              laceunit.Holder
	Epoch             laceunit.Epoch
	PlatformReachable bool
	ReleasedRound     uint64
	// Record is set if the requester's epoch is older.
	Record Record
}

// AckAsk asks an enabled member to adopt the epoch in which the sender joined.
type AckAsk struct {
	From   laceunit.Holder
	Record Record
}

// AckReply transfers the bindings of an enabled member to a joining one.
type AckReply struct {
	From         laceunit.Holder
	Acknowledged bool
	Epoch        laceunit.Epoch
	Bindings     []Binding
}

// SealAsk asks a witness to accept no more copies of a holder's journal and to flush the ones that it has.
type SealAsk struct {
	From laceunit.Holder
	Home laceunit.Holder
}

// SealReply answers a SealAsk; Flushed means that the ledger has accepted the witness's copies.
type SealReply struct {
	From    laceunit.Holder
	Home    laceunit.Holder
	Flushed bool
}

func (PromiseAsk) message()   {}
func (PromiseReply) message() {}
func (ReleaseNote) message()  {}
func (ProbeAsk) message()     {}
func (ProbeReply) message()   {}
func (AckAsk) message()       {}
func (AckReply) message()     {}
func (SealAsk) message()      {}
func (SealReply) message()    {}

// Input is an event for the machine; the types below are its only implementations.
type Input interface{ input() }

// RecordCommitted delivers a record that the platform has stored.
type RecordCommitted struct{ Record Record }

// PlatformLost reports that this instance can't reach the platform.
type PlatformLost struct{}

// PlatformRestored reports that this instance reaches the platform again.
type PlatformRestored struct{}

// HistoryRead is the result of a ReadHistory effect.
type HistoryRead struct {
	ReadID uint64
	// Complete means that the ledger accepts no more records of holders outside ReadHistory.Members.
	Complete bool
	Keys     []Key
}

// RemovalFailed reports that the record returned by Remove was definitely not written.
type RemovalFailed struct{}

// Tick triggers timers, such as resending unanswered messages.
type Tick struct{}

// Received is a message from another instance.
type Received struct{ Message Message }

func (RecordCommitted) input()  {}
func (PlatformLost) input()     {}
func (PlatformRestored) input() {}
func (HistoryRead) input()      {}
func (RemovalFailed) input()    {}
func (Tick) input()             {}
func (Received) input()         {}

// Effect is an action that the caller of Step must perform; the types below are its only implementations.
type Effect interface{ effect() }

// Send delivers a message to the process of a member entry, never to a later incarnation at the same address.
type Send struct {
	To      Member
	Message Message
}

// ReadHistory reads the non-idempotent requests that the ledger retains.
type ReadHistory struct {
	ReadID  uint64
	Epoch   laceunit.Epoch
	Members []laceunit.Holder
}

// FlushJournal submits the journal to the ledger, through a peer if needed.
type FlushJournal struct{}

// Adopted reports a new record and the holders that it no longer has as members.
type Adopted struct {
	Record  Record
	Removed []laceunit.Holder
}

// Expelled reports that this process was removed from the membership and must restart as a new incarnation.
type Expelled struct{}

func (Send) effect()         {}
func (ReadHistory) effect()  {}
func (FlushJournal) effect() {}
func (Adopted) effect()      {}
func (Expelled) effect()     {}
