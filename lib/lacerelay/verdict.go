package lacerelay

import (
	"net/http"

	"lacewingcove/lib/laceroute"
)

// ending tells how an attempt ended.
type ending int

const (
	// whole is a complete answer of the server.
	whole ending = iota + 1
	// notSent means that nothing reached the server.
	notSent
	// notRun means that the server states that it did not run the request.
	notRun
	// broken means that the answer is missing, cut or not the request's own; it may have run.
	broken
	// silent means that the server was given up because it told nothing for too long.
	silent
	// late means that the time was over while the server worked.
	late
	// left means that the caller has gone.
	left
)

// String returns the ending as logs have it.
func (e ending) String() string {
	return [...]string{"", "whole", "not_sent", "not_run", "broken", "silent", "late", "caller_left"}[e]
}

// action is what follows an attempt.
type action int

const (
	// deliver passes the server's answer on.
	deliver action = iota + 1
	// again sends the request to another server.
	again
	// refuse tells the caller that the request did not run.
	refuse
	// fail tells the caller that the request may have run.
	fail
)

// notSentTries is how many servers a request is offered to that can't be reached.
const notSentTries = 3

// progress is what is known of a request's attempts.
type progress struct {
	// sends counts the servers that the request was sent to, misses those that could not be reached.
	sends  int
	misses int
	// ran is true when one of the attempts may have run.
	ran bool
	// stuck is true when the caller has events behind which no other server can go on, since the newest has no id.
	stuck bool
}

// decide returns what follows an attempt that ended in a way and with a status, for a request of a route. The retry
// budget is asked only when the attempt would be repeated.
func decide(route *laceroute.Route, p progress, end ending, status int, budget func() bool) action {
	if p.stuck && end != whole {
		return fail
	}
	give := refuse
	if p.ran {
		give = fail
	}
	switch end {
	case whole:
		if !promising(status) && (status < http.StatusInternalServerError || !repeatable(route)) {
			return deliver
		}
		if repeatable(route) && p.sends < route.MaxAttempts && budget() {
			return again
		}
		if promising(status) {
			return fail
		}
		return deliver
	case notSent:
		if p.misses < notSentTries {
			return again
		}
		return give
	case notRun:
		if p.sends < route.MaxAttempts && budget() {
			return again
		}
		return give
	case broken, silent:
		if repeatable(route) && p.sends < route.MaxAttempts && budget() {
			return again
		}
		return fail
	default:
		return fail
	}
}

// repeatable reports whether a request that may have run can be sent again.
func repeatable(route *laceroute.Route) bool { return route.RetryMode != laceroute.AtMostOnce }

// promising reports whether a status tells the caller that its request did not run. Without the server's own statement
// it can't be passed on, since the request was accepted by the server.
func promising(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
