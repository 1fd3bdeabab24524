package lacerelay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

const (
	// answerBytes bounds an answer that is held until it is complete. Servers in trouble may send bodies without end, and many
	// of them at once have to fit into the memory of a small instance.
	answerBytes = 2 << 20
	// patience is the part of the response-time objective that a request may wait for a server. Longer waits end in
	// answers that are late anyway, while a refused caller can try elsewhere.
	patience = 4
	// longPatience bounds that wait for slow routes.
	longPatience = 500 * time.Millisecond
	// lateWait is how long before its deadline a request is no longer sent.
	lateWait = 5 * time.Millisecond
)

// attempt is one send with what came back.
type attempt struct {
	server   laceunit.ServerID
	end      ending
	status   int
	header   http.Header
	body     []byte
	exchange *laceconn.Exchange
	reply    Reply
	reason   string
	// spared is true when nothing was sent for a reason that is not the server's.
	spared bool
	// recalled is true when nothing was sent because the server leaves or pauses since it was chosen.
	recalled bool
}

// run places and sends a request until it has an answer.
func (r *Relay) run(ctx context.Context, j *job) {
	for {
		decision := r.place(ctx, j)
		if decision.Verdict != lacebalancer.Assigned {
			r.end(ctx, j, &attempt{}, r.unplaced(ctx, j, decision))
			return
		}
		a := r.attempt(ctx, j, decision)
		switch decide(j.route, j.progress, a.end, a.status, r.mayRepeat(j)) {
		case deliver:
			r.deliver(ctx, j, &a)
			return
		case again:
			continue
		case refuse:
			r.end(ctx, j, &a, fault(lacefault.NoServer, "server refused: "+a.reason, r.backoff(j)))
			return
		case fail:
			r.end(ctx, j, &a, r.failure(&a))
			return
		}
	}
}

// attempt sends a request to one server and passes a stream on.
func (r *Relay) attempt(ctx context.Context, j *job, d lacebalancer.Decision) attempt {
	inner, quiet, cancel := r.watch(ctx, j)
	defer cancel()
	started := time.Now()
	a := r.send(inner, j, d)
	if a.exchange != nil {
		r.stream(inner, j, &a, quiet)
	}
	r.settle(j, d, &a, started)
	return a
}

// place finds a server for the next attempt.
func (r *Relay) place(ctx context.Context, j *job) lacebalancer.Decision {
	now := time.Now()
	wait := longPatience
	if j.route.LatencyObjective > 0 {
		wait = min(wait, j.route.LatencyObjective/patience)
	}
	latest := now.Add(wait)
	if latest.After(j.deadline) {
		latest = j.deadline
	}
	prefix := j.call.Prefix
	if !j.route.PrefixAffinity {
		prefix = 0
	}
	d := r.options.Picker.Pick(ctx, lacebalancer.Request{
		Pool:          pool(j.service),
		Account:       j.account,
		Priority:      urgency(j.rank),
		Prefix:        prefix,
		Exclude:       j.tried,
		NonIdempotent: !repeatable(j.route),
		Deadline:      latest,
	})
	if d.Verdict == lacebalancer.Assigned {
		r.options.Log.Write(lacelog.Placed, lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P(lacelog.Backend, d.Server),
			lacelog.P(lacelog.Service, j.service), lacelog.P(lacelog.Number, j.progress.sends+1),
			lacelog.P(lacelog.Load, d.LoadEstimate), lacelog.P(lacelog.Age, d.ReportAge.Milliseconds()),
			lacelog.P("waited_ms", time.Since(now).Milliseconds()))
	}
	return d
}

// mostUrgent is the balancer's priority of rank 0.
const mostUrgent = laceunit.PriorityCritical

// urgency maps ranks, of which 0 is the first, to priorities, of which the highest is the first.
func urgency(rank int) laceunit.Priority {
	return max(mostUrgent-laceunit.Priority(max(rank, 0)), laceunit.PriorityDraft)
}

