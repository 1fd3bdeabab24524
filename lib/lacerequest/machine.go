package lacerequest

import (
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// recordState is the state of the record that must be durable before the answer may leave.
type recordState uint8

const (
	// recordNone means that no record has been asked for.
	recordNone recordState = iota
	// recordPending means that an intent, a takeover or a copy is under way.
	recordPending
	// recordDurable means that the answer may leave.
	recordDurable
)

// maxRegrants bounds how often a closed grant is replaced; a second loss within one request means that this instance
// is being fenced off.
const maxRegrants = 2

// Machine is the state of one request; its zero value is not usable, see New.
type Machine struct {
	spec Spec

	record  recordState
	offline bool
	// billed is true when an earlier attempt has already been settled; this one is free.
	billed bool
	// settling is true while a settlement is under way.
	settling bool
	// voiding is true while a Void is under way before a further try.
	voiding bool
	gone    bool
	done    bool
	// owned is true while the machine holds the reservation.
	owned bool

	server   laceunit.ServerID
	prefer   laceunit.ServerID
	exclude  []laceunit.ServerID
	attempt  laceunit.AttemptID
	attempts int
	regrants int
	// sent is true when a backend server may have started the request.
	sent bool
	// live is true while the current attempt may still bring input.
	live bool

	next    int
	emitted int
	held    []string
	ended   *Ended
	// cut is true when ended is not the server's end but that of a caller that left.
	cut   bool
	reply *laceledger.Response
	// unanswered is true when a plain service ran the call and its answer did not arrive.
	unanswered bool
}

// New returns the machine of a request and its first effects.
func New(spec Spec) (*Machine, []Effect) {
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = DefaultMaxAttempts
	}
	m := &Machine{
		spec:    spec,
		offline: spec.Offline,
		owned:   true,
		billed:  spec.AlreadyBilled,
	}
	if m.billed {
		m.record = recordDurable
	}
	return m, []Effect{Pick{}}
}

// Done reports whether the final answer has been given.
func (m *Machine) Done() bool {
	return m.done
}

// Step applies an input and returns what has to be done.
func (m *Machine) Step(in Input) []Effect {
	if m.done {
		return m.late(in)
	}
	switch in := in.(type) {
	case Picked:
		return m.picked(in)
	case Unpicked:
		return m.unpicked(in)
	case Durable:
		return m.durable(in)
	case Copied:
		return m.copied(in)
	case Regranted:
		return m.regranted(in)
	case Chunk:
		return m.chunk(in)
	case Ended:
		return m.end(in)
	case Replied:
		return m.replied(in)
	case Failed:
		return m.failed(in)
	case Billed:
		return m.settled(in)
	case Voided:
		return m.voided(in)
	case Found:
		return m.found(in)
	case Gone:
		return m.leave()
	default:
		return nil
	}
}

// Owned reports whether the machine still holds the reservation: the caller has its answer, but the fate of a record
// is not known yet and further input is needed.
func (m *Machine) HoldsReservation() bool {
	return m.owned
}

func (m *Machine) release(used laceunit.Tokens) Effect {
	m.owned = false
	return Release{Used: used}
}

func (m *Machine) resolve(record laceledger.Record) Effect {
	m.owned = false
	return Resolve{Record: record}
}

// late handles what arrives after the final answer: a record that turned out durable must not stay open.
func (m *Machine) late(in Input) []Effect {
	if !m.owned {
		return nil
	}
	switch in := in.(type) {
	case Durable:
		if in.Unacknowledged && !in.NotAppended || in.Verdict.Result == laceledger.Accepted {
			return []Effect{m.resolve(m.void())}
		}
		return []Effect{m.release(0)}
	case Copied:
		return []Effect{m.resolve(m.void())}
	case Regranted:
		return []Effect{m.release(0)}
	default:
		return nil
	}
}

func (m *Machine) picked(in Picked) []Effect {
	m.server = in.Server
	if m.record != recordNone {
		return m.dispatch()
	}
	m.record = recordPending
	effects := []Effect{m.declare()}
	if m.spec.Idempotent {
		effects = append(effects, m.dispatch()...)
	}
	return effects
}

