package lacerequest

import (
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// lookupLater is the Retry-After of an unknown outcome: the background asks the backend server about this often.
const lookupLater = 2 * time.Second

func (m *Machine) current(attempt laceunit.AttemptID) bool {
	return m.live && attempt == m.attempt
}

// chunk accepts the next part of the answer; parts of other attempts or out of order are dropped.
func (m *Machine) chunk(in Chunk) []Effect {
	if !m.current(in.Attempt) || in.Index != m.next {
		return nil
	}
	m.next++
	m.held = append(m.held, in.Text)
	return m.flush()
}

// flush passes on what may leave, and settles when the answer is whole.
func (m *Machine) flush() []Effect {
	if m.record != recordDurable {
		return nil
	}
	var effects []Effect
	for _, t := range m.held {
		effects = append(effects, Emit{Text: t})
	}
	m.emitted += len(m.held)
	m.held = nil
	if m.ended == nil && m.reply == nil && !m.unanswered {
		return effects
	}
	return append(effects, m.settle()...)
}

func (m *Machine) end(in Ended) []Effect {
	if !m.current(in.Attempt) {
		return nil
	}
	m.live = false
	m.ended = &in
	return m.flush()
}

func (m *Machine) replied(in Replied) []Effect {
	if !m.current(in.Attempt) {
		return nil
	}
	m.live = false
	m.reply = &in.Response
	return m.flush()
}

// cost is what the request is billed; it never exceeds the ceiling.
func (m *Machine) cost() laceunit.Tokens {
	if m.ended != nil {
		return min(m.ended.Prompt+m.ended.Output, m.spec.Ceiling)
	}
	return min(m.spec.Price, m.spec.Ceiling)
}

// settle bills the answer before its end may leave.
func (m *Machine) settle() []Effect {
	if m.settling {
		return nil
	}
	if m.billed {
		return m.finish()
	}
	m.settling = true
	if m.offline {
		return []Effect{m.conclude()}
	}
	return []Effect{Append{Record: laceledger.Settle{
		Budget:   m.spec.Budget,
		Request:  m.spec.Request,
		Attempt:  m.spec.LedgerAttempt,
		Tokens:   m.cost(),
		Response: m.stored(),
	}}}
}

// conclude returns the effect that journals the end of the run.
func (m *Machine) conclude() Effect {
	entry := m.entry(m.cost(), true)
	entry.Response = m.stored()
	return Copy{Entry: entry}
}

// stored returns the answer that the ledger keeps: that of a call that is not idempotent, when it is small.
func (m *Machine) stored() *laceledger.Response {
	if m.spec.Idempotent || m.reply == nil || len(m.reply.Body) > laceledger.MaxResponseBytes {
		return nil
	}
	return m.reply
}

func (m *Machine) settled(in Billed) []Effect {
	if !m.settling {
		return nil
	}
	if in.Unacknowledged {
		// The settlement may be durable; a journal copy of it is idempotent by request id.
		return []Effect{m.conclude()}
	}
	switch in.Verdict.Result {
	case laceledger.Accepted, laceledger.Repeated:
		return m.finish()
	default:
		m.done = true
		return []Effect{
			m.release(0),
			Refuse{Fault: m.superseded()},
		}
	}
}

// concluded handles the acknowledgement of the journal entry that ends a run.
func (m *Machine) concluded(in Copied) []Effect {
	if in.OK {
		return m.finish()
	}
	m.done = true
	entry := m.entry(m.cost(), true)
	entry.Response = m.stored()
	return []Effect{
		m.resolve(entry),
		Refuse{Fault: &lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.OutcomeUnknown,
			Message:    "the request ran, but its settlement could not be made durable",
			RetryAfter: lookupLater,
		}},
	}
}

