package lacesoak

import (
	"fmt"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceprocess"
	"lacewingcove/platform/lacestage"
)

// response is the outcome of one attempt as its caller recorded it.
type response struct {
	lacestage.Response
	account laceunit.AccountID
	// apiKey and route are the key that the caller sent and the route that it requested.
	apiKey string
	route  string
	// local is true if the caller runs on the machine behind the slow link and bypasses the link.
	local bool
	// nonIdempotent is true for a call that must not run twice.
	nonIdempotent bool
	// timeout is the lower of the route's timeouts before and after the request; the caller's own is never lower.
	timeout time.Duration
	// crashing is true for a request that crashes the server that begins to respond to it.
	crashing bool
	// want is the expected body.
	want []byte
	// deliveredTokens are the tokens of the events that the caller received, and of the prompt if there was any event.
	deliveredTokens laceunit.Tokens
	// canceled is true if the caller canceled the request, connRefused if the instance refused the connection.
	canceled    bool
	connRefused bool
}

// succeeded reports whether the caller received a complete response of a server.
func (a *response) succeeded() bool { return a.Complete && a.Status >= 200 && a.Status < 300 }

// failedByServer reports whether the server itself is the reason that a request got no complete response.
func failedByServer(r *lacestage.RequestRecord) bool {
	return r.Outcome >= lacestage.Truncated && r.Outcome <= lacestage.Failed
}

// injection is an event that was injected.
type injection struct {
	event
	// server is the id of the server that the event affected.
	server  laceunit.ServerID
	started time.Time
	// ended is when the fault ended; for signals, when the process had exited or was resumed.
	ended time.Time
	// ready is when a restarted process accepted requests; zero if there was no restart.
	ready time.Time
}

// effectEnd returns when the event stopped having an effect.
func (x *injection) effectEnd() time.Time {
	if x.ready.After(x.ended) {
		return x.ready
	}
	return x.ended
}

// record holds all observations of a run.
type record struct {
	responses []response
	// serverRecords are the requests that reached backend servers.
	serverRecords []lacestage.RequestRecord
	injections    []injection
	// changes are the configuration changes while callers overload the instance behind the slow link. slowLink is nil
	// in runs without one.
	changes  []change
	slowLink *event
	// observed are the changes that observers look for, and leavings when the store acknowledged that a server leaves.
	observed []observedChange
	leavings map[laceunit.ServerID][]time.Time
	// paid is the prepaid budget of each client account at the end of the run; it never decreases.
	paid map[laceunit.AccountID]laceunit.Tokens
	// started is the start of the timeline, faultsEnded the end of the last fault.
	started     time.Time
	faultsEnded time.Time
	// baseline is the highest resource usage of an idle instance before the first request, peak the highest of the run.
	baseline laceprocess.Usage
	peak     laceprocess.Usage
	// peakTotalMemory is the highest memory usage of all instances together.
	peakTotalMemory float64
	// final is the resource usage of each running instance after the quiet period.
	final map[int]laceprocess.Usage
	// crashes are the times of the crashes of serviceFragile, in order.
	crashes []time.Time
	// falls is the number of times that servers of serviceBrittle fell over; brittle is true if the service ran.
	falls   int
	brittle bool
	// exited are the instances that exited unexpectedly.
	exited []int
	// instances and backends are the numbers of instances and backend servers.
	instances int
	backends  int
}

// instanceID returns the id of an instance by its index.
func instanceID(i int) laceunit.InstanceID { return laceunit.InstanceID(fmt.Sprintf("router-%d", i)) }
