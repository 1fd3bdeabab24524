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

// The promises.
const (
	promiseBudget  = "budget"
	promiseOnce    = "once"
	promiseAccount = "account"
	promiseWhole   = "whole"
	promiseNotRun  = "not-run"
	promiseStop    = "planned-stop"
	promiseLeaving = "leaving"
	promisePausing = "pausing"
	promiseLimit   = "limit"
	promiseRest    = "rest"
	promiseServes  = "serves-again"
	promiseRuns    = "keeps-running"
	promiseForce   = "in-force"
	promiseRetry   = "retry-after"
)

const (
	// drainTime is how long after a leaving mark an instance may still send work to the server (docs/design.md, 1.1).
	drainTime = 3 * time.Second
	// drainGrace and drainNotice are the settings of planned stops: streams have to end within the first, and new requests
	// are taken during the second.
	drainGrace  = 4 * time.Second
	drainNotice = time.Second
	// pauseReaction is how long after a pausing answer requests on their way may still arrive.
	pauseReaction = 500 * time.Millisecond
	// pauseTrials is how many requests may try a pausing server before its time is over.
	pauseTrials = 2
	// crossing is how long a request may be on its way while the connection is closed at the other end.
	crossing = 100 * time.Millisecond
	// limitSlack is by how much an instance ends a request ahead of its time limit.
	limitSlack = 50 * time.Millisecond
)

// Finding is a broken promise.
type Violation struct {
	Guarantee string
	Attempts  []laceunit.AttemptID
	Message   string
}

type checker struct {
	*record
	answered map[laceunit.AttemptID]*answer
	ran      map[laceunit.AttemptID][]*lacestage.RequestRecord
	findings []Violation
}

// check returns the promises that a run broke.
func check(r *record) []Violation {
	c := &checker{
		record:   r,
		answered: map[laceunit.AttemptID]*answer{},
		ran:      map[laceunit.AttemptID][]*lacestage.RequestRecord{},
	}
	for i := range r.runs {
		c.ran[r.runs[i].Attempt] = append(c.ran[r.runs[i].Attempt], &r.runs[i])
	}
	for i := range r.answers {
		c.answered[r.answers[i].Attempt] = &r.answers[i]
		c.one(&r.answers[i])
	}
	c.budgets()
	c.stops()
	c.servers()
	c.resting()
	c.serving()
	c.inForce()
	c.retrying()
	for _, i := range r.exited {
		c.add(promiseRuns, nil, "instance %d ended by itself", i)
	}
	return c.findings
}

// add notes a finding.
func (c *checker) add(promise string, attempts []laceunit.AttemptID, text string, args ...any) {
	c.findings = append(c.findings, Violation{
		Guarantee: promise,
		Attempts:  attempts,
		Message:   fmt.Sprintf(text, args...),
	})
}

// budgets compares what callers were given with what was paid.
func (c *checker) budgets() {
	given := map[laceunit.AccountID]laceunit.Tokens{}
	over := map[laceunit.AccountID][]laceunit.AttemptID{}
	for i := range c.answers {
		a := &c.answers[i]
		given[a.account] += a.given
		if a.given > 0 && given[a.account] > c.paid[a.account] {
			over[a.account] = append(over[a.account], a.Attempt)
		}
	}
	for account, attempts := range over {
		c.add(promiseBudget, attempts, "account %s paid %d and was given %d", account, c.paid[account], given[account])
	}
}

// one checks what can be said of an attempt alone.
func (c *checker) one(a *answer) {
	id := []laceunit.AttemptID{a.Attempt}
	executed := 0
	for _, x := range c.ran[a.Attempt] {
		if x.Account != a.account {
			c.add(promiseAccount, id, "the key is of account %q, the server was told %q", a.account, x.Account)
		}
		if x.Outcome.Executed() {
			executed++
		}
	}
	if a.once && executed > 1 {
		c.add(promiseOnce, id, "a call that must not run twice ran %d times", executed)
	}
	if saysNotRun(a.Status) && executed > 0 {
		c.add(promiseNotRun, id, "answered %d and ran %d times", a.Status, executed)
	}
	if a.Unsolicited {
		c.add(promiseWhole, id, "the connection held bytes that belong to no request")
	}
	if a.Status != 0 && a.EchoedAttempt != a.Attempt {
		c.add(promiseWhole, id, "the answer carries the id %q", a.EchoedAttempt)
	}
	switch success := a.Status >= 200 && a.Status < 300; {
	case a.served() && !bytes.Equal(a.Body, a.want):
		c.add(promiseWhole, id, "status %d, framed as complete and isn't: %s", a.Status, difference(a.Body, a.want))
	case success && !bytes.HasPrefix(a.want, a.Body):
		c.add(promiseWhole, id, "status %d, has bytes that are not its own: %s", a.Status, difference(a.Body, a.want))
	}
}

