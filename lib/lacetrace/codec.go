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
var ErrTrace = errors.New("trace: malformed")

// maxLine bounds a line; the largest input is the answer of a plain service.
const maxLine = 8 << 20

// Trace is the record of one request.
type Trace struct {
	Spec   lacerequest.Spec
	Inputs []lacerequest.Input
}

// Decode reads a trace.
func Decode(r io.Reader) (Trace, error) {
	var t Trace
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for n := 1; scanner.Scan(); n++ {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		var w wireLine
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&w); err != nil {
			return t, errors.Wrapf(ErrTrace, "line %d: %v", n, err)
		}
		if w.Spec != nil {
			t.Spec = w.Spec.domain()
			continue
		}
		in, err := w.input()
		if err != nil {
			return t, errors.Wrapf(ErrTrace, "line %d: %v", n, err)
		}
		t.Inputs = append(t.Inputs, in)
	}
	if err := scanner.Err(); err != nil {
		return t, errors.Wrap(ErrTrace, err.Error())
	}
	if t.Spec.Claim == "" {
		return t, errors.Wrap(ErrTrace, "no spec line with a claim")
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
			Attempt: laceunit.AttemptID(w.Replied.Attempt),
			Answer:  *w.Replied.answer(),
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
			Verdict: v,
			Lost:    w.Durable.Lost,
			Certain: w.Durable.Certain,
		}, err
	case w.Billed != nil:
		v, err := w.Billed.verdict()
		return lacerequest.Billed{
			Verdict: v,
			Lost:    w.Billed.Lost,
		}, err
	case w.Voided != nil:
		return lacerequest.Voided{Lost: w.Voided.Lost}, nil
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
		f.Class = lacerequest.NotSent
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
	v.Existing = &laceledger.Existing{
		Phase:   phase,
		Attempt: laceunit.AttemptID(w.Existing.Attempt),
		Server:  laceunit.ServerID(w.Existing.Server),
		Answer:  w.Existing.Answer.answer(),
	}
	return v, nil
}

func (w *wireReplied) answer() *laceledger.Answer {
	if w == nil {
		return nil
	}
	return &laceledger.Answer{
		Status: w.Status,
		Type:   w.Type,
		Body:   []byte(w.Body),
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
		Budget:     laceunit.BudgetID(w.Budget),
		Digest:     laceunit.Digest(w.Digest),
		Claim:      laceunit.AttemptID(w.Claim),
		Grant:      laceunit.GrantID(w.Grant),
		Ceiling:    laceunit.Tokens(w.Ceiling),
		Prompt:     laceunit.Tokens(w.Prompt),
		Price:      laceunit.Tokens(w.Price),
		Idempotent: w.Idempotent,
		Offline:    w.Offline,
		Resume:     w.Resume,
		Lookup:     w.Lookup,
		Tries:      w.Tries,
	}
}
