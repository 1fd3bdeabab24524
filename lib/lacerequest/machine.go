package lacerequest

import (
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// recordState is the state of the record that must be durable before any part of the response is sent.
type recordState uint8

const (
	// recordNone means that no record is in progress or durable.
	recordNone recordState = iota
	// recordPending means that an intent, a takeover or a copy is in progress.
	recordPending
	// recordDurable means that the response may be sent.
	recordDurable
)

// maxRegrants is the maximum number of times that a grant is replaced within one request. A second loss of the grant
// means that this instance is being fenced off.
const maxRegrants = 2

// Machine is the state machine of one request. The zero value is not usable; use New.
type Machine struct {
	spec Spec

	record  recordState
	offline bool
	// alreadyBilled is true if an earlier attempt has been settled; this one is free.
	alreadyBilled bool
	// settling is true while a settlement is in progress.
	settling bool
	// voiding is true while a Void is in progress, before another attempt.
	voiding      bool
	disconnected bool
	done         bool
	// holdsReservation is true until the reservation is released or passed to the background resolver.
	holdsReservation bool

	server    laceunit.ServerID
	preferred laceunit.ServerID
	excluded  []laceunit.ServerID
	attempt   laceunit.AttemptID
	attempts  int
	regrants  int
	// mayHaveRun is true if a backend server may have started the request.
	mayHaveRun bool
	// active is true while the current attempt may still deliver input.
	active bool

	nextChunk int
	emitted   int
	buffered  []string
	ended     *Ended
	// truncated is true if the caller disconnected: ended then describes the part that was sent, not the server's end.
	truncated bool
	response  *laceledger.Response
	// responseLost is true if a plain service ran the request, but its response was not received.
	responseLost bool
}

// New returns the state machine of a request and its first effects.
func New(spec Spec) (*Machine, []Effect) {
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = DefaultMaxAttempts
	}
	m := &Machine{
		spec:             spec,
		offline:          spec.Offline,
		holdsReservation: true,
		alreadyBilled:    spec.AlreadyBilled,
	}
	if m.alreadyBilled {
		m.record = recordDurable
	}
	return m, []Effect{Pick{}}
}

// Done reports whether the final response has been sent.
func (m *Machine) Done() bool {
	return m.done
}

// Step applies an input and returns the effects to perform.
func (m *Machine) Step(in Input) []Effect {
	if m.done {
		return m.handleLate(in)
	}
	switch in := in.(type) {
	case Picked:
		return m.handlePicked(in)
	case Unpicked:
		return m.handleUnpicked(in)
	case Durable:
		return m.handleDurable(in)
	case Copied:
		return m.handleCopied(in)
	case Regranted:
		return m.handleRegranted(in)
	case Chunk:
		return m.handleChunk(in)
	case Ended:
		return m.handleEnded(in)
	case Replied:
		return m.handleReplied(in)
	case Failed:
		return m.handleFailed(in)
	case Billed:
		return m.handleBilled(in)
	case Voided:
		return m.handleVoided(in)
	case Found:
		return m.handleFound(in)
	case Gone:
		return m.handleGone()
	default:
		return nil
	}
}

// HoldsReservation reports whether the machine still holds the reservation. If it does when Done is true, the caller
// has the final response, but the outcome of a record is not known yet and the machine needs further input.
func (m *Machine) HoldsReservation() bool {
	return m.holdsReservation
}

func (m *Machine) release(used laceunit.Tokens) Effect {
	m.holdsReservation = false
	return Release{Used: used}
}

// resolve passes a record and the reservation to the background resolver.
func (m *Machine) resolve(record laceledger.Record) Effect {
	m.holdsReservation = false
	return Resolve{Record: record}
}

// handleLate handles inputs after the final response: a record that became durable must not stay open.
func (m *Machine) handleLate(in Input) []Effect {
	if !m.holdsReservation {
		return nil
	}
	switch in := in.(type) {
	case Durable:
		if in.Unacknowledged && !in.NotAppended || in.Verdict.Result == laceledger.Accepted {
			return []Effect{m.resolve(m.voidRecord())}
		}
		return []Effect{m.release(0)}
	case Copied:
		return []Effect{m.resolve(m.voidRecord())}
	case Regranted:
		return []Effect{m.release(0)}
	default:
		return nil
	}
}

