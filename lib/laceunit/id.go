package laceunit

import (
	"strconv"
)

// AccountID identifies a client account.
type AccountID string

// BudgetID identifies a prepaid budget of a client account.
type BudgetID string

// InstanceID identifies a router instance and is stable across restarts.
type InstanceID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region, a group of availability zones.
type RegionID string

// ServerID identifies a backend server.
type ServerID string

// SoftwareVersion identifies the version of the software of a backend server. Versions have no order. The events that
// servers of two versions write do not fit together in one stream.
type SoftwareVersion string

// ModelID identifies a model.
type ModelID string

// ServiceID identifies a service; where models have a ModelID of their own, a service that is not a model.
type ServiceID string

// RequestID is the client's idempotency key, unique within a client account.
type RequestID string

// AttemptID identifies one attempt to run a request on a backend server.
type AttemptID string

// GrantID identifies a grant of budget tokens to an instance incarnation.
type GrantID string

// TopUpID is the idempotency key of a top-up.
type TopUpID string

// Digest is the hash of a request body or a configuration body in hexadecimal.
type Digest string

// Incarnation distinguishes the processes that have run under one instance id.
type Incarnation uint64

// Epoch is the number of an agreed cluster membership.
type Epoch uint64

// Version is the number of an accepted configuration.
type Version uint64

// Sequence is the number of an entry in a shard's log, starting at 1.
type Sequence uint64

// ShardID is the number of a ledger shard.
type ShardID int

// Fence is a fencing token; a higher one supersedes a lower one.
type Fence uint64

// Holder identifies one process by its instance and incarnation.
type Holder struct {
	Instance    InstanceID
	Incarnation Incarnation
}

// String returns the holder in the form instance/incarnation.
func (h Holder) String() string {
	return string(h.Instance) + "/" + strconv.FormatUint(uint64(h.Incarnation), 10)
}

// IsZero reports whether the holder is unset.
func (h Holder) IsZero() bool {
	return h == Holder{}
}
