package lacemember

import "lacewingcove/lib/laceunit"

// Message is sent from one instance to another; the types below are the closed set.
type Message interface{ message() }

// PromiseAsk asks a member to refuse the requests of the asking home until it releases the round.
type PromiseAsk struct {
	Home  laceunit.Holder
	Epoch laceunit.Epoch
	Round uint64
	// Record is the membership of the epoch for a member that is known to be behind. Sending it to everyone would
	// cost megabytes at the design scale.
	Record Record
}

// PromiseReply answers a PromiseAsk.
type PromiseReply struct {
	From    laceunit.Holder
	Granted bool
	// Platform says that the member was refused because the member has contact with the platform.
	PlatformReachable bool
	// Behind says that the member needs the record of the epoch first.
	NeedsRecord bool
	Epoch       laceunit.Epoch
	Round       uint64
	// Seen lists the non-idempotent requests of the home that the member has started itself.
	Started []Key
	// Record is the member's record when it is newer than the asker's.
	Record Record
}

// ReleaseNote says that a home has flushed and given up its rounds up to this one.
type ReleaseNote struct {
	Home  laceunit.Holder
	Round uint64
}

// ProbeAsk asks a member whether it lives, has contact with the platform, and which rounds it has released.
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
	// Record is set when the asker's epoch is older.
	Record Record
}

// AckAsk asks an enabled member to adopt the epoch in which the sender joined.
type AckAsk struct {
	From   laceunit.Holder
	Record Record
}

// AckReply passes the bindings of an enabled member on to a joining one.
type AckReply struct {
	From         laceunit.Holder
	Acknowledged bool
	Epoch        laceunit.Epoch
	Bindings     []Binding
}

// SealAsk asks a witness to take no more copies of a holder's journal and to flush the ones it has.
type SealAsk struct {
	From laceunit.Holder
	Home laceunit.Holder
}

// SealReply answers a SealAsk after the ledger has taken the witness's copies.
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

// Input is what the machine is told; messages are inputs too.
type Input interface{ input() }

// Agreed is a record read from the platform.
type RecordCommitted struct{ Record Record }

// PlatformLost says that this instance can't reach the platform.
type PlatformLost struct{}

// PlatformBack says that this instance reaches the platform again.
type PlatformRestored struct{}

// HistoryRead is the result of a ReadHistory effect.
type HistoryRead struct {
	ReadID uint64
	// Complete means that no holder outside the members asked about can get a record accepted any more.
	Complete bool
	Keys     []Key
}

// SwapFailed says that the record returned by Remove was certainly not written.
type RemovalFailed struct{}

// Tick lets the machine repeat lost messages.
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

// Effect is what the shell must do; the types below are the closed set.
type Effect interface{ effect() }

// Send delivers a message to the process that a member entry names, and to no later one at its address.
type Send struct {
	To      Member
	Message Message
}

// ReadHistory asks for the non-idempotent requests that the ledger retains.
type ReadHistory struct {
	ReadID  uint64
	Epoch   laceunit.Epoch
	Members []laceunit.Holder
}

// FlushJournal asks for the journal to be submitted, through a peer if needed.
type FlushJournal struct{}

// Adopted tells of a new record and of the holders that it lacks.
type Adopted struct {
	Record  Record
	Removed []laceunit.Holder
}

// Expelled tells that this process was removed from the membership and must restart as a new incarnation.
type Expelled struct{}

func (Send) effect()         {}
func (ReadHistory) effect()  {}
func (FlushJournal) effect() {}
func (Adopted) effect()      {}
func (Expelled) effect()     {}
