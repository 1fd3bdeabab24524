package lacetrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// ErrTrace means that a trace can't be read.
var ErrMalformed = errors.New("trace: malformed")

// maxLine bounds a line; the largest input is the answer of a plain service, 8 MiB whose bytes take up to 6 each in
// JSON.
const maxLine = 64 << 20

// Trace is the record of one request.
type Trace struct {
	Spec   lacerequest.Spec
	Inputs []lacerequest.Input
}

// Decoder reads the traces of a text one after the other.
type Decoder struct {
	scanner *bufio.Scanner
	line    int
	// next is the spec line of the trace after the one that was read.
	next *wireSpec
}

// NewDecoder returns a decoder.
func NewDecoder(r io.Reader) *Decoder {
	d := &Decoder{scanner: bufio.NewScanner(r)}
	d.scanner.Buffer(nil, maxLine)
	return d
}

// Next returns the next trace, or io.EOF after the last one. The text of a killed process may end within a line; the
// trace is then reported as malformed like any other.
func (d *Decoder) Next() (Trace, error) {
	var t Trace
	for {
		w, end, err := d.read()
		switch {
		case err != nil:
			return t, err
		case d.next == nil && end:
			return t, io.EOF
		case d.next == nil && w.Spec == nil:
			return t, errors.Wrapf(ErrMalformed, "line %d: no spec line before it", d.line)
		case d.next == nil:
			d.next = w.Spec
			continue
		case end || w.Spec != nil:
			t.Spec = d.next.domain()
			d.next = w.Spec
			if t.Spec.LedgerAttempt == "" {
				return t, errors.Wrapf(ErrMalformed, "line %d: a spec without a claim ends here", d.line)
			}
			return t, nil
		}
		in, err := w.input()
		if err != nil {
			return t, errors.Wrapf(ErrMalformed, "line %d: %v", d.line, err)
		}
		t.Inputs = append(t.Inputs, in)
	}
}

// read returns the next line that is not empty; end is true after the last one.
func (d *Decoder) read() (w wireLine, end bool, err error) {
	for d.scanner.Scan() {
		d.line++
		text := bytes.TrimSpace(d.scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err = decoder.Decode(&w); err != nil {
			return w, false, errors.Wrapf(ErrMalformed, "line %d: %v", d.line, err)
		}
		return w, false, nil
	}
	if err = d.scanner.Err(); err != nil {
		return w, false, errors.Wrap(ErrMalformed, err.Error())
	}
	return w, true, nil
}

// Decode reads a text that holds exactly one trace.
func Decode(r io.Reader) (Trace, error) {
	d := NewDecoder(r)
	t, err := d.Next()
	if errors.Is(err, io.EOF) {
		return t, errors.Wrap(ErrMalformed, "no trace")
	}
	if err != nil {
		return t, err
	}
	if d.next != nil {
		return t, errors.Wrap(ErrMalformed, "more than one trace")
	}
	return t, nil
}

// Encode writes a trace.
func Encode(w io.Writer, t Trace) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(wireLine{Spec: specLine(t.Spec)}); err != nil {
		return errors.Wrap(err, "trace")
	}
	for _, in := range t.Inputs {
		if err := encoder.Encode(line(in)); err != nil {
			return errors.Wrap(err, "trace")
		}
	}
	return nil
}

func (w wireLine) input() (lacerequest.Input, error) {
	switch {
	case w.Picked != nil:
		return lacerequest.Picked{Server: laceunit.ServerID(w.Picked.Server)}, nil
	case w.Unpicked != nil:
		return lacerequest.Unpicked{Fault: w.Unpicked.domain()}, nil
	case w.Chunk != nil:
		return lacerequest.Chunk{
			Attempt: laceunit.AttemptID(w.Chunk.Attempt),
			Index:   w.Chunk.Index,
			Text:    w.Chunk.Text,
		}, nil
	case w.Ended != nil:
		return lacerequest.Ended{
			Attempt: laceunit.AttemptID(w.Ended.Attempt),
			Prompt:  laceunit.Tokens(w.Ended.Prompt),
			Output:  laceunit.Tokens(w.Ended.Output),
		}, nil
	case w.Replied != nil:
		return lacerequest.Replied{
			Attempt:  laceunit.AttemptID(w.Replied.Attempt),
			Response: *w.Replied.answer(),
		}, nil
	case w.Failed != nil:
		return w.Failed.input()
	default:
		return w.record()
	}
}

