package lacesoak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

// Guarantees of the gateway to callers and backend servers.
const (
	guaranteeBudget      = "budget"
	guaranteeAtMostOnce  = "once"
	guaranteeAccount     = "account"
	guaranteeIntegrity   = "whole"
	guaranteeNotRun      = "not-run"
	guaranteePlannedStop = "planned-stop"
	guaranteeDrain       = "leaving"
	guaranteePause       = "pausing"
	guaranteeRateLimit   = "limit"
	guaranteeResources   = "rest"
	guaranteeRecovery    = "serves-again"
	guaranteeRunning     = "keeps-running"
	guaranteePropagation = "in-force"
	guaranteeRetryAfter  = "retry-after"
	guaranteeQuarantine  = "quarantine"
	guaranteeVersion     = "one-version"
	guaranteeBrittle     = "brittle"
)

const (
	// drainPeriod is how long an instance may send requests to a server after its drain notice (docs/design.md, 1.1).
	drainPeriod = 3 * time.Second
	// stopGracePeriod and lameDuckPeriod are the settings of planned stops: streams have to end within the first, and
	// new requests are accepted during the second.
	stopGracePeriod = 4 * time.Second
	lameDuckPeriod  = time.Second
	// pauseReaction is how long after a response that announces a pause requests in transit may still arrive.
	pauseReaction = 500 * time.Millisecond
	// pauseProbes is how many requests may probe a paused server before the end of the pause.
	pauseProbes = 2
	// transitTime is how long a request may be in transit while the remote end closes the connection.
	transitTime = 100 * time.Millisecond
	// timeoutSlack is how long before its timeout an instance may end a request.
	timeoutSlack = 50 * time.Millisecond
)

// Violation is a violated guarantee.
type Violation struct {
	Guarantee string
	Attempts  []laceunit.AttemptID
	Message   string
}

// checker compares the observations of a run with the guarantees.
type checker struct {
	*record
	responseByAttempt map[laceunit.AttemptID]*response
	recordsByAttempt  map[laceunit.AttemptID][]*lacestage.RequestRecord
	violations        []Violation
}

// check returns the guarantees that were violated in a run.
func check(r *record) []Violation {
	c := &checker{
		record:            r,
		responseByAttempt: map[laceunit.AttemptID]*response{},
		recordsByAttempt:  map[laceunit.AttemptID][]*lacestage.RequestRecord{},
	}
	for i := range r.serverRecords {
		c.recordsByAttempt[r.serverRecords[i].Attempt] = append(
			c.recordsByAttempt[r.serverRecords[i].Attempt], &r.serverRecords[i])
	}
	for i := range r.responses {
		c.responseByAttempt[r.responses[i].Attempt] = &r.responses[i]
		c.checkAttempt(&r.responses[i])
	}
	c.checkBudgets()
	c.checkPlannedStops()
	c.checkServers()
	c.checkResources()
	c.checkRecovery()
	c.checkPropagation()
	c.checkOutdated()
	c.checkRetryAfter()
	c.checkQuarantine()
	c.checkFalls()
	c.checkVersions()
	for _, i := range r.exited {
		c.addViolation(guaranteeRunning, nil, "instance %d exited unexpectedly", i)
	}
	return c.violations
}

// addViolation records a violation.
func (c *checker) addViolation(guarantee string, attempts []laceunit.AttemptID, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Guarantee: guarantee,
		Attempts:  attempts,
		Message:   fmt.Sprintf(format, args...),
	})
}

// checkBudgets checks that no client account received more tokens than it had paid for.
func (c *checker) checkBudgets() {
	delivered := map[laceunit.AccountID]laceunit.Tokens{}
	overspent := map[laceunit.AccountID][]laceunit.AttemptID{}
	for i := range c.responses {
		a := &c.responses[i]
		delivered[a.account] += a.deliveredTokens
		if a.deliveredTokens > 0 && delivered[a.account] > c.paid[a.account] {
			overspent[a.account] = append(overspent[a.account], a.Attempt)
		}
	}
	for account, attempts := range overspent {
		c.addViolation(guaranteeBudget, attempts,
			"account %s paid for %d tokens and received %d", account, c.paid[account], delivered[account])
	}
}

