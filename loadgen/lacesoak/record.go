package lacesoak

import (
	"fmt"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceprocess"
	"lacewingcove/platform/lacestage"
)

// answer is one attempt as its caller saw it.
type answer struct {
	lacestage.Response
	account laceunit.AccountID
	// key and route are what the caller asked with and for.
	key   string
	route string
	// local is true when the caller is on the machine behind the narrow link.
	local bool
	// once is true for a call that must not run twice.
	once bool
	// limit is the time that the caller and the route allow.
	limit time.Duration
	want  []byte
	// given are the tokens that reached the caller: the prompt, if any event did, and the events.
	given laceunit.Tokens
	// left is true when the caller gave up early, refused when no connection could be opened.
	left    bool
	refused bool
}

// served reports whether the caller got the complete answer of a server.
func (a *answer) served() bool { return a.Complete && a.Status >= 200 && a.Status < 300 }

// faulty reports whether the server itself kept a request from a whole answer.
func faulty(r *lacestage.RequestRecord) bool {
	return r.Outcome >= lacestage.Truncated && r.Outcome <= lacestage.Failed
}

// deed is an event as it was carried out.
type deed struct {
	event
	// server is the process that the event met.
	server laceunit.ServerID
	began  time.Time
	// ended is when the fault was over: for signals, when the process had ended or was awake.
	ended time.Time
	// ready is when a process that was started again took requests.
	ready time.Time
}

// over returns when the event had no effect any more.
func (d *deed) over() time.Time {
	if d.ready.After(d.ended) {
		return d.ready
	}
	return d.ended
}

// record is all that a run left.
type record struct {
	answers []answer
	runs    []lacestage.RequestRecord
	deeds   []deed
	// changes are those of the configuration while callers press the instance behind the narrow link, which is nil in runs
	// without one.
	changes []change
	narrow  *event
	// paid is what each account had paid at the end; it only rises during a run.
	paid map[laceunit.AccountID]laceunit.Tokens
	// began is the start of the timeline, quiet when the last fault was over.
	began time.Time
	quiet time.Time
	// rest is the largest use of an idle instance before the callers came, peak the largest of all.
	rest laceprocess.Usage
	peak laceprocess.Usage
	// memory is the most that all instances had together.
	memory float64
	// last is the use of each living instance after the quiet tail.
	last map[int]laceprocess.Usage
	// exited are the instances that ended by themselves.
	exited []int
	// instances and backends are how many instances and backend servers there are.
	instances int
	backends  int
}

// instanceID names an instance by its number.
func instanceID(i int) laceunit.InstanceID { return laceunit.InstanceID(fmt.Sprintf("router-%d", i)) }