// record maps the inputs that tell of records, copies and lookups.
func (w wireLine) record() (lacerequest.Input, error) {
	switch {
	case w.Durable != nil:
		v, err := w.Durable.verdict()
		return lacerequest.Durable{
			Verdict:        v,
			Unacknowledged: w.Durable.Unacknowledged,
			NotAppended:    w.Durable.NotAppended,
		}, err
	case w.Billed != nil:
		v, err := w.Billed.verdict()
		return lacerequest.Billed{
			Verdict:        v,
			Unacknowledged: w.Billed.Unacknowledged,
		}, err
	case w.Voided != nil:
		return lacerequest.Voided{Unacknowledged: w.Voided.Unacknowledged}, nil
	case w.Copied != nil:
		return lacerequest.Copied{OK: w.Copied.OK}, nil
	case w.Regranted != nil:
		return lacerequest.Regranted{
			Grant: laceunit.GrantID(w.Regranted.Grant),
			Fault: w.Regranted.Fault.domain(),
		}, nil
	case w.Found != nil:
		return lacerequest.Found{Ran: w.Found.OK}, nil
	case w.Gone != nil:
		return lacerequest.Gone{}, nil
	default:
		return nil, errors.New("no input")
	}
}

func (w *wireFailed) input() (lacerequest.Input, error) {
	f := lacerequest.Failed{Attempt: laceunit.AttemptID(w.Attempt)}
	switch w.Ran {
	case "no":
		f.Class = lacerequest.NotRun
	case "maybe":
		f.Class = lacerequest.MayHaveRun
	default:
		return nil, errors.Errorf("failed.ran is %q, want no or maybe", w.Ran)
	}
	return f, nil
}

func (w *wireVerdict) verdict() (laceledger.Verdict, error) {
	result, ok := results().value(w.Result)
	if !ok {
		return laceledger.Verdict{}, errors.Errorf("unknown result %q", w.Result)
	}
	v := laceledger.Verdict{Result: result}
	if w.Existing == nil {
		return v, nil
	}
	phase, ok := phases().value(w.Existing.Phase)
	if !ok {
		return v, errors.Errorf("unknown phase %q", w.Existing.Phase)
	}
	v.Existing = &laceledger.RequestState{
		Phase:    phase,
		Attempt:  laceunit.AttemptID(w.Existing.Attempt),
		Server:   laceunit.ServerID(w.Existing.Server),
		Response: w.Existing.Response.answer(),
	}
	return v, nil
}

func (w *wireReplied) answer() *laceledger.Response {
	if w == nil {
		return nil
	}
	return &laceledger.Response{
		Status:      w.Status,
		ContentType: w.ContentType,
		Body:        []byte(w.Body),
	}
}

func (w *wireFault) domain() *lacefault.Fault {
	if w == nil {
		return nil
	}
	return &lacefault.Fault{
		Outcome: lacefault.Outcome(w.Outcome),
		Code:    lacefault.Code(w.Code),
		Message: w.Message,
	}
}

func (w *wireSpec) domain() lacerequest.Spec {
	return lacerequest.Spec{
		Request: laceledger.Request{
			Account: laceunit.AccountID(w.Account),
			ID:      laceunit.RequestID(w.Request),
		},
		Budget:        laceunit.BudgetID(w.Budget),
		Digest:        laceunit.Digest(w.Digest),
		LedgerAttempt: laceunit.AttemptID(w.LedgerAttempt),
		Grant:         laceunit.GrantID(w.Grant),
		Ceiling:       laceunit.Tokens(w.Ceiling),
		Prompt:        laceunit.Tokens(w.Prompt),
		Price:         laceunit.Tokens(w.Price),
		Idempotent:    w.Idempotent,
		Offline:       w.Offline,
		AlreadyBilled: w.AlreadyBilled,
		CanResume:     w.CanResume,
		CanLookup:     w.CanLookup,
		MaxAttempts:   w.MaxAttempts,
	}
}
