package laceload

import (
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceworkload"
)

// Report is the result of a run as one JSON document; durations are in milliseconds.
type Report struct {
	Workload        string                               `json:"workload"`
	Seed            uint64                               `json:"seed"`
	Seconds         float64                              `json:"seconds"`
	Requests        RequestCounts                        `json:"requests"`
	Classes         map[laceworkload.ClassID]ClassCounts `json:"classes"`
	Failures        map[string]int64                     `json:"refused"`
	AttemptFailures map[string]int64                     `json:"refused_attempts"`
	FalseRefusals   FalseRefusals                        `json:"false_refusals"`
	Violations      Violations                           `json:"broken"`
	Billing         Billing                              `json:"billing"`
	Latency         Latency                              `json:"latency"`
	PlatformUsage   PlatformUsage                        `json:"platform"`
	Samples         []Sample                             `json:"samples"`
	Examples        []string                             `json:"examples,omitempty"`
	Unchecked       []string                             `json:"unchecked,omitempty"`
}

// RequestCounts counts the requests of a run.
type RequestCounts struct {
	Sent     int64 `json:"sent"`
	Done     int64 `json:"done"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	Attempts int64 `json:"attempts"`
	// Overrun counts chats for which the backend server counted more tokens than the ceiling; they are billed at the
	// ceiling.
	Overrun int64 `json:"overrun"`
	// Skipped counts requests that were not sent because the limit on concurrent requests was reached.
	Skipped         int64 `json:"skipped"`
	PeakConcurrency int   `json:"peak"`
}

// ClassCounts counts the requests of one class.
type ClassCounts struct {
	Sent int64 `json:"sent"`
	Done int64 `json:"done"`
}

// FalseRefusals counts requests that were finally refused because of the budget or because a component was unavailable,
// although the budget certainly had enough tokens for them.
type FalseRefusals struct {
	Final int64 `json:"final"`
	// AmpleBudget counts those of them whose budget had more than 5% left.
	AmpleBudget int64   `json:"comfortable"`
	Share       float64 `json:"share"`
}

// Violations counts violations of the guarantees that the fleet gives, by request unless the unit is tokens.
type Violations struct {
	// Truncated, Mismatched and Miscounted are responses that were delivered as complete although their text was cut off,
	// was a different one, or came with a wrong usage.
	Truncated  int64 `json:"cut"`
	Mismatched int64 `json:"crossed"`
	Miscounted int64 `json:"miscounted"`
	// DuplicateRuns are calls that are not idempotent and ran more than once.
	DuplicateRuns int64 `json:"ran_more_than_once"`
	// DoneWithoutRun are calls that were reported as "done" and did not run.
	DoneWithoutRun int64 `json:"done_without_run"`
	// NotRunButRan are calls that were refused with "not run" and ran.
	NotRunButRan int64 `json:"not_run_but_ran"`
	// NotRunButBilled are requests that were refused with "not run" and billed.
	NotRunButBilled int64 `json:"not_run_but_billed"`
	// Unbilled and Misbilled are complete responses that were not billed, or billed at other than their usage.
	Unbilled  int64 `json:"billed_never"`
	Misbilled int64 `json:"billed_otherwise"`
	// Overspend is in tokens: the amount settled in excess of the amount paid.
	Overspend laceunit.Tokens `json:"overspend"`
	// Excess is in tokens: the amount settled in excess of the usage that the callers can account for.
	Excess laceunit.Tokens `json:"settled_beyond_usage"`
	// Shortfall is in tokens: the usage of complete responses in excess of the amount settled.
	Shortfall laceunit.Tokens `json:"usage_beyond_settled"`
}

// Any reports whether there is any violation.
func (v Violations) Any() bool { return v != Violations{} }

// Billing compares the usage that callers saw with the amount settled.
type Billing struct {
	Source string `json:"source"`
	// Usage is the usage of complete responses.
	Usage laceunit.Tokens `json:"usage"`
	// Settled is the amount settled during the run, according to the source.
	Settled laceunit.Tokens `json:"settled"`
	Paid    laceunit.Tokens `json:"paid"`
	// Verified is the number of requests that were compared with the ledger.
	Verified int64 `json:"verified"`
	// Unanswered is the number of requests whose status could not be read from any instance.
	Unanswered int64 `json:"unanswered"`
}

// Latency is in milliseconds.
type Latency struct {
	FirstToken  Quantiles `json:"first_token"`
	InterToken  Quantiles `json:"between_tokens"`
	ServiceCall Quantiles `json:"service"`
	// UnstreamedChat is the time from start to end of chats that are not streamed.
	UnstreamedChat Quantiles `json:"whole_chat"`
}

// Quantiles of a latency in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// PlatformUsage counts the calls to the platform during the run.
type PlatformUsage struct {
	Reads            int64   `json:"reads"`
	Writes           int64   `json:"writes"`
	Leases           int64   `json:"leases"`
	Watches          int64   `json:"watches"`
	CallsPerRequest  float64 `json:"calls_per_request"`
	WritesPerRequest float64 `json:"writes_per_request"`
}

// Sample is the state of the run at one point in time.
type Sample struct {
	Second         float64         `json:"second"`
	Running        int             `json:"running"`
	Done           int64           `json:"done"`
	NotRun         int64           `json:"not_run"`
	Paid           laceunit.Tokens `json:"paid"`
	Spent          laceunit.Tokens `json:"spent"`
	PlatformCalls  int64           `json:"platform_calls"`
	PlatformWrites int64           `json:"platform_writes"`
}
