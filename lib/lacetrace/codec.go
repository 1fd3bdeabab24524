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

// ErrMalformed means that a trace can't be decoded.
var ErrMalformed = errors.New("trace: malformed")

// maxLineBytes is the maximum length of a line. The largest input is the response of a plain service: 8 MiB, of which
// each byte takes up to 6 bytes in JSON.
const maxLineBytes = 64 << 20

// Trace is the recorded spec and inputs of one request.
type Trace struct {
	Spec   lacerequest.Spec
	Inputs []lacerequest.Input
}

// Decoder reads a sequence of traces.
type Decoder struct {
	scanner *bufio.Scanner
	line    int
	// next is the spec of the next trace: its line ends the trace before it.
	next *wireSpec
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	d := &Decoder{scanner: bufio.NewScanner(r)}
	d.scanner.Buffer(nil, maxLineBytes)
	return d
}

// Next returns the next trace, or io.EOF after the last one. The file of a killed process may end in the middle of a
// line; its last trace is then reported as malformed.
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
			return t, errors.Wrapf(ErrMalformed, "line %d: input without a preceding spec", d.line)
		case d.next == nil:
			d.next = w.Spec
			continue
		case end || w.Spec != nil:
			t.Spec = d.next.toSpec()
			d.next = w.Spec
			if t.Spec.LedgerAttempt == "" {
				return t, errors.Wrapf(ErrMalformed,
					"line %d: the trace that ends here has no claim in its spec", d.line)
			}
			return t, nil
		}
		in, err := w.toInput()
		if err != nil {
			return t, errors.Wrapf(ErrMalformed, "line %d: %v", d.line, err)
		}
		t.Inputs = append(t.Inputs, in)
	}
}

// read returns the next non-empty line; end is true if there is none.
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

// Decode reads exactly one trace.
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
	if err := encoder.Encode(wireLine{Spec: newWireSpec(t.Spec)}); err != nil {
		return errors.Wrap(err, "trace")
	}
	for _, in := range t.Inputs {
		if err := encoder.Encode(newWireLine(in)); err != nil {
			return errors.Wrap(err, "trace")
		}
	}
	return nil
}

// toInput maps a line to an input.
func (w wireLine) toInput() (lacerequest.Input, error) {
	switch {
	case w.Picked != nil:
		return lacerequest.Picked{Server: laceunit.ServerID(w.Picked.Server)}, nil
	case w.Unpicked != nil:
		return lacerequest.Unpicked{Fault: w.Unpicked.toFault()}, nil
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
			Response: *w.Replied.toResponse(),
		}, nil
	case w.Failed != nil:
		return w.Failed.toInput()
	default:
		return w.toRecordInput()
	}
}

// toRecordInput maps the inputs about ledger records, copies, grants, lookups and disconnects.
func (w wireLine) toRecordInput() (lacerequest.Input, error) {
	switch {
	case w.Durable != nil:
		v, err := w.Durable.toVerdict()
		return lacerequest.Durable{
			Verdict:        v,
			Unacknowledged: w.Durable.Unacknowledged,
			NotAppended:    w.Durable.NotAppended,
		}, err
	case w.Billed != nil:
		v, err := w.Billed.toVerdict()
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
			Fault: w.Regranted.Fault.toFault(),
		}, nil
	case w.Found != nil:
		return lacerequest.Found{Ran: w.Found.OK}, nil
	case w.Gone != nil:
		return lacerequest.Gone{}, nil
	default:
		return nil, errors.New("no input")
	}
}

func (w *wireFailed) toInput() (lacerequest.Input, error) {
	f := lacerequest.Failed{
		Attempt: laceunit.AttemptID(w.Attempt),
		Final:   w.Final,
	}
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

func (w *wireVerdict) toVerdict() (laceledger.Verdict, error) {
	result, ok := resultNames().value(w.Result)
	if !ok {
		return laceledger.Verdict{}, errors.Errorf("unknown result %q", w.Result)
	}
	v := laceledger.Verdict{Result: result}
	if w.Existing == nil {
		return v, nil
	}
	phase, ok := phaseNames().value(w.Existing.Phase)
	if !ok {
		return v, errors.Errorf("unknown phase %q", w.Existing.Phase)
	}
	v.Existing = &laceledger.RequestState{
		Phase:    phase,
		Attempt:  laceunit.AttemptID(w.Existing.Attempt),
		Server:   laceunit.ServerID(w.Existing.Server),
		Response: w.Existing.Response.toResponse(),
	}
	return v, nil
}

func (w *wireResponse) toResponse() *laceledger.Response {
	if w == nil {
		return nil
	}
	return &laceledger.Response{
		Status:      w.Status,
		ContentType: w.ContentType,
		Body:        []byte(w.Body),
	}
}

func (w *wireFault) toFault() *lacefault.Fault {
	if w == nil {
		return nil
	}
	return &lacefault.Fault{
		Outcome: lacefault.Outcome(w.Outcome),
		Code:    lacefault.Code(w.Code),
		Message: w.Message,
	}
}

func (w *wireSpec) toSpec() lacerequest.Spec {
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
