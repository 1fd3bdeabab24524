package laceemulator

import (
	"maps"
	"time"
)

// Cut says which direction between one client and the platform is cut.
type Partition string

// The one-way cuts; a client with both directions cut sees the same as with CutRequests.
const (
	// CutRequests drops what the client sends; nothing is carried out.
	DropRequests Partition = "requests"
	// CutAnswers drops what the platform answers; calls are carried out.
	DropResponses Partition = "answers"
)

// PlatformFaults are the faults of the platform; the zero value is a healthy one.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool
	// Latency is added to each call, half before and half after it takes effect, and up to Jitter more. A call takes
	// effect even if its caller gives up before.
	Latency time.Duration
	Jitter  time.Duration
	// Lost is the share of writes and lease calls that take effect without an answer.
	LossRate float64
	// LoseNext is how many further writes and lease calls take effect without an answer, whatever Lost says.
	LoseNextResponses int
	// Cuts are the one-way cuts by client name.
	Partitions map[string]Partition
	// Hang lets a call without an answer wait for the caller's deadline; otherwise it fails at once.
	Hang bool
	// PauseRenewals names clients whose renewals are not carried out until the client is taken off the list,
	// as if the client were paused.
	PauseRenewals map[string]bool
	// HoldLeases stops the expiry of all leases; those that are overdue expire when it ends.
	SuspendExpiry bool
}

// clone copies the maps, so that the caller may go on changing its own.
func (f PlatformFaults) clone() PlatformFaults {
	f.Partitions = maps.Clone(f.Partitions)
	f.PauseRenewals = maps.Clone(f.PauseRenewals)
	return f
}