// unplaced returns what the caller of a request without a server hears.
func (r *Relay) unplaced(ctx context.Context, j *job, d lacebalancer.Decision) *lacefault.Fault {
	after := d.RetryAfter
	if after <= 0 {
		// The request has waited until its time was over, so that nothing is known of the time after.
		after = r.backoff(j)
	}
	f := fault(lacefault.Overloaded, "all servers are busy", after)
	switch d.Reason {
	case lacebalancer.NoServer:
		f = fault(lacefault.NoServer, "no server is in use", after)
	case lacebalancer.Paused:
		f.Message = "all servers have asked for a pause"
		r.options.Metrics.withheld(j, lacebalancer.BlockPaused.String(), "refused")
	case lacebalancer.RateLimited:
		f.Message = "all servers get as many requests as they have said they take"
		r.options.Metrics.withheld(j, lacebalancer.BlockRateLimited.String(), "refused")
	}
	if j.progress.ran {
		f.Outcome, f.Code = lacefault.Unknown, lacefault.ServerFailed
	}
	if ctx.Err() != nil && j.progress.ran {
		f.Code = lacefault.TimedOut
	}
	return f
}

// failure returns what the caller of a request hears that may have run.
func (r *Relay) failure(a *attempt) *lacefault.Fault {
	f := &lacefault.Fault{
		Outcome: lacefault.Unknown,
		Code:    lacefault.ServerFailed,
		Message: "server did not answer: " + a.reason,
	}
	if a.end == late {
		f.Code = lacefault.TimedOut
	}
	return f
}

// backoff is what a refused caller is told to wait before it comes back: a part of its objective, or the end of a pause
// of all servers.
func (r *Relay) backoff(j *job) time.Duration {
	return max(j.route.LatencyObjective/(2*patience), minBackoff, r.options.Picker.RetryAfter(j.service))
}

// minBackoff keeps callers from coming back before a busy server can have ended a request.
const minBackoff = 20 * time.Millisecond

// end answers a request that no server answered. A response that has begun stays without its end.
func (r *Relay) end(ctx context.Context, j *job, a *attempt, f *lacefault.Fault) {
	if a.end == left || ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		r.finish(j, 0, left.String())
		return
	}
	if !j.response.begun.IsZero() {
		r.finish(j, 0, strings.TrimSuffix("broken_off:"+a.end.String(), ":"))
		return
	}
	r.refuse(j, f)
}

// send sends a request to the server that was chosen and reads the answer, or the header when it is a stream.
func (r *Relay) send(ctx context.Context, j *job, d lacebalancer.Decision) attempt {
	a := attempt{server: d.Server}
	remaining := time.Until(j.deadline)
	pool, ok := r.options.Backends.Pool(d.Server)
	if !ok || remaining < lateWait {
		a.end, a.reason, a.spared = notSent, "server has gone or time is over", true
		return a
	}
	conn, err := pool.Get(ctx)
	if err != nil {
		a.end, a.reason = notSent, err.Error()
		a.spared = ctx.Err() != nil || errors.Is(err, laceconn.ErrFull) || errors.Is(err, laceconn.ErrClosed)
		r.withheld(j, d, &a)
		return a
	}
	if r.withheld(j, d, &a) {
		// Servers close connections that stay without a request, so that it is not kept for later.
		conn.Discard()
		return a
	}
	j.progress.sends++
	x, err := conn.Send(ctx, r.options.Codec.EncodeRequest(j.call, j.body, AttemptParams{
		Server:      d.Server,
		Account:     j.account,
		Timeout:     time.Until(j.deadline),
		Rank:        j.rank,
		LastEventID: j.last,
	}))
	if err != nil {
		r.unanswered(ctx, j, &a, err)
		return a
	}
	a.reply = r.options.Codec.DecodeReply(x.Response)
	a.status, a.header = x.Response.StatusCode, x.Response.Header
	r.heed(j, d, &a.reply)
	if a.reply.Attempt != j.call.Attempt && (a.reply.Attempt != "" || !x.Fresh) {
		x.Abort()
		a.end, a.reason = broken, "answer belongs to another request"
		return a
	}
	if j.route.Stream && a.status == http.StatusOK && a.reply.HasReceipt && j.response.goesOn(a.header) {
		a.exchange = x
		return a
	}
	r.collect(ctx, j, &a, x)
	return a
}