// finish gives the end of a billed answer. Callers that left may still read, so a part must not get the end of a whole.
func (m *Machine) finish() []Effect {
	m.done = true
	used := m.cost()
	if m.billed {
		used = 0
	}
	effects := []Effect{m.release(used)}
	if m.reply != nil {
		return append(effects, Reply{Response: *m.reply})
	}
	if m.unanswered {
		return append(effects, Reply{Missing: true})
	}
	if m.cut {
		return append(effects, Refuse{
			Fault:  m.correctOutcome(m.disconnected()),
			Output: m.ended.Output,
		})
	}
	return append(effects, Finish{
		Prompt: m.ended.Prompt,
		Output: m.ended.Output,
	})
}

// failed handles an attempt that gave no whole answer of its own.
func (m *Machine) failed(in Failed) []Effect {
	if !m.current(in.Attempt) {
		return nil
	}
	m.live = false
	if !m.spec.Idempotent {
		return m.failedOnce(in)
	}
	fault := m.serverFault()
	if m.emitted > 0 {
		// Another run may word the rest differently, so a begun answer is only resumed where it ran.
		if in.Class == MayHaveRun && m.attempts < m.spec.MaxAttempts {
			return m.dispatch()
		}
		return m.abandon(fault)
	}
	if m.attempts >= m.spec.MaxAttempts {
		return m.abandon(fault)
	}
	m.held, m.ended, m.reply = nil, nil, nil
	m.exclude = append(m.exclude, m.server)
	return []Effect{Pick{
		Exclude: append([]laceunit.ServerID(nil), m.exclude...),
		Retry:   true,
	}}
}

// failedOnce handles the failure of a call that may not be repeated.
func (m *Machine) failedOnce(in Failed) []Effect {
	if in.Class == NotRun {
		m.sent = false
		m.voiding = true
		m.exclude = append(m.exclude, m.server)
		if m.offline {
			return m.unsent()
		}
		return []Effect{Append{Record: m.void()}}
	}
	if m.spec.CanLookup {
		return []Effect{Lookup{Server: m.server}}
	}
	return m.unknown()
}

// unsent ends an offline call that the backend server certainly did not run.
func (m *Machine) unsent() []Effect {
	m.done = true
	return []Effect{
		m.resolve(m.void()),
		Refuse{Fault: m.serverFault()},
	}
}

// voided goes on after the intent of an unsent call was taken back: with another server, or with the refusal.
func (m *Machine) voided(in Voided) []Effect {
	if !m.voiding {
		return nil
	}
	m.voiding = false
	m.record = recordNone
	if in.Unacknowledged {
		m.done = true
		return []Effect{
			m.resolve(m.void()),
			Refuse{Fault: m.serverFault()},
		}
	}
	if m.attempts >= m.spec.MaxAttempts || m.gone {
		return m.refuse(m.serverFault())
	}
	m.spec.LedgerAttempt = m.spec.attempt(m.attempts)
	return []Effect{Pick{
		Exclude: append([]laceunit.ServerID(nil), m.exclude...),
		Retry:   true,
	}}
}

// found handles the backend server's word about a call whose answer was lost. Absence proves nothing: the call may
// still be on its way.
func (m *Machine) found(in Found) []Effect {
	if m.live || m.settling {
		return nil
	}
	if !in.Ran {
		return m.unknown()
	}
	m.unanswered = true
	return m.flush()
}

// unknown ends a call that may have run; its intent stays open until its outcome is known.
func (m *Machine) unknown() []Effect {
	m.done = true
	record := laceledger.Record(laceledger.Settle{
		Budget:  m.spec.Budget,
		Request: m.spec.Request,
		Attempt: m.spec.LedgerAttempt,
		Tokens:  m.cost(),
	})
	if m.offline {
		record = m.entry(m.cost(), true)
	}
	m.owned = false
	return []Effect{
		Resolve{
			Record: record,
			Server: m.server,
		},
		Refuse{Fault: &lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.OutcomeUnknown,
			Message:    "the backend server may have run the request",
			RetryAfter: lookupLater,
		}},
	}
}

func (m *Machine) serverFault() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       lacefault.ServerFailed,
		Message:    "the backend server gave no whole answer",
		RetryAfter: retryLater,
	}
}
