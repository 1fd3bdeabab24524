package lacerelay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

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
	}
}

// stream passes the events of an answer on as they arrive. It reports whether the request goes on at another server.
func (r *Relay) stream(ctx context.Context, w http.ResponseWriter, j *job, a *attempt, quiet *silence) bool {
	reader := bufio.NewReaderSize(a.exchange.Response.Body, readerBytes)
	flusher := http.NewResponseController(w)
	for {
		e, err := readEvent(reader)
		if err != nil {
			if !j.first.IsZero() {
				// Events before a cut one have not been flushed yet. A caller that has gone shows with the next write.
				_ = flusher.Flush()
			}
			return r.streamEnd(ctx, w, j, a, err)
		}
		quiet.progress()
		if j.first.IsZero() {
			r.begin(w, j, a)
		}
		if e.id != "" {
			if e.id == j.last {
				// A resumed stream may begin with the event that is already there.
				continue
			}
			j.last = e.id
		}
		j.events++
		if _, err = w.Write(e.text); err == nil && reader.Buffered() == 0 {
			err = flusher.Flush()
		}
		if err != nil {
			a.exchange.Abort()
			a.end, a.reason = left, err.Error()
			r.finish(j, a.status, left.String())
			return false
		}
	}
}

// begin writes the header of the first server, which stays when the stream is resumed.
func (r *Relay) begin(w http.ResponseWriter, j *job, a *attempt) {
	j.first = time.Now()
	r.options.Codec.Answer(w.Header(), a.header, j.call)
	w.WriteHeader(a.status)
	r.options.Metrics.first(j, j.first.Sub(j.arrived))
}

// streamEnd ends the answer, or prepares to resume it.
func (r *Relay) streamEnd(ctx context.Context, w http.ResponseWriter, j *job, a *attempt, cause error) bool {
	j.progress.ran = true
	if errors.Is(cause, io.EOF) {
		a.exchange.Finish(true, a.reply.Idle)
		a.end = whole
		if j.first.IsZero() {
			r.begin(w, j, a)
		}
		r.finish(j, a.status, "answered")
		return false
	}
	a.exchange.Abort()
	a.end, a.reason = interrupted(ctx), cause.Error()
	if decide(j.route, j.progress, a.end, a.status, r.mayRepeat(j)) == again {
		return true
	}
	r.endStream(ctx, w, j, a)
	return false
}

func (r *Relay) endStream(ctx context.Context, w http.ResponseWriter, j *job, a *attempt) {
	if a.end == left || !j.first.IsZero() {
		r.finish(j, 0, "broken_off:"+a.end.String())
		// The connection closes without the end of the answer, so that a cut stream can't be taken for a whole one.
		a.abort = true
		return
	}
	r.end(ctx, w, j, r.failure(a))
}
