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

// Requests are the requests of a run.
type RequestCounts struct {
	Sent     int64 `json:"sent"`
	Done     int64 `json:"done"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	Attempts int64 `json:"attempts"`
	// Overrun are chats whose backend server counted more tokens than their ceiling: they are billed at the ceiling.
	Overrun int64 `json:"overrun"`
	// Skipped arrived while the bound on concurrent requests was reached, and were not sent.
	Skipped         int64 `json:"skipped"`
	PeakConcurrency int   `json:"peak"`
}

// ClassCount is the requests of one class.
type ClassCounts struct {
	Sent int64 `json:"sent"`
	Done int64 `json:"done"`
}

// FalseRefusals are requests that ended with a refusal that blames the budget or the availability of a part although
// the budget certainly had enough for them.
type FalseRefusals struct {
	Final int64 `json:"final"`
	// Comfortable are those among them whose budget had more than 5% left.
	AmpleBudget int64   `json:"comfortable"`
	Share       float64 `json:"share"`
}

// Broken counts the requests for which a promise was broken.
type Violations struct {
	Truncated  int64 `json:"cut"`
	Mismatched int64 `json:"crossed"`
	Miscounted int64 `json:"miscounted"`
	// RanAgain are calls that are not idempotent and ran more than once.
	DuplicateRuns int64 `json:"ran_more_than_once"`
	// NeverRan were answered with "done" and did not run.
	DoneWithoutRun int64 `json:"done_without_run"`
	// RanRefused were refused with "not run" and ran.
	NotRunButRan int64 `json:"not_run_but_ran"`
	// BilledRefused were refused with "not run" and billed.
	NotRunButBilled int64 `json:"not_run_but_billed"`
	// BilledNever and BilledOther are whole answers that were not billed, or not at their usage.
	Unbilled  int64 `json:"billed_never"`
	Misbilled int64 `json:"billed_otherwise"`
	// Overspend is in tokens: what was settled beyond what was paid.
	Overspend laceunit.Tokens `json:"overspend"`
	// Excess is in tokens: what was settled beyond the usage of the requests that the callers know of.
	Excess laceunit.Tokens `json:"settled_beyond_usage"`
	// Shortfall is in tokens: what the usage of whole answers has beyond what was settled.
	Shortfall laceunit.Tokens `json:"usage_beyond_settled"`
}

// Any reports whether a promise was broken.
func (b Violations) Any() bool { return b != Violations{} }

// Billing compares what callers used with what was settled.
type Billing struct {
	Source string `json:"source"`
	// Usage is the usage of whole answers.
	Usage laceunit.Tokens `json:"usage"`
	// Settled is what the source says was settled during the run.
	Settled laceunit.Tokens `json:"settled"`
	Paid    laceunit.Tokens `json:"paid"`
	// Verified is the number of requests that were compared with the ledger.
	Verified int64 `json:"verified"`
	// Unanswered is the number of those whose state no instance told.
	Unanswered int64 `json:"unanswered"`
}

// Latency is in milliseconds.
type Latency struct {
	FirstToken  Quantiles `json:"first_token"`
	InterToken  Quantiles `json:"between_tokens"`
	ServiceCall Quantiles `json:"service"`
	// Whole are chats that are not streamed, from begin to end.
	UnstreamedChat Quantiles `json:"whole_chat"`
}

// Quantiles of a latency in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// PlatformUse is the calls of the platform during the run.
type PlatformUsage struct {
	Reads            int64   `json:"reads"`
	Writes           int64   `json:"writes"`
	Leases           int64   `json:"leases"`
	Watches          int64   `json:"watches"`
	CallsPerRequest  float64 `json:"calls_per_request"`
	WritesPerRequest float64 `json:"writes_per_request"`
}

// Sample is the state of the run at one second.
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
