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
	PromiseBudget  = "budget"
	PromiseOnce    = "once"
	PromiseAccount = "account"
	PromiseWhole   = "whole"
	PromiseNotRun  = "not-run"
	PromiseStop    = "planned-stop"
	PromiseLeaving = "leaving"
	PromisePausing = "pausing"
	PromiseRest    = "rest"
	PromiseServes  = "serves-again"
	PromiseRuns    = "keeps-running"
)

const (
	// DrainTime is how long after a leaving mark an instance may still send work to the server (docs/design.md, 1.1).
	DrainTime = 3 * time.Second
	// DrainGrace and DrainNotice are the settings of planned stops: streams have to end within the first, and new requests
	// are taken during the second.
	DrainGrace  = 4 * time.Second
	DrainNotice = time.Second
	// pauseReaction is how long after a pausing answer requests on their way may still arrive.
	pauseReaction = 500 * time.Millisecond
	// pauseTrials is how many requests may try a pausing server before its time is over.
	pauseTrials = 2
	// crossing is how long a request may be on its way while the connection is closed at the other end.
	crossing = 100 * time.Millisecond
	// limitSlack is by how much an instance ends a request ahead of its time limit.
	limitSlack = 50 * time.Millisecond
	// ServeWithin is when each instance serves again after the last fault.
	ServeWithin = 3 * time.Second
)

// Finding is a broken promise.
type Finding struct {
	Promise  string
	Attempts []laceunit.AttemptID
	Text     string
}

// Check returns the promises that a run broke.
func Check(r *Record) []Finding {
	c := &checker{
		record:  r,
		answers: map[laceunit.AttemptID]*Answer{},
		runs:    map[laceunit.AttemptID][]*Run{},
	}
	for i := range r.Answers {
		c.answers[r.Answers[i].Attempt] = &r.Answers[i]
	}
	for i := range r.Runs {
		x := &r.Runs[i]
		c.runs[x.Attempt] = append(c.runs[x.Attempt], x)
	}
	c.budgets()
	for i := range r.Answers {
		c.answer(&r.Answers[i])
	}
	c.stops()
	c.servers()
	c.rest()
	c.serves()
	for _, i := range r.Exited {
		c.add(PromiseRuns, nil, "instance %d ended by itself", i)
	}
	return c.findings
}

type checker struct {
	record   *Record
	answers  map[laceunit.AttemptID]*Answer
	runs     map[laceunit.AttemptID][]*Run
	findings []Finding
}

func (c *checker) add(promise string, attempts []laceunit.AttemptID, text string, args ...any) {
	c.findings = append(c.findings, Finding{
		Promise:  promise,
		Attempts: attempts,
		Text:     fmt.Sprintf(text, args...),
	})
}

// budgets compares what callers were given with what was paid.
func (c *checker) budgets() {
	given := map[laceunit.AccountID]laceunit.Tokens{}
	for i := range c.record.Answers {
		a := &c.record.Answers[i]
		before := given[a.Account]
		given[a.Account] += a.Given
		if paid, ok := c.record.Paid[a.Account]; ok && before <= paid && given[a.Account] > paid {
			defer func() {
				c.add(PromiseBudget, []laceunit.AttemptID{a.Attempt}, "account %s paid %d and was given %d; the attempt went over",
					a.Account, paid, given[a.Account])
			}()
		}
	}
}

