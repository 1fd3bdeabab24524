package laceunit

import "strconv"

// Tokens is a number of budget tokens.
type Tokens int64

// String returns the number in decimal.
func (t Tokens) String() string {
	return strconv.FormatInt(int64(t), 10)
}

// Priority orders requests under overload; higher priorities are served first.
type Priority int

// Priorities of the workloads: drafts may be delayed, lookups and orders may not.
const (
	PriorityDraft    Priority = 0
	PriorityChat     Priority = 1
	PriorityLookup   Priority = 2
	PriorityCritical Priority = 3
)

// ConsistencyMode selects which kind of error a deployment prefers to avoid during faults.
type ConsistencyMode string

// The consistency modes; overspend is zero in both.
const (
	ConsistencyAvailable ConsistencyMode = "available"
	ConsistencyStrict    ConsistencyMode = "strict"
)

// Rate is a number of requests per second.
type Rate float64
