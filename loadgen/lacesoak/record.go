package lacesoak

import (
	"fmt"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

// Answer is one attempt as its caller saw it.
type Answer struct {
	lacestage.Answer
	Account laceunit.AccountID
	// Once is true for a call that must not run twice.
	Once bool
	// Limit is the time that the caller and the route allow.
	Limit time.Duration
	Want  []byte
	// Given are the tokens that reached the caller: the prompt, if any event did, and the events.
	Given laceunit.Tokens
	// Left is true when the caller gave up early, Refused when no connection could be opened.
	Left    bool
	Refused bool
}

// served reports whether the caller got the complete answer of a server.
func (a *Answer) served() bool { return a.Complete && a.Status >= 200 && a.Status < 300 }

// Run is one request as a backend server saw it.
type Run struct {
	lacestage.Run
}

// faulty reports whether the server itself kept the request from a whole answer.
func (r *Run) faulty() bool {
	switch r.Outcome {
	case lacestage.Broken, lacestage.Unanswered, lacestage.Garbled, lacestage.Failed:
		return true
	}
	return false
}

// Deed is an event as it was carried out.
type Deed struct {
	Event
	// Server is the process that the event met.
	Server laceunit.ServerID
	Began  time.Time
	// Ended is when the fault was over: for signals, when the process had ended or was awake.
	Ended time.Time
	// Ready is when a process that was started again took requests.
	Ready   time.Time
	Problem string
}

// over returns when the event had no effect any more.
func (d *Deed) over() time.Time {
	if d.Ready.After(d.Ended) {
		return d.Ready
	}
	return d.Ended
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
	// Began is the start of the timeline, Quiet when the last fault was over.
	Began time.Time
	Quiet time.Time
	// Rest is the largest use of an idle instance before the callers came, Peak the largest of all.
	Rest Sample
	Peak Sample
	// Memory is the most that all instances had together.
	Memory float64
	// Last is the use of each living instance after the quiet tail.
	Last map[int]Sample
	// Exited are the instances that ended by themselves.
	Exited []int
	// Instances is how many instances there are.
	Instances int
}

// instanceID names an instance by its number.
func instanceID(i int) laceunit.InstanceID { return laceunit.InstanceID(fmt.Sprintf("router-%d", i)) }