func (m *Machine) handlePicked(in Picked) []Effect {
	m.server = in.Server
	if m.record != recordNone {
		return m.dispatch()
	}
	m.record = recordPending
	effects := []Effect{m.recordIntent()}
	if m.spec.Idempotent {
		effects = append(effects, m.dispatch()...)
	}
	return effects
}

// recordIntent returns the effect that appends the intent to the ledger or, if offline, copies it to another instance.
func (m *Machine) recordIntent() Effect {
	if m.offline {
		return Copy{Entry: m.offlineRecord(m.spec.Ceiling, false)}
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

// dispatch starts a new attempt at the current server, from the first chunk that was not sent to the caller.
func (m *Machine) dispatch() []Effect {
	m.attempts++
	m.attempt = m.spec.attemptID(m.attempts)
	m.mayHaveRun, m.active = true, true
	m.buffered, m.ended, m.response = nil, nil, nil
	m.nextChunk = m.emitted
	return []Effect{Dispatch{
		Attempt:    m.attempt,
		Server:     m.server,
		FirstChunk: m.emitted,
	}}
}

func (m *Machine) handleUnpicked(in Unpicked) []Effect {
	fault := *in.Fault
	if m.record != recordNone {
		return m.abandon(&fault)
	}
	return m.refuse(&fault)
}

// abort cancels the current attempt.
func (m *Machine) abort(keepRunning bool) []Effect {
	if !m.active {
		return nil
	}
	m.active = false
	return []Effect{Abort{
		Attempt:     m.attempt,
		Server:      m.server,
		KeepRunning: keepRunning,
	}}
}

// refuse ends a request that has no durable record.
func (m *Machine) refuse(fault *lacefault.Fault) []Effect {
	effects := m.abort(false)
	m.done = true
	return append(effects, m.release(0), Refuse{Fault: m.correctOutcome(fault)})
}

// abandon ends a request whose record may be durable. The record is voided, since no complete response was sent.
func (m *Machine) abandon(fault *lacefault.Fault) []Effect {
	effects := m.abort(false)
	m.done = true
	switch {
	case m.record == recordPending:
		// The reservation is held until handleLate gets the outcome of the record.
	case m.alreadyBilled:
		effects = append(effects, m.release(0))
	default:
		effects = append(effects, m.resolve(m.voidRecord()))
	}
	return append(effects, Refuse{Fault: m.correctOutcome(fault)})
}

// correctOutcome changes the outcome of a fault from "not run" to "unknown" if a backend server may have started the
// request.
func (m *Machine) correctOutcome(fault *lacefault.Fault) *lacefault.Fault {
	f := *fault
	if m.mayHaveRun && f.Outcome == lacefault.NotRun {
		f.Outcome = lacefault.Unknown
	}
	return &f
}

func (m *Machine) voidRecord() laceledger.Void {
	return laceledger.Void{
		Budget:     m.spec.Budget,
		Request:    m.spec.Request,
		Attempt:    m.spec.LedgerAttempt,
		Digest:     m.spec.Digest,
		Idempotent: m.spec.Idempotent,
	}
}

func (m *Machine) offlineRecord(tokens laceunit.Tokens, finished bool) laceledger.Offline {
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

// handleGone handles the disconnect of the caller. A non-idempotent request continues, since its outcome can be queried
// by its id later.
func (m *Machine) handleGone() []Effect {
	m.disconnected = true
	if !m.spec.Idempotent || m.settling {
		return nil
	}
	if m.record != recordDurable {
		return m.abandon(m.disconnectFault())
	}
	if m.alreadyBilled || m.emitted == 0 {
		return m.abandon(m.disconnectFault())
	}
	// The caller is billed for the part of the response that it has received.
	effects := m.abort(false)
	m.truncated = true
	m.ended = &Ended{
		Attempt: m.attempt,
		Prompt:  m.spec.Prompt,
		Output:  laceunit.Tokens(m.emitted),
	}
	return append(effects, m.settle()...)
}

func (m *Machine) disconnectFault() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome: lacefault.NotRun,
		Code:    lacefault.BadRequest,
		Message: "the caller disconnected before the end of the answer",
	}
}
