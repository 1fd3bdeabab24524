package lacetrace

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacerequest"
)

// maxInputs is the maximum number of inputs of a trace. A request with more is not recorded, because the replay of a
// truncated trace proves nothing.
const maxInputs = 10000

// Recorder writes the traces of ended requests to one output.
type Recorder struct {
	mu  sync.Mutex
	out io.Writer
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder {
	return &Recorder{out: out}
}

// Begin starts recording a request. A nil recorder records nothing.
func (r *Recorder) Begin(spec lacerequest.Spec) *Recording {
	if r == nil {
		return nil
	}
	return &Recording{
		recorder: r,
		trace:    Trace{Spec: spec},
	}
}

// Recording is the trace of a running request. It must be used from one goroutine at a time.
type Recording struct {
	recorder *Recorder
	trace    Trace
}

// Add records an input. A nil recording ignores it.
func (r *Recording) Add(in lacerequest.Input) {
	if r != nil && len(r.trace.Inputs) <= maxInputs {
		r.trace.Inputs = append(r.trace.Inputs, in)
	}
}

// End writes the trace to the recorder's output.
func (r *Recording) End() error {
	if r == nil || len(r.trace.Inputs) > maxInputs {
		return nil
	}
	var text bytes.Buffer
	if err := Encode(&text, r.trace); err != nil {
		return err
	}
	// The whole trace is one write, so that traces don't interleave with those of other processes that append to the file.
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	_, err := r.recorder.out.Write(text.Bytes())
	return errors.Wrap(err, "trace")
}