func (r *Relay) unanswered(ctx context.Context, j *job, a *attempt, err error) {
	a.reason = err.Error()
	if errors.Is(err, laceconn.ErrNotSent) {
		j.progress.sends--
		a.end, a.spared = notSent, ctx.Err() != nil
		return
	}
	a.end = interrupted(ctx)
}

// interrupted tells why an answer did not come to its end.
func interrupted(ctx context.Context) ending {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return silent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return late
	case ctx.Err() != nil:
		return left
	default:
		return broken
	}
}

// collect reads an answer that is passed on only when it is complete.
func (r *Relay) collect(ctx context.Context, j *job, a *attempt, x *laceconn.Exchange) {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, answerBytes+1))
	j.room.answered(len(body))
	if err == nil && len(body) > answerBytes {
		err = errors.New("answer is too long")
	}
	x.Finish(err == nil, a.reply.KeepAlive)
	switch {
	case err != nil:
		a.end, a.reason = interrupted(ctx), "answer was cut: "+err.Error()
	case a.reply.NotRun:
		a.end, a.reason = notRun, http.StatusText(a.status)
	case a.status < http.StatusMultipleChoices && !a.reply.HasReceipt:
		a.end, a.reason = broken, "success without a receipt"
	default:
		a.end, a.body = whole, body
	}
}

// settle notes how an attempt ended and tells the balancer.
func (r *Relay) settle(j *job, d lacebalancer.Decision, a *attempt, started time.Time) {
	took := time.Since(started)
	result := lacebalancer.Success
	switch a.end {
	case notSent:
		if !a.recalled {
			j.progress.misses++
		}
		result = lacebalancer.Unreachable
		if a.spared {
			result = lacebalancer.Neutral
		}
	case notRun:
		result = lacebalancer.Busy
	case broken, silent:
		result = lacebalancer.Failure
	case late:
		result = lacebalancer.Neutral
		if a.status == 0 {
			// The server has told nothing in all that time.
			result = lacebalancer.Failure
		}
	case left:
		result = lacebalancer.Neutral
	case whole:
		if a.status >= http.StatusInternalServerError {
			// Errors are usual answers of plain services; an engine that gives them is unwell.
			result = lacebalancer.Neutral
			if j.route.Stream {
				result = lacebalancer.Failure
			}
		}
	}
	if a.reply.Pause > 0 && a.status == http.StatusServiceUnavailable {
		// A pause is no failure, and the load that the server has is known from its end on.
		result = lacebalancer.Neutral
	}
	if a.end != notSent && a.end != notRun {
		j.progress.ran = true
	}
	j.tried = append(j.tried, d.Server)
	r.options.Picker.Done(d.Ticket, result, took)
	r.options.Metrics.attempted(j, a.end)
	r.options.Log.Write(lacelog.Attempt, lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P(lacelog.Backend, d.Server),
		lacelog.P(lacelog.Number, j.progress.sends), lacelog.P(lacelog.Outcome, a.end.String()),
		lacelog.P(lacelog.Status, a.status), lacelog.P(lacelog.Reason, a.reason), lacelog.P(lacelog.Took, took.Milliseconds()),
		lacelog.P(lacelog.Left, time.Until(j.deadline).Milliseconds()))
}

// deliver ends the response with what the server sent.
func (r *Relay) deliver(ctx context.Context, j *job, a *attempt) {
	pass := j.response.whole
	if a.exchange != nil {
		pass = j.response.finish
	}
	switch err := pass(a); {
	case errors.Is(err, errBegun):
		r.end(ctx, j, a, r.failure(a))
	case err != nil:
		r.finish(j, a.status, left.String())
	default:
		r.finish(j, a.status, "answered")
	}
}
