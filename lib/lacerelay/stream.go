package lacerelay

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"github.com/pkg/errors"
)

const (
	// eventBytes bounds one event of a stream.
	eventBytes = 1 << 20
	// readerBytes holds several events, so that those that arrived together are written together.
	readerBytes = 8 << 10
)

// errEvent means that a stream ended within an event.
var errEvent = errors.New("relay: stream ended within an event")

// errEndless means that an event is longer than any sound server sends.
var errEndless = errors.New("relay: event has no end")

// event is one event of a stream with the blank line that ends it.
type event struct {
	text []byte
	id   string
	// data is true when the event has data, without which it is a comment or a mere sign of life.
	data bool
}

// readEvent returns the next event; io.EOF means that the stream ended between two.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		e.text = append(e.text, line...)
		if len(e.text) > eventBytes {
			return event{}, errEndless
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.text) > 0 {
				err = errEvent
			}
			return event{}, err
		}
		start := bytes.LastIndexByte(e.text[:len(e.text)-1], '\n') + 1
		last := bytes.TrimRight(e.text[start:], "\r\n")
		if len(last) == 0 {
			if len(bytes.TrimSpace(e.text)) == 0 {
				e.text = nil
				continue
			}
			return e, nil
		}
		if id, ok := bytes.CutPrefix(last, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		e.data = e.data || bytes.HasPrefix(last, []byte("data"))
	}
}

// stream passes the events of an answer on as they arrive.
func (r *Relay) stream(ctx context.Context, j *job, a *attempt, quiet *silence) {
	reader := bufio.NewReaderSize(a.exchange.Response.Body, readerBytes)
	for {
		e, err := readEvent(reader)
		if err != nil {
			r.streamEnd(ctx, j, a, err)
			return
		}
		quiet.progress()
		j.room.answered(len(e.text))
		if e.id != "" && e.id == j.last {
			// A resumed stream may begin with the event that is already there.
			continue
		}
		j.note(e)
		begun := j.response.begun
		err = j.response.event(a, e.text, reader.Buffered() > 0)
		if begun.IsZero() && !j.response.begun.IsZero() {
			r.options.Metrics.first(j, j.response.begun.Sub(j.arrived))
		}
		if err != nil {
			a.exchange.Abort()
			a.end, a.reason = left, err.Error()
			if errors.Is(err, errHeld) {
				a.end, j.progress.stuck = broken, true
			}
			return
		}
	}
}

// note remembers where another server would have to go on.
func (j *job) note(e event) {
	switch {
	case e.id != "":
		j.last, j.progress.stuck = e.id, false
	case e.data:
		j.progress.stuck = true
	}
}

// streamEnd notes how a stream ended.
func (r *Relay) streamEnd(ctx context.Context, j *job, a *attempt, cause error) {
	if errors.Is(cause, io.EOF) {
		a.exchange.Finish(true, a.reply.KeepAlive)
		a.end = whole
		return
	}
	// Events before a cut one have not been flushed yet. A caller that has gone shows with the next write.
	_ = j.response.flush()
	a.exchange.Abort()
	a.end, a.reason = interrupted(ctx), cause.Error()
}
