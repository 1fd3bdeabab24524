package lacetrace

import (
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacerequest"
)

// newWireSpec maps the spec of a request.
func newWireSpec(s lacerequest.Spec) *wireSpec {
	return &wireSpec{
		Account:       string(s.Request.Account),
		Request:       string(s.Request.ID),
		Budget:        string(s.Budget),
		Digest:        string(s.Digest),
		LedgerAttempt: string(s.LedgerAttempt),
		Grant:         string(s.Grant),
		Ceiling:       int64(s.Ceiling),
		Prompt:        int64(s.Prompt),
		Price:         int64(s.Price),
		Idempotent:    s.Idempotent,
		Offline:       s.Offline,
		AlreadyBilled: s.AlreadyBilled,
		CanResume:     s.CanResume,
		CanLookup:     s.CanLookup,
		MaxAttempts:   s.MaxAttempts,
	}
}

// newWireLine maps an input to a line.
func newWireLine(in lacerequest.Input) wireLine {
	switch in := in.(type) {
	case lacerequest.Picked:
		return wireLine{Picked: &wirePicked{Server: string(in.Server)}}
	case lacerequest.Unpicked:
		return wireLine{Unpicked: newWireFault(in.Fault)}
	case lacerequest.Chunk:
		return wireLine{Chunk: &wireChunk{
			Attempt: string(in.Attempt),
			Index:   in.Index,
			Text:    in.Text,
		}}
	case lacerequest.Ended:
		return wireLine{Ended: &wireEnded{
			Attempt: string(in.Attempt),
			Prompt:  int64(in.Prompt),
			Output:  int64(in.Output),
		}}
	case lacerequest.Replied:
		return wireLine{Replied: newWireResponse(&in.Response, string(in.Attempt))}
	case lacerequest.Failed:
		ran := "maybe"
		if in.Class == lacerequest.NotRun {
			ran = "no"
		}
		return wireLine{Failed: &wireFailed{
			Attempt: string(in.Attempt),
			Ran:     ran,
			Final:   in.Final,
		}}
	default:
		return newWireRecordLine(in)
	}
}

// newWireRecordLine maps the inputs about ledger records, copies, grants, lookups and disconnects.
func newWireRecordLine(in lacerequest.Input) wireLine {
	switch in := in.(type) {
	case lacerequest.Durable:
		w := newWireVerdict(in.Verdict)
		w.Unacknowledged, w.NotAppended = in.Unacknowledged, in.NotAppended
		return wireLine{Durable: w}
	case lacerequest.Billed:
		w := newWireVerdict(in.Verdict)
		w.Unacknowledged = in.Unacknowledged
		return wireLine{Billed: w}
	case lacerequest.Voided:
		return wireLine{Voided: &wireVerdict{Unacknowledged: in.Unacknowledged}}
	case lacerequest.Copied:
		return wireLine{Copied: &wireOK{OK: in.OK}}
	case lacerequest.Regranted:
		return wireLine{Regranted: &wireGrant{
			Grant: string(in.Grant),
			Fault: newWireFault(in.Fault),
		}}
	case lacerequest.Found:
		return wireLine{Found: &wireOK{OK: in.Ran}}
	default:
		return wireLine{Gone: &struct{}{}}
	}
}

func newWireVerdict(v laceledger.Verdict) *wireVerdict {
	w := &wireVerdict{Result: resultNames().name(v.Result)}
	if e := v.Existing; e != nil {
		w.Existing = &wireRequestState{
			Phase:    phaseNames().name(e.Phase),
			Attempt:  string(e.Attempt),
			Server:   string(e.Server),
			Response: newWireResponse(e.Response, ""),
		}
	}
	return w
}

func newWireResponse(r *laceledger.Response, attempt string) *wireResponse {
	if r == nil {
		return nil
	}
	return &wireResponse{
		Attempt:     attempt,
		Status:      r.Status,
		ContentType: r.ContentType,
		Body:        string(r.Body),
	}
}

func newWireFault(f *lacefault.Fault) *wireFault {
	if f == nil {
		return nil
	}
	return &wireFault{
		Outcome: string(f.Outcome),
		Code:    string(f.Code),
		Message: f.Message,
	}
}