// answer checks one attempt.
func (c *checker) answer(a *Answer) {
	id := []laceunit.AttemptID{a.Attempt}
	executed := 0
	for _, x := range c.runs[a.Attempt] {
		if x.Account != a.Account {
			c.add(PromiseAccount, id, "the key is of account %q, the server was told %q", a.Account, x.Account)
		}
		if x.Outcome.Ran() {
			executed++
		}
	}
	if a.Once && executed > 1 {
		c.add(PromiseOnce, id, "a call that must not run twice ran %d times", executed)
	}
	if saysNotRun(a.Status) && executed > 0 {
		c.add(PromiseNotRun, id, "answered %d and ran %d times", a.Status, executed)
	}
	if a.Stray {
		c.add(PromiseWhole, id, "the connection held bytes that belong to no request")
	}
	if a.Status != 0 && a.Echo != a.Attempt {
		c.add(PromiseWhole, id, "the answer carries the id %q", a.Echo)
	}
	if a.Status < 200 || a.Status > 299 {
		return
	}
	if a.Complete && !bytes.Equal(a.Body, a.Want) {
		c.add(PromiseWhole, id, "status %d, framed as complete and isn't: %s", a.Status, difference(a.Body, a.Want))
	}
	if !a.Complete && !bytes.HasPrefix(a.Want, a.Body) {
		c.add(PromiseWhole, id, "status %d, has bytes that are not its own: %s", a.Status, difference(a.Body, a.Want))
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
	const shown = 60
	rest := got[i:]
	return fmt.Sprintf("%d bytes of %d, differs at %d: %q", len(got), len(want), i, rest[:min(len(rest), shown)])
}

// stops looks for answers that a planned stop cut.
func (c *checker) stops() {
	for i := range c.record.Deeds {
		d := &c.record.Deeds[i]
		if d.Kind != Stop {
			continue
		}
		var cut []laceunit.AttemptID
		for j := range c.record.Answers {
			if a := &c.record.Answers[j]; a.Instance == instanceID(d.Target) && c.cutBy(d, a) {
				cut = append(cut, a.Attempt)
			}
		}
		if len(cut) > 0 {
			c.add(PromiseStop, cut, "instance %d, stopped at %.3f s, cut %d answers", d.Target, d.At.Seconds(), len(cut))
		}
	}
}

// cutBy reports whether a planned stop cut an answer that nothing else explains.
func (c *checker) cutBy(d *Deed, a *Answer) bool {
	if a.Left || a.Refused || a.Complete || a.Sent.After(d.Ended) || a.Ended.Before(d.Began) || a.Ended.After(d.Ended.Add(crossing)) {
		return false
	}
	// The instance ends a request at its time limit, whether it stops or not.
	if a.Ended.Sub(a.Sent) >= a.Limit-limitSlack {
		return false
	}
	for _, x := range c.runs[a.Attempt] {
		// What the server broke off, or kept silent about, can't be completed.
		if x.faulty() || c.troubled(x) {
			return false
		}
	}
	// HTTP/1.1 lets a peer close between two answers. A request that meets the close, after the time in which new ones are
	// taken, was not accepted: no server got it and no byte came back.
	onTheWay := a.Sent.After(d.Began.Add(DrainNotice)) && a.Ended.Sub(a.Sent) < crossing
	return !onTheWay || a.Status != 0 || len(c.runs[a.Attempt]) > 0
}

// troubled reports whether a request met a server that was slow or silent, which ends in the instance giving it up.
func (c *checker) troubled(x *Run) bool {
	return slices.ContainsFunc(c.record.Deeds, func(d Deed) bool {
		return d.Server == x.Server && (d.Kind == ServerSilent || d.Kind == ServerSlow) && !d.Began.After(x.Ended) && !d.Ended.Before(x.Arrived)
	})
}

// path is one instance's way to one process of a server.
type path struct {
	instance laceunit.InstanceID
	server   laceunit.ServerID
}

// arrival is a request that came that way.
type arrival struct {
	run    *Run
	answer *Answer
}

// servers checks what reached servers after they said that they are leaving or pausing.
func (c *checker) servers() {
	ways := map[path][]arrival{}
	for i := range c.record.Runs {
		x := &c.record.Runs[i]
		a := c.answers[x.Attempt]
		if a == nil {
			continue
		}
		p := path{
			instance: a.Instance,
			server:   x.Server,
		}
		ways[p] = append(ways[p], arrival{
			run:    x,
			answer: a,
		})
	}
	for p, all := range ways {
		slices.SortFunc(all, func(a, b arrival) int { return a.run.Arrived.Compare(b.run.Arrived) })
		c.leaving(p, all)
		c.pausing(p, all)
	}
}

// leaving looks for requests that were sent after the drain time. The mark counts from when the caller had the answer, so
// that the instance certainly had read it. A new process of the instance has not seen the mark.
func (c *checker) leaving(p path, all []arrival) {
	var marked time.Time
	var late []laceunit.AttemptID
	for _, x := range all {
		if !marked.IsZero() && x.answer.Sent.After(marked.Add(DrainTime)) && !c.disturbed(p.instance, marked, x.run.Arrived) {
			late = append(late, x.run.Attempt)
		}
		if marked.IsZero() && x.run.Announced && x.answer.served() {
			marked = x.answer.Ended
		}
	}
	if len(late) > 0 {
		c.add(PromiseLeaving, late, "%s sent %d requests to server %s later than %s after its leaving mark",
			p.instance, len(late), p.server, DrainTime)
	}
}

// pausing looks for requests that came before the end of a pause.
func (c *checker) pausing(p path, all []arrival) {
	var early []laceunit.AttemptID
	for _, x := range all {
		if x.run.Outcome != lacestage.Paused {
			continue
		}
		from, to := x.run.Ended.Add(pauseReaction), x.run.PausedUntil
		var within []laceunit.AttemptID
		for _, y := range all {
			if y.run.Arrived.After(from) && y.run.Arrived.Before(to) {
				within = append(within, y.run.Attempt)
			}
		}
		if len(within) > pauseTrials && len(within) > len(early) && !c.disturbed(p.instance, x.run.Ended, to) {
			early = within
		}
	}
	if len(early) > 0 {
		c.add(PromisePausing, early, "%s sent %d requests to server %s during one of its pauses", p.instance, len(early), p.server)
	}
}

// disturbed reports whether an instance was frozen or started again within a time: a frozen one reads nothing, and a new
// process has not heard what the one before was told.
func (c *checker) disturbed(instance laceunit.InstanceID, from, to time.Time) bool {
	return slices.ContainsFunc(c.record.Deeds, func(d Deed) bool {
		return instanceID(d.Target) == instance && (d.Kind == Freeze || d.Kind == Stop || d.Kind == Kill) && d.Began.Before(to) && d.over().After(from)
	})
}