// checkAttempt checks the guarantees that concern a single attempt.
func (c *checker) checkAttempt(a *response) {
	id := []laceunit.AttemptID{a.Attempt}
	executed := 0
	for _, x := range c.recordsByAttempt[a.Attempt] {
		if x.Account != a.account {
			c.addViolation(guaranteeAccount, id,
				"the key belongs to account %q, the server received account %q", a.account, x.Account)
		}
		if x.Outcome.Executed() {
			executed++
		}
	}
	if a.nonIdempotent && executed > 1 {
		c.addViolation(guaranteeAtMostOnce, id, "a call that must not run twice ran %d times", executed)
	}
	if meansNotRun(a.Status) && executed > 0 {
		c.addViolation(guaranteeNotRun, id, "status %d means not run, but the call ran %d times", a.Status, executed)
	}
	if a.Unsolicited {
		c.addViolation(guaranteeIntegrity, id, "the connection had bytes that belong to no request")
	}
	if a.Status != 0 && a.EchoedAttempt != a.Attempt {
		c.addViolation(guaranteeIntegrity, id, "the response has the attempt id %q", a.EchoedAttempt)
	}
	switch isSuccess := a.Status >= 200 && a.Status < 300; {
	case a.succeeded() && !bytes.Equal(a.Body, a.want):
		c.addViolation(guaranteeIntegrity, id,
			"status %d, framed as complete with a wrong body: %s", a.Status, describeDifference(a.Body, a.want))
	case isSuccess && !bytes.HasPrefix(a.want, a.Body):
		c.addViolation(guaranteeIntegrity, id,
			"status %d, truncated with unexpected bytes: %s", a.Status, describeDifference(a.Body, a.want))
	}
}

// meansNotRun reports whether a status guarantees that the call did not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusNotFound, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// describeDifference describes the first difference between a body and the expected one.
func describeDifference(got, want []byte) string {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	return fmt.Sprintf("%d bytes of %d, differs at %d: %.60q", len(got), len(want), i, got[i:])
}

// checkPlannedStops looks for planned stops that exceed the grace period and for responses that they truncated.
func (c *checker) checkPlannedStops() {
	for i := range c.injections {
		d := &c.injections[i]
		if duration := d.ended.Sub(d.started); d.kind == eventStop && duration > stopGracePeriod {
			c.addViolation(guaranteePlannedStop, nil,
				"instance %d, stopped at %.3f s, exited after %s", d.index, d.at.Seconds(), duration)
		}
		var truncated []laceunit.AttemptID
		var first *response
		for j := range c.responses {
			if a := &c.responses[j]; d.kind == eventStop && a.Instance == instanceID(d.index) && c.isTruncatedBy(d, a) {
				truncated = append(truncated, a.Attempt)
				if first == nil {
					first = a
				}
			}
		}
		if first != nil {
			c.addViolation(guaranteePlannedStop, truncated,
				"instance %d, stopped at %.3f s, truncated %d responses; first sent %s after the signal, took %s: %v",
				d.index, d.at.Seconds(), len(truncated),
				first.Sent.Sub(d.started), first.Ended.Sub(first.Sent), first.Err)
		}
	}
}

// isTruncatedBy reports whether a planned stop is the only explanation for an incomplete response.
func (c *checker) isTruncatedBy(d *injection, a *response) bool {
	if a.canceled || a.connRefused || a.Complete || a.Sent.After(d.ended) || a.Ended.Before(d.started) ||
		a.Ended.After(d.ended.Add(transitTime)) {
		return false
	}
	// The instance ends a request at its timeout in any case.
	if a.Ended.Sub(a.Sent) >= a.timeout-timeoutSlack {
		return false
	}
	if c.serverFailed(a) {
		return false
	}
	// HTTP/1.1 allows a peer to close the connection between two responses, and a stopping instance does so at the end
	// of its lame-duck period. A request in transit at that moment was not accepted if the caller received no byte of a
	// response and no server received the request.
	closedInTransit := a.Ended.After(d.started.Add(lameDuckPeriod)) && a.Ended.Sub(a.Sent) < transitTime
	return !closedInTransit || a.Status != 0 || len(c.recordsByAttempt[a.Attempt]) > 0
}

// serverFailed reports whether the last server that ran an attempt failed to complete its response, or was unresponsive
// so that the instance gave up on it. Failures of earlier servers don't count, because the instance retried the
// attempt.
func (c *checker) serverFailed(a *response) bool {
	var last *lacestage.RequestRecord
	for _, x := range c.recordsByAttempt[a.Attempt] {
		if x.Outcome.Executed() {
			last = x
		}
	}
	return last != nil && (failedByServer(last) || slices.ContainsFunc(c.injections, func(d injection) bool {
		return d.eventType.server.Unresponsive && d.server == last.Server &&
			!d.started.After(last.Ended) && !d.ended.Before(last.Arrived)
	}))
}

