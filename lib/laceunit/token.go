package laceunit

import "strconv"

// Tokens counts budget tokens.
type Tokens int64

// String returns the count in decimal.
func (t Tokens) String() string {
	return strconv.FormatInt(int64(t), 10)
}

// Priority orders work under overload; a higher one is served first.
type Priority int

// Priorities of the brief's workloads: drafts may wait, lookups and orders may not.
const (
	PriorityDraft    Priority = 0
	PriorityChat     Priority = 1
	PriorityLookup   Priority = 2
	PriorityCritical Priority = 3
)

// Lean says which kind of error a deployment prefers to avoid during faults.
type ConsistencyMode string

// The two leanings; overspend is zero in both.
const (
	ConsistencyAvailable ConsistencyMode = "available"
	ConsistencyStrict    ConsistencyMode = "strict"
)

// Rate is a number of requests a second.
type Rate float64
