package lacerelay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelistener"
)

const (
	// maxEventBytes limits the size of one event of a stream, with the blank lines before it.
	maxEventBytes = 1 << 20
	// readBufferBytes is large enough for several events, so that events that arrive together are sent together.
	readBufferBytes = 8 << 10
)

// errTruncatedEvent means that a stream ended within an event.
var errTruncatedEvent = errors.New("relay: stream ended within an event")

// errEventTooLong means that an event is longer than any that a healthy server sends.
var errEventTooLong = errors.New("relay: event has no end")

// event is one server-sent event, including the blank line that ends it.
type event struct {
	raw []byte
	id  string
	// hasData is true when the event has a data field; events without one are comments or keep-alives.
	hasData bool
}

// eventReader reads the events of a stream. It charges large events to the holding of the request.
type eventReader struct {
	reader *bufio.Reader
	buffer lacelistener.Buffer
}

func newEventReader(r io.Reader, holding *lacelistener.Holding) *eventReader {
	return &eventReader{
		reader: bufio.NewReaderSize(r, readBufferBytes),
		buffer: lacelistener.NewBuffer(holding, lacelistener.Answer),
	}
}

// close returns the memory of the last event.
func (r *eventReader) close() { r.buffer.Close() }

// next returns the next event, which is valid until the following call; io.EOF means that the stream ended between two
// events.
func (r *eventReader) next() (event, error) {
	var e event
	skipped := 0
	r.buffer.Reset()
	for {
		line, err := r.reader.ReadSlice('\n')
		if memoryErr := r.buffer.Append(line); memoryErr != nil {
			return event{}, memoryErr
		}
		e.raw = r.buffer.Bytes()
		if skipped+len(e.raw) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				err = errTruncatedEvent
			}
			return event{}, err
		}
		start := bytes.LastIndexByte(e.raw[:len(e.raw)-1], '\n') + 1
		last := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(last) == 0 {
			if len(bytes.TrimSpace(e.raw)) == 0 {
				skipped += len(e.raw)
				r.buffer.Reset()
				continue
			}
			return e, nil
		}
		if id, ok := bytes.CutPrefix(last, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		e.hasData = e.hasData || bytes.HasPrefix(last, []byte("data"))
	}
}

// forwardStream forwards the events of a response as they arrive. It calls begun at the first one.
func (r *Relay) forwardStream(ctx context.Context, j *job, a *attempt, timer *stallTimer, begun func()) {
	events := newEventReader(a.exchange.Response.Body, j.holding)
	defer events.close()
	for {
		e, err := events.next()
		if err != nil {
			r.endStream(ctx, j, a, err)
			return
		}
		timer.reset()
		if !a.forwarded {
			r.options.Reach.heard(j.reach)
		}
		if a.firstEventAt.IsZero() {
			begun()
		}
		a.events++
		if a.recordProgress(time.Now()) && !a.forwarded {
			r.reportSuccess(j)
		}
		j.link.addReceived(len(e.raw))
		if e.id != "" && e.id == j.lastEventID {
			// A resumed stream may begin with the last event before the interruption.
			continue
		}
		if !r.bind(ctx, j, a.backend) {
			a.exchange.Abort()
			a.outcome, a.reason, a.neutral = attemptBroken, "the software version can't be recorded", true
			return
		}
		j.recordEvent(e)
		startedAt := j.response.startedAt
		err = j.response.writeEvent(a, e.raw, events.reader.Buffered() > 0)
		if startedAt.IsZero() && !j.response.startedAt.IsZero() {
			r.options.Metrics.observeFirstEvent(j, j.response.startedAt.Sub(j.arrived))
		}
		if err != nil {
			a.exchange.Abort()
			a.outcome, a.reason = attemptCallerGone, err.Error()
			switch {
			case errors.Is(err, errBufferFull):
				a.outcome, j.history.notResumable = attemptBroken, true
			case errors.Is(err, lacelistener.ErrShort):
				a.recordNoMemory()
			}
			return
		}
	}
}

// recordEvent records at which event another server would have to resume the stream.
func (j *job) recordEvent(e event) {
	switch {
	case e.id != "":
		j.lastEventID, j.history.notResumable = e.id, false
	case e.hasData:
		j.history.notResumable = true
	}
}

// endStream records the outcome of an attempt at the end of its stream.
func (r *Relay) endStream(ctx context.Context, j *job, a *attempt, cause error) {
	if errors.Is(cause, io.EOF) {
		a.exchange.Finish(true, a.reply.KeepAlive)
		a.outcome = attemptComplete
		return
	}
	// Events before a truncated one may not have been flushed yet. If the caller is gone, the next write fails.
	_ = j.response.flush()
	a.exchange.Abort()
	if errors.Is(cause, lacelistener.ErrShort) {
		a.recordNoMemory()
		return
	}
	a.outcome, a.reason = interruptionOutcome(ctx), cause.Error()
	a.connectionLost = !errors.Is(cause, errEventTooLong)
}
