package laceunit

import (
	"strconv"
)

// AccountID names a client account.
type AccountID string

// BudgetID names a prepaid budget of a client account.
type BudgetID string

// InstanceID names a router instance; it survives restarts.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, a group of availability zones.
type RegionID string

// ServerID names a backend server.
type ServerID string

// ModelID names a model.
type ModelID string

// ServiceID names a plain service.
type ServiceID string

// RequestID is the caller's idempotency key; it is unique within a client account.
type RequestID string

// AttemptID names one attempt to run a request at a backend server.
type AttemptID string

// GrantID names a grant of budget tokens to an instance incarnation.
type GrantID string

// TopUpID makes a top-up idempotent.
type TopUpID string

// Digest is the hash of a request body or a configuration body, in hexadecimal.
type Digest string

// Incarnation distinguishes the processes that have run under one instance id.
type Incarnation uint64

// Epoch numbers the agreed memberships.
type Epoch uint64

// Version numbers the accepted configurations.
type Version uint64

// Sequence numbers the entries of a shard's log, starting at 1.
type Sequence uint64

// ShardID numbers the shards of the ledger.
type ShardID int

// Fence is a fencing token; a higher one supersedes a lower one.
type Fence uint64

// Holder names one process: an instance and its incarnation.
type Holder struct {
	Instance    InstanceID
	Incarnation Incarnation
}

// String returns the holder as instance/incarnation.
func (h Holder) String() string {
	return string(h.Instance) + "/" + strconv.FormatUint(uint64(h.Incarnation), 10)
}

// IsZero reports whether the holder names nobody.
func (h Holder) IsZero() bool {
	return h == Holder{}
}