func saysNotRun(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusNotFound, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// difference shows where a body departs from the expected one.
func difference(got, want []byte) string {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	return fmt.Sprintf("%d bytes of %d, differs at %d: %.60q", len(got), len(want), i, got[i:])
}

// stops looks for answers that a planned stop cut.
func (c *checker) stops() {
	for i := range c.deeds {
		d := &c.deeds[i]
		if took := d.ended.Sub(d.began); d.kind == stop && took > drainGrace {
			c.add(promiseStop, nil, "instance %d, stopped at %.3f s, ended after %s", d.number, d.at.Seconds(), took)
		}
		var cut []laceunit.AttemptID
		var first *answer
		for j := range c.answers {
			if a := &c.answers[j]; d.kind == stop && a.Instance == instanceID(d.number) && c.cutBy(d, a) {
				cut = append(cut, a.Attempt)
				if first == nil {
					first = a
				}
			}
		}
		if first != nil {
			c.add(promiseStop, cut, "instance %d, stopped at %.3f s, cut %d answers; the first was sent %s behind the signal and ended after %s: %v",
				d.number, d.at.Seconds(), len(cut), first.Sent.Sub(d.began), first.Ended.Sub(first.Sent), first.Err)
		}
	}
}

// cutBy reports whether a planned stop cut an answer that nothing else explains.
func (c *checker) cutBy(d *deed, a *answer) bool {
	if a.left || a.refused || a.Complete || a.Sent.After(d.ended) || a.Ended.Before(d.began) || a.Ended.After(d.ended.Add(crossing)) {
		return false
	}
	// The instance ends a request at its time limit, whether it stops or not.
	if a.Ended.Sub(a.Sent) >= a.limit-limitSlack {
		return false
	}
	if c.serverFailed(a) {
		return false
	}
	// HTTP/1.1 lets a peer close between two answers, and a stopping instance does so at the end of its notice. A request
	// that meets the close was not accepted: no byte came back and no server got it.
	crossed := a.Ended.After(d.began.Add(drainNotice)) && a.Ended.Sub(a.Sent) < crossing
	return !crossed || a.Status != 0 || len(c.ran[a.Attempt]) > 0
}

// serverFailed reports whether the last server that ran an attempt broke its answer off, or told nothing, upon which the
// instance gives it up. What earlier servers did is no excuse: the attempt went on without them.
func (c *checker) serverFailed(a *answer) bool {
	var last *lacestage.RequestRecord
	for _, x := range c.ran[a.Attempt] {
		if x.Outcome.Executed() {
			last = x
		}
	}
	return last != nil && (faulty(last) || slices.ContainsFunc(c.deeds, func(d deed) bool {
		return d.rule.server.Unresponsive && d.server == last.Server && !d.began.After(last.Ended) && !d.ended.Before(last.Arrived)
	}))
}

// path is one instance's way to one process of a server.
type path struct {
	instance laceunit.InstanceID
	server   laceunit.ServerID
}

// arrival is a request that came that way.
type arrival struct {
	*lacestage.RequestRecord
	caller *answer
}

// servers checks what reached servers after they said that they are leaving or pausing.
func (c *checker) servers() {
	ways := map[path][]arrival{}
	for i := range c.runs {
		x := arrival{
			RequestRecord: &c.runs[i],
			caller:        c.answered[c.runs[i].Attempt],
		}
		if x.caller != nil {
			p := path{
				instance: x.caller.Instance,
				server:   x.Server,
			}
			ways[p] = append(ways[p], x)
		}
	}
	c.limits(ways)
	for p, all := range ways {
		slices.SortFunc(all, func(a, b arrival) int { return a.Arrived.Compare(b.Arrived) })
		c.leaving(p, all)
		c.pausing(p, all)
	}
}

// leaving looks for requests that were sent after the drain time. The mark counts from when the caller had the answer, so
// that the instance certainly had read it. A new process of the instance has not seen the marks before it.
func (c *checker) leaving(p path, all []arrival) {
	var marked time.Time
	var late []laceunit.AttemptID
	for _, x := range all {
		if c.met(p.instance, marked, x.Arrived, stop, kill) {
			marked = time.Time{}
		}
		switch {
		case marked.IsZero() && x.DrainAnnounced && x.caller.served():
			marked = x.caller.Ended
		case !marked.IsZero() && x.caller.Sent.After(marked.Add(drainTime)):
			late = append(late, x.Attempt)
		}
	}
	if len(late) > 0 {
		c.add(promiseLeaving, late, "%s sent %d requests to %s later than %s after its leaving mark", p.instance, len(late), p.server, drainTime)
	}
}

// pausing looks for requests that came before the end of a pause. A frozen instance reads no answers, and a new process has
// not heard what the one before was told.
func (c *checker) pausing(p path, all []arrival) {
	var most []laceunit.AttemptID
	for _, x := range all {
		if x.Outcome != lacestage.Paused || c.met(p.instance, x.Ended, x.PausedUntil, stop, kill, freeze) {
			continue
		}
		var within []laceunit.AttemptID
		for _, y := range all {
			if c.decided(p.instance, y).After(x.Ended.Add(pauseReaction)) && y.Arrived.Before(x.PausedUntil) {
				within = append(within, y.Attempt)
			}
		}
		if len(within) > len(most) {
			most = within
		}
	}
	if len(most) > pauseTrials {
		c.add(promisePausing, most, "%s sent %d requests to %s during one of its pauses", p.instance, len(most), p.server)
	}
}

// met reports whether an instance met events of some kinds within a time.
func (c *checker) met(instance laceunit.InstanceID, from, to time.Time, kinds ...string) bool {
	return slices.ContainsFunc(c.deeds, func(d deed) bool {
		return slices.Contains(kinds, d.kind) && instanceID(d.number) == instance && d.began.Before(to) && d.over().After(from)
	})
}