// checkVersions looks for streams that were continued at another software version than the one that wrote the event before.
func (c *checker) checkVersions() {
	byStream := map[laceunit.AttemptID][]*lacestage.RequestRecord{}
	for i := range c.serverRecords {
		x := &c.serverRecords[i]
		byStream[x.Stream] = append(byStream[x.Stream], x)
	}
	for _, records := range byStream {
		for _, x := range records {
			if x.LastEventID == 0 || x.LastEvent == 0 {
				continue
			}
			// Several servers may have written the event; the caller has it from one of them.
			continues := slices.ContainsFunc(records, func(y *lacestage.RequestRecord) bool {
				return y != x && y.Version == x.Version && y.FirstEvent > 0 && y.FirstEvent <= x.LastEventID &&
					y.LastEvent >= x.LastEventID && y.Arrived.Before(x.Arrived)
			})
			if !continues {
				c.addViolation(guaranteeVersion, []laceunit.AttemptID{x.Attempt},
					"%s of version %s continued a stream of another version after event %d", x.Server, x.Version, x.LastEventID)
			}
		}
	}
}

// path identifies the requests of one instance to one server id.
type path struct {
	instance laceunit.InstanceID
	server   laceunit.ServerID
}

// arrival is a request at a server with the response that the caller recorded.
type arrival struct {
	*lacestage.RequestRecord
	caller *response
}

// checkServers checks the requests that servers received after they announced a rate limit, a drain or a pause.
func (c *checker) checkServers() {
	byPath := map[path][]arrival{}
	for i := range c.serverRecords {
		x := arrival{
			RequestRecord: &c.serverRecords[i],
			caller:        c.responseByAttempt[c.serverRecords[i].Attempt],
		}
		if x.caller != nil {
			p := path{
				instance: x.caller.Instance,
				server:   x.Server,
			}
			byPath[p] = append(byPath[p], x)
		}
	}
	c.checkRateLimits(byPath)
	for p, arrivals := range byPath {
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.Arrived.Compare(b.Arrived) })
		c.checkDrain(p, arrivals)
		c.checkLeaving(p, arrivals)
		c.checkPause(p, arrivals)
	}
}

// checkDrain looks for requests that were sent after the drain period. The period starts when the caller has received
// the response with the drain notice, because the instance has certainly read it by then. A restarted instance does not
// know the notices that its previous process received.
func (c *checker) checkDrain(p path, arrivals []arrival) {
	var notifiedAt time.Time
	var late []laceunit.AttemptID
	for _, x := range arrivals {
		if c.hadEvent(p.instance, notifiedAt, x.Arrived, eventStop, eventKill) {
			notifiedAt = time.Time{}
		}
		switch {
		case notifiedAt.IsZero() && x.DrainAnnounced && x.caller.succeeded():
			notifiedAt = x.caller.Ended
		case !notifiedAt.IsZero() && x.caller.Sent.After(notifiedAt.Add(drainPeriod)):
			late = append(late, x.Attempt)
		}
	}
	if len(late) > 0 {
		c.addViolation(guaranteeDrain, late,
			"%s sent %d requests to %s more than %s after its drain notice",
			p.instance, len(late), p.server, drainPeriod)
	}
}

// checkPause looks for requests that arrived before the end of an announced pause. A frozen instance reads no
// responses, and a restarted one does not know the pauses that its previous process received.
func (c *checker) checkPause(p path, arrivals []arrival) {
	var largest []laceunit.AttemptID
	for _, x := range arrivals {
		if x.Outcome != lacestage.Paused ||
			c.hadEvent(p.instance, x.Ended, x.PausedUntil, eventStop, eventKill, eventFreeze) {
			continue
		}
		var within []laceunit.AttemptID
		for _, y := range arrivals {
			if c.earliestSend(p.instance, y).After(x.Ended.Add(pauseReaction)) && y.Arrived.Before(x.PausedUntil) {
				within = append(within, y.Attempt)
			}
		}
		if len(within) > len(largest) {
			largest = within
		}
	}
	if len(largest) > pauseProbes {
		c.addViolation(guaranteePause, largest,
			"%s sent %d requests to %s during one of its pauses", p.instance, len(largest), p.server)
	}
}

// hadEvent reports whether an event of one of the kinds affected an instance within a period.
func (c *checker) hadEvent(instance laceunit.InstanceID, from, to time.Time, kinds ...string) bool {
	return slices.ContainsFunc(c.injections, func(d injection) bool {
		return slices.Contains(kinds, d.kind) && instanceID(d.index) == instance &&
			d.started.Before(to) && d.effectEnd().After(from)
	})
}
