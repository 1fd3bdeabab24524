package lacetrace

import (
	"fmt"
	"strings"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacerequest"
)

// Replay runs a trace through the request state machine and returns one line for each input, followed by its effects.
// ended reports whether the state machine has ended and holds no reservation, as after every recorded request.
func Replay(t Trace) (text string, ended bool) {
	var b strings.Builder
	m, effects := lacerequest.New(t.Spec)
	writeStep(&b, "start", effects)
	for _, in := range t.Inputs {
		writeStep(&b, strings.TrimPrefix(fmt.Sprintf("%T", in), "lacerequest."), m.Step(in))
	}
	fmt.Fprintf(&b, "done %v, reservation held %v\n", m.Done(), m.HoldsReservation())
	return b.String(), m.Done() && !m.HoldsReservation()
}

func writeStep(b *strings.Builder, title string, effects []lacerequest.Effect) {
	fmt.Fprintln(b, title)
	for _, e := range effects {
		fmt.Fprintln(b, "  "+describeEffect(e))
	}
}

// describeEffect formats an effect as in the golden files.
func describeEffect(e lacerequest.Effect) string {
	switch e := e.(type) {
	case lacerequest.Pick:
		return fmt.Sprintf("pick exclude=%v prefer=%s retry=%v", e.Exclude, e.Prefer, e.Retry)
	case lacerequest.Dispatch:
		return fmt.Sprintf("dispatch attempt=%s server=%s resume=%d", e.Attempt, e.Server, e.FirstChunk)
	case lacerequest.Abort:
		return fmt.Sprintf("abort attempt=%s server=%s", e.Attempt, e.Server)
	case lacerequest.Append:
		return "append " + describeRecord(e.Record)
	case lacerequest.Copy:
		return "copy " + describeRecord(e.Entry)
	case lacerequest.Regrant:
		return fmt.Sprintf("regrant %s closed=%v", e.Grant, e.Closed)
	case lacerequest.Lookup:
		return "lookup " + string(e.Server)
	case lacerequest.Emit:
		return fmt.Sprintf("emit %q", e.Text)
	case lacerequest.Reply:
		return fmt.Sprintf("reply status=%d body=%q missing=%v", e.Response.Status, e.Response.Body, e.Missing)
	case lacerequest.Finish:
		return fmt.Sprintf("finish prompt=%d output=%d", e.Prompt, e.Output)
	case lacerequest.Refuse:
		text := fmt.Sprintf("refuse outcome=%s code=%s", e.Fault.Outcome, e.Fault.Code)
		if e.Output > 0 {
			text += fmt.Sprintf(" output=%d", e.Output)
		}
		return text
	case lacerequest.Release:
		return fmt.Sprintf("release used=%d", e.Used)
	case lacerequest.Resolve:
		return fmt.Sprintf("resolve ask=%s %s", e.Server, describeRecord(e.Record))
	default:
		return fmt.Sprintf("%T", e)
	}
}

func describeRecord(r laceledger.Record) string {
	switch r := r.(type) {
	case laceledger.Intent:
		return fmt.Sprintf("intent attempt=%s grant=%s ceiling=%d server=%s", r.Attempt, r.Grant, r.Ceiling, r.Server)
	case laceledger.Takeover:
		return fmt.Sprintf("takeover from=%s attempt=%s server=%s", r.From, r.Attempt, r.Server)
	case laceledger.Settle:
		return fmt.Sprintf("settle attempt=%s tokens=%d answer=%v", r.Attempt, r.Tokens, r.Response != nil)
	case laceledger.Void:
		return "void attempt=" + string(r.Attempt)
	case laceledger.Offline:
		return fmt.Sprintf("offline attempt=%s tokens=%d finished=%v", r.Attempt, r.Tokens, r.Finished)
	default:
		return fmt.Sprintf("%T", r)
	}
}
