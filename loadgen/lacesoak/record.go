package lacesoak

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Answer is one attempt as its caller saw it.
type Answer struct {
	Attempt  laceunit.AttemptID
	Account  laceunit.AccountID
	Instance int
	// Once is true for a call that must not run twice.
	Once  bool
	Sent  time.Time
	Ended time.Time
	// Limit is the time that the caller or the route allows.
	Limit time.Duration
	// Status is 0 without an answer.
	Status int
	// Named is the attempt id that the answer carries.
	Named laceunit.AttemptID
	// Whole is true when the framing says that the answer is complete.
	Whole bool
	Body  []byte
	Want  []byte
	// Given are the tokens that reached the caller: the prompt, if any event did, and the events.
	Given laceunit.Tokens
	// Left is true when the caller gave up early.
	Left bool
	// Reused is true when the connection had carried a request before, Refused when none could be opened.
	Reused  bool
	Refused bool
	Problem string
}

// served reports whether the caller got the complete answer of a server.
func (a *Answer) served() bool { return a.Whole && a.Status >= 200 && a.Status < 300 }

// Run is one request as a backend server saw it.
type Run struct {
	Attempt laceunit.AttemptID
	Account laceunit.AccountID
	// Server numbers the server, Born tells its processes at one address apart.
	Server int
	Born   int64
	Began  time.Time
	Ended  time.Time
	// Executed is false for a request that the server refused without work.
	Executed bool
	// Fault names what the server did wrong, "" for a sound answer.
	Fault string
	// Leaving is true when the answer carried the leaving mark.
	Leaving bool
	// Pause is the Retry-After of a 503.
	Pause time.Duration
}

// Deed is an event as it was carried out.
type Deed struct {
	Event
	Began time.Time
	// Ended is when the fault was over: for signals, when the process had ended or was awake.
	Ended time.Time
	// Ready is when a process that was started again took requests.
	Ready   time.Time
	Problem string
}

// Sample is what a process uses.
type Sample struct {
	Memory     float64
	Files      float64
	Goroutines float64
}

// Record is all that a run left.
type Record struct {
	Answers []Answer
	Runs    []Run
	Deeds   []Deed
	// Paid is what each account had paid at the end; it only rises during a run.
	Paid map[laceunit.AccountID]laceunit.Tokens
	// Quiet is when the last fault was over, Closed when the callers had ended.
	Quiet  time.Time
	Closed time.Time
	// Rest is the largest use of an idle instance before the callers came, Peak the largest of all.
	Rest Sample
	Peak Sample
	// Last is the use of each living instance after the quiet tail, by number.
	Last map[int]Sample
	// Instances is how many instances there are.
	Instances int
}
