package lacetrace

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacerequest"
)

// maxInputs bounds the inputs kept of one request; a longer one is not recorded, because a cut trace proves nothing.
const maxInputs = 10000

// Recorder writes the traces of requests that ended, one after the other.
type Recorder struct {
	mu  sync.Mutex
	out io.Writer
}

// NewRecorder returns a recorder.
func NewRecorder(out io.Writer) *Recorder {
	return &Recorder{out: out}
}

// Begin starts the record of one request; a nil recorder records nothing.
func (r *Recorder) Begin(spec lacerequest.Spec) *Recording {
	if r == nil {
		return nil
	}
	return &Recording{
		recorder: r,
		trace:    Trace{Spec: spec},
	}
}

// Recording is the record of one request under way; the machine's owner uses it from one goroutine at a time.
type Recording struct {
	recorder *Recorder
	trace    Trace
}

// Add notes an input; a nil recording notes nothing.
func (r *Recording) Add(in lacerequest.Input) {
	if r != nil && len(r.trace.Inputs) <= maxInputs {
		r.trace.Inputs = append(r.trace.Inputs, in)
	}
}

// End writes the trace.
func (r *Recording) End() error {
	if r == nil || len(r.trace.Inputs) > maxInputs {
		return nil
	}
	var text bytes.Buffer
	if err := Encode(&text, r.trace); err != nil {
		return err
	}
	// One write for the whole trace, so that a file keeps whole traces whatever else appends to it.
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	_, err := r.recorder.out.Write(text.Bytes())
	return errors.Wrap(err, "trace")
}
