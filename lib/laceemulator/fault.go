package laceemulator

import (
	"maps"
	"time"
)

// Partition is the direction of a one-way network partition between a client and the platform.
type Partition string

// The one-way partitions. For a client, a partition in both directions is the same as DropRequests.
const (
	// DropRequests drops the requests of the client; no call is executed.
	DropRequests Partition = "requests"
	// DropResponses drops the responses of the platform; calls are executed.
	DropResponses Partition = "answers"
)

// PlatformFaults are the injected faults of the platform; the zero value injects none.
type PlatformFaults struct {
	// Down rejects every call.
	Down bool
	// Latency is added to each call, half before and half after it takes effect, plus a random value up to Jitter. A
	// call takes effect even if its caller gives up before that.
	Latency time.Duration
	Jitter  time.Duration
	// LossRate is the share of write and lease calls that take effect but whose response is lost.
	LossRate float64
	// LoseNextResponses is the number of next write and lease calls whose response is lost, regardless of LossRate.
	LoseNextResponses int
	// Partitions are the one-way partitions by client name.
	Partitions map[string]Partition
	// Hang makes a call without a response block until the caller's deadline; otherwise it fails immediately.
	Hang bool
	// PauseRenewals is the set of clients whose lease renewals are blocked until the client is removed from the set, as
	// if its process were paused.
	PauseRenewals map[string]bool
	// SuspendExpiry suspends the expiry of all leases; overdue leases expire once it is cleared.
	SuspendExpiry bool
}

// clone copies the maps, so that the caller can still modify its own.
func (f PlatformFaults) clone() PlatformFaults {
	f.Partitions = maps.Clone(f.Partitions)
	f.PauseRenewals = maps.Clone(f.PauseRenewals)
	return f
}