// declare returns the effect that makes the intent durable or, without the platform, copied.
func (m *Machine) declare() Effect {
	if m.offline {
		return Copy{Entry: m.entry(m.spec.Ceiling, false)}
	}
	return Append{Record: laceledger.Intent{
		Budget:     m.spec.Budget,
		Request:    m.spec.Request,
		Digest:     m.spec.Digest,
		Grant:      m.spec.Grant,
		Ceiling:    m.spec.Ceiling,
		Attempt:    m.spec.LedgerAttempt,
		Server:     m.server,
		Idempotent: m.spec.Idempotent,
	}}
}

func (m *Machine) dispatch() []Effect {
	m.attempts++
	m.attempt = m.spec.attempt(m.attempts)
	m.sent, m.live = true, true
	m.held, m.ended, m.reply = nil, nil, nil
	m.next = m.emitted
	return []Effect{Dispatch{
		Attempt:    m.attempt,
		Server:     m.server,
		FirstChunk: m.emitted,
	}}
}

func (m *Machine) unpicked(in Unpicked) []Effect {
	fault := *in.Fault
	if m.record != recordNone {
		return m.abandon(&fault)
	}
	return m.refuse(&fault)
}

// abort cancels the current attempt.
func (m *Machine) abort(keep bool) []Effect {
	if !m.live {
		return nil
	}
	m.live = false
	return []Effect{Abort{
		Attempt:     m.attempt,
		Server:      m.server,
		KeepRunning: keep,
	}}
}

// refuse ends a request that holds no durable record.
func (m *Machine) refuse(fault *lacefault.Fault) []Effect {
	effects := m.abort(false)
	m.done = true
	return append(effects, m.release(0), Refuse{Fault: m.correctOutcome(fault)})
}

// abandon ends a request whose record may be durable: it is voided, because nobody has a whole answer.
func (m *Machine) abandon(fault *lacefault.Fault) []Effect {
	effects := m.abort(false)
	m.done = true
	switch {
	case m.record == recordPending:
		// The reservation is kept until late sees what became of the record.
	case m.billed:
		effects = append(effects, m.release(0))
	default:
		effects = append(effects, m.resolve(m.void()))
	}
	return append(effects, Refuse{Fault: m.correctOutcome(fault)})
}

// correctOutcome corrects the outcome of a fault: once a backend server may have started the request, "not run" is no longer
// certain.
func (m *Machine) correctOutcome(fault *lacefault.Fault) *lacefault.Fault {
	f := *fault
	if m.sent && f.Outcome == lacefault.NotRun {
		f.Outcome = lacefault.Unknown
	}
	return &f
}

func (m *Machine) void() laceledger.Void {
	return laceledger.Void{
		Budget:     m.spec.Budget,
		Request:    m.spec.Request,
		Attempt:    m.spec.LedgerAttempt,
		Digest:     m.spec.Digest,
		Idempotent: m.spec.Idempotent,
	}
}

func (m *Machine) entry(tokens laceunit.Tokens, finished bool) laceledger.Offline {
	return laceledger.Offline{
		Budget:     m.spec.Budget,
		Request:    m.spec.Request,
		Digest:     m.spec.Digest,
		Grant:      m.spec.Grant,
		Attempt:    m.spec.LedgerAttempt,
		Server:     m.server,
		Tokens:     tokens,
		Idempotent: m.spec.Idempotent,
		Finished:   finished,
	}
}

// leave handles a caller that has disconnected. A call that is not idempotent goes on: its id can be asked about later.
func (m *Machine) leave() []Effect {
	m.gone = true
	if !m.spec.Idempotent || m.settling {
		return nil
	}
	if m.record != recordDurable {
		return m.abandon(m.disconnected())
	}
	if m.billed || m.emitted == 0 {
		return m.abandon(m.disconnected())
	}
	// The caller has received part of the answer and has left: it is billed for that part.
	effects := m.abort(false)
	m.cut = true
	m.ended = &Ended{
		Attempt: m.attempt,
		Prompt:  m.spec.Prompt,
		Output:  laceunit.Tokens(m.emitted),
	}
	return append(effects, m.settle()...)
}

func (m *Machine) disconnected() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome: lacefault.NotRun,
		Code:    lacefault.BadRequest,
		Message: "the caller disconnected before the end of the answer",
	}
}
