package lacegateway

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// dispatch sends the request to the picked backend server.
func (d *driver) dispatch(e lacerequest.Dispatch) {
	if d.attempt != nil {
		d.attempt()
	}
	ctx, cancel := d.context(d.task.timeout)
	d.attempt = cancel
	ticket := d.ticket
	d.work(func() {
		defer cancel()
		if ticket.IsBlocked != nil && ticket.IsBlocked() {
			d.fail(e.Attempt, errHeld)
			return
		}
		if d.task.invocation != nil {
			d.invoke(ctx, ticket, e.Attempt)
			return
		}
		d.generate(ctx, ticket, e)
	})
}

// errHeld means that nothing was sent because the server has said since it was picked that it wants no requests.
var errHeld = &lacebackend.Error{
	Effect: lacebackend.EffectNone,
	Reason: lacebackend.ErrRefused,
}

// notice passes on what an answer says about the server of a ticket.
func (d *driver) notice(ticket PickResult) func(lacebackend.Notice) {
	return func(n lacebackend.Notice) {
		d.gateway.metrics.noticed(n)
		if ticket.OnNotice != nil {
			ticket.OnNotice(n)
		}
	}
}

// generate reads an engine's stream into the machine.
func (d *driver) generate(ctx context.Context, ticket PickResult, e lacerequest.Dispatch) {
	call := d.task.call
	call.RequestID = d.scoped()
	call.Attempt = e.Attempt
	call.FirstChunk = e.FirstChunk
	call.OnNotice = d.notice(ticket)
	stream, err := d.gateway.deps.Backend.Generate(ctx, ticket.Address, call)
	if err != nil {
		d.fail(e.Attempt, err)
		return
	}
	defer func() { _ = stream.Close() }()
	var ended *lacebackend.Chunk
	for {
		c, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF) && ended != nil:
			d.whole(e.Attempt, *ended)
			return
		case err != nil:
			d.fail(e.Attempt, err)
			return
		case c.End:
			ended = &c
		default:
			d.post(lacerequest.Chunk{
				Attempt: e.Attempt,
				Index:   c.Index,
				Text:    c.Text,
			})
		}
	}
}

// whole reports a whole answer of an engine.
func (d *driver) whole(attempt laceunit.AttemptID, end lacebackend.Chunk) {
	result := ResultSuccess
	if over := end.PromptTokens + end.OutputTokens - d.task.spec.Ceiling; over > 0 {
		// The charge stays at the ceiling; the rest is the operator's loss.
		d.gateway.metrics.overrun(over)
		result = ResultOverrun
	}
	d.send(message{
		input: lacerequest.Ended{
			Attempt: attempt,
			Prompt:  end.PromptTokens,
			Output:  end.OutputTokens,
		},
		accept: func() { d.finishTicket(result) },
	})
}

// invoke calls a plain service.
func (d *driver) invoke(ctx context.Context, ticket PickResult, attempt laceunit.AttemptID) {
	invocation := *d.task.invocation
	invocation.RequestID = d.scoped()
	invocation.Attempt = attempt
	invocation.OnNotice = d.notice(ticket)
	reply, err := d.gateway.deps.Backend.Invoke(ctx, ticket.Address, invocation)
	if err != nil {
		d.fail(attempt, err)
		return
	}
	d.send(message{
		input: lacerequest.Replied{
			Attempt: attempt,
			Response: laceledger.Response{
				Status:      reply.Status,
				ContentType: reply.Header.Get("Content-Type"),
				Body:        reply.Body,
			},
		},
		accept: func() {
			d.header = reply.Header
			d.finishTicket(ResultSuccess)
		},
	})
}

func (d *driver) fail(attempt laceunit.AttemptID, err error) {
	class := lacerequest.MayHaveRun
	if lacebackend.EffectOf(err) == lacebackend.EffectNone {
		class = lacerequest.NotRun
	}
	result := ResultFailure
	var failed *lacebackend.Error
	if errors.As(err, &failed) && (failed == errHeld || failed.Status == http.StatusServiceUnavailable && failed.RetryAfter > 0) {
		result = ResultUnavailable
	}
	d.gateway.metrics.attemptFailed(class)
	d.send(message{
		input: lacerequest.Failed{
			Attempt: attempt,
			Class:   class,
		},
		accept: func() { d.finishTicket(result) },
	})
}
