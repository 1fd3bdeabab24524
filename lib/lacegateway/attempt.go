package lacegateway

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// dispatch starts an attempt at the picked backend server.
func (d *driver) dispatch(e lacerequest.Dispatch) {
	if d.cancelAttempt != nil {
		d.cancelAttempt()
	}
	ctx, cancel := context.WithTimeout(d.gateway.attempts, d.task.timeout)
	d.cancelAttempt = cancel
	picked := d.pickResult
	d.runAsync(func() {
		defer cancel()
		if picked.IsBlocked != nil && picked.IsBlocked() {
			d.reportFailure(e.Attempt, errBlocked)
			return
		}
		if d.task.invocation != nil {
			d.invoke(ctx, picked, e.Attempt)
			return
		}
		d.generate(ctx, picked, e)
	})
}

// errBlocked means that nothing was sent, because the server has announced since it was picked that it accepts no
// requests.
var errBlocked = &lacebackend.Error{
	Effect: lacebackend.EffectNone,
	Reason: lacebackend.ErrRefused,
}

// noticeHandler returns a function that counts a notice of the picked server and passes it to the picker.
func (d *driver) noticeHandler(picked PickResult) func(lacebackend.Notice) {
	return func(n lacebackend.Notice) {
		d.gateway.metrics.noticeReceived(n)
		if picked.OnNotice != nil {
			picked.OnNotice(n)
		}
	}
}

// generate calls an engine and passes its response stream to the machine.
func (d *driver) generate(ctx context.Context, picked PickResult, e lacerequest.Dispatch) {
	call := d.task.call
	call.RequestID = d.backendRequest()
	call.Attempt = e.Attempt
	call.FirstChunk = e.FirstChunk
	call.OnNotice = d.noticeHandler(picked)
	call.Memory = d.task.holding.Detach()
	defer call.Memory.Close()
	stream, err := d.gateway.deps.Backend.Generate(ctx, picked.Address, call)
	if err != nil {
		d.reportFailure(e.Attempt, err)
		return
	}
	defer func() { _ = stream.Close() }()
	var end *lacebackend.Chunk
	for {
		c, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF) && end != nil:
			d.reportComplete(e.Attempt, *end)
			return
		case err != nil:
			d.reportFailure(e.Attempt, err)
			return
		case c.End:
			end = &c
		default:
			if err := d.sendChunk(e.Attempt, c); err != nil {
				d.reportFailure(e.Attempt, err)
				return
			}
		}
	}
}

// largeChunk is the size from which the text of a chunk is charged until it is written to the caller. Chunks have a few
// tokens, and those that wait take little then.
const largeChunk = 1 << 10

// sendChunk passes a chunk to the machine.
func (d *driver) sendChunk(attempt laceunit.AttemptID, c lacebackend.Chunk) error {
	m := message{input: lacerequest.Chunk{
		Attempt: attempt,
		Index:   c.Index,
		Text:    c.Text,
	}}
	if len(c.Text) > largeChunk {
		memory := d.task.holding.Detach()
		if err := memory.Charge(int64(len(c.Text)), lacelistener.Answer); err != nil {
			return errors.Wrap(lacebackend.ErrNoMemory, err.Error())
		}
		m.onAccept, m.onDiscard = func() { d.unsent = append(d.unsent, memory) }, memory.Close
	}
	d.send(m)
	return nil
}

// reportComplete reports that an engine's response is complete.
func (d *driver) reportComplete(attempt laceunit.AttemptID, end lacebackend.Chunk) {
	result := ResultSuccess
	if excess := end.PromptTokens + end.OutputTokens - d.task.spec.Ceiling; excess > 0 {
		// The caller is billed up to the ceiling; the operator bears the rest.
		d.gateway.metrics.addOverrunTokens(excess)
		result = ResultOverrun
	}
	d.send(message{
		input: lacerequest.Ended{
			Attempt: attempt,
			Prompt:  end.PromptTokens,
			Output:  end.OutputTokens,
		},
		onAccept: func() { d.reportResult(result) },
	})
}

// invoke calls a plain service.
func (d *driver) invoke(ctx context.Context, picked PickResult, attempt laceunit.AttemptID) {
	memory := d.task.holding.Detach()
	invocation := *d.task.invocation
	invocation.Memory = memory
	invocation.RequestID = d.backendRequest()
	invocation.Attempt = attempt
	invocation.OnNotice = d.noticeHandler(picked)
	reply, err := d.gateway.deps.Backend.Invoke(ctx, picked.Address, invocation)
	if err != nil {
		memory.Close()
		d.reportFailure(attempt, err)
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
		onAccept: func() {
			d.header = reply.Header
			d.replies = append(d.replies, memory)
			d.reportResult(ResultSuccess)
		},
		onDiscard: memory.Close,
	})
}

// reportFailure reports a failed attempt: whether it may have run, and whether it counts as a failure of the server.
func (d *driver) reportFailure(attempt laceunit.AttemptID, err error) {
	class := lacerequest.MayHaveRun
	if lacebackend.EffectOf(err) == lacebackend.EffectNone {
		class = lacerequest.NotRun
	}
	result := ResultFailure
	var fault *lacebackend.Error
	if errors.As(err, &fault) && (fault == errBlocked || fault.Status == http.StatusServiceUnavailable && fault.RetryAfter > 0) {
		result = ResultUnavailable
	}
	noMemory := errors.Is(err, lacebackend.ErrNoMemory)
	if noMemory {
		// The server is not to blame for what other responses hold.
		result = ResultCanceled
	}
	d.gateway.metrics.attemptFailed(class)
	d.send(message{
		input: lacerequest.Failed{
			Attempt: attempt,
			Class:   class,
			Final:   noMemory,
		},
		onAccept: func() { d.reportResult(result) },
	})
}
