package lacerequest

import (
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// lookupRetryAfter is the Retry-After of faults with an unknown outcome. Within this time the background resolver
// normally looks up the request at the backend server again.
const lookupRetryAfter = 2 * time.Second

// isCurrent reports whether an input belongs to the current attempt and that attempt is active.
func (m *Machine) isCurrent(attempt laceunit.AttemptID) bool {
	return m.active && attempt == m.attempt
}

// handleChunk accepts the next chunk of the response; chunks of other attempts or out of order are dropped.
func (m *Machine) handleChunk(in Chunk) []Effect {
	if !m.isCurrent(in.Attempt) || in.Index != m.nextChunk {
		return nil
	}
	m.nextChunk++
	m.buffered = append(m.buffered, in.Text)
	return m.flush()
}

// flush emits the buffered chunks once the record is durable, and settles when the response is complete.
func (m *Machine) flush() []Effect {
	if m.record != recordDurable {
		return nil
	}
	var effects []Effect
	for _, t := range m.buffered {
		effects = append(effects, Emit{Text: t})
	}
	m.emitted += len(m.buffered)
	m.buffered = nil
	if m.ended == nil && m.response == nil && !m.responseLost {
		return effects
	}
	return append(effects, m.settle()...)
}

func (m *Machine) handleEnded(in Ended) []Effect {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	m.active = false
	m.ended = &in
	return m.flush()
}

func (m *Machine) handleReplied(in Replied) []Effect {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	m.active = false
	m.response = &in.Response
	return m.flush()
}

// cost returns the amount to bill; it never exceeds the ceiling.
func (m *Machine) cost() laceunit.Tokens {
	if m.ended != nil {
		return min(m.ended.Prompt+m.ended.Output, m.spec.Ceiling)
	}
	return min(m.spec.Price, m.spec.Ceiling)
}

// settle bills the response. The end of the response is sent only after that.
func (m *Machine) settle() []Effect {
	if m.settling {
		return nil
	}
	if m.alreadyBilled {
		return m.finish()
	}
	m.settling = true
	if m.offline {
		return []Effect{m.copyFinalRecord()}
	}
	return []Effect{Append{Record: laceledger.Settle{
		Budget:   m.spec.Budget,
		Request:  m.spec.Request,
		Attempt:  m.spec.LedgerAttempt,
		Tokens:   m.cost(),
		Response: m.storedResponse(),
	}}}
}

// copyFinalRecord returns the effect that writes the end of the run to the journal.
func (m *Machine) copyFinalRecord() Effect {
	entry := m.offlineRecord(m.cost(), true)
	entry.Response = m.storedResponse()
	return Copy{Entry: entry}
}

// storedResponse returns the response that the ledger stores: that of a non-idempotent request, if it is small enough.
func (m *Machine) storedResponse() *laceledger.Response {
	if m.spec.Idempotent || m.response == nil || len(m.response.Body) > laceledger.MaxResponseBytes {
		return nil
	}
	return m.response
}

func (m *Machine) handleBilled(in Billed) []Effect {
	if !m.settling {
		return nil
	}
	if in.Unacknowledged {
		// The settlement may be durable. Copying it to the journal as well is safe, since it is idempotent by request id.
		return []Effect{m.copyFinalRecord()}
	}
	switch in.Verdict.Result {
	case laceledger.Accepted, laceledger.Repeated:
		return m.finish()
	default:
		m.done = true
		return []Effect{
			m.release(0),
			Refuse{Fault: m.supersededFault()},
		}
	}
}

// handleFinalCopy handles the result of copying the journal entry that ends the run.
func (m *Machine) handleFinalCopy(in Copied) []Effect {
	if in.OK {
		return m.finish()
	}
	m.done = true
	entry := m.offlineRecord(m.cost(), true)
	entry.Response = m.storedResponse()
	return []Effect{
		m.resolve(entry),
		Refuse{Fault: &lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.OutcomeUnknown,
			Message:    "the request ran, but its settlement could not be made durable",
			RetryAfter: lookupRetryAfter,
		}},
	}
}

// finish ends a billed response. A caller that counts as disconnected may still be reading, so a truncated response
// must not end like a complete one.
func (m *Machine) finish() []Effect {
	m.done = true
	used := m.cost()
	if m.alreadyBilled {
		used = 0
	}
	effects := []Effect{m.release(used)}
	if m.response != nil {
		return append(effects, Reply{Response: *m.response})
	}
	if m.responseLost {
		return append(effects, Reply{Missing: true})
	}
	if m.truncated {
		return append(effects, Refuse{
			Fault:  m.correctOutcome(m.disconnectFault()),
			Output: m.ended.Output,
		})
	}
	return append(effects, Finish{
		Prompt: m.ended.Prompt,
		Output: m.ended.Output,
	})
}

// handleFailed handles an attempt that ended without a complete response.
func (m *Machine) handleFailed(in Failed) []Effect {
	if !m.isCurrent(in.Attempt) {
		return nil
	}
	m.active = false
	if !m.spec.Idempotent {
		return m.handleNonIdempotentFailure(in)
	}
	fault := m.serverFault()
	if m.emitted > 0 {
		// Another run may generate different text, so a response that was partly sent is resumed only at the same server.
		if in.Class == MayHaveRun && m.attempts < m.spec.MaxAttempts && !in.Final {
			return m.dispatch()
		}
		return m.abandon(fault)
	}
	if m.attempts >= m.spec.MaxAttempts || in.Final {
		return m.abandon(fault)
	}
	m.buffered, m.ended, m.response = nil, nil, nil
	m.excluded = append(m.excluded, m.server)
	return []Effect{Pick{
		Exclude: append([]laceunit.ServerID(nil), m.excluded...),
		Retry:   true,
	}}
}

// handleNonIdempotentFailure handles the failure of a request that must not run twice.
func (m *Machine) handleNonIdempotentFailure(in Failed) []Effect {
	if in.Class == NotRun {
		m.mayHaveRun = false
		m.voiding = true
		m.excluded = append(m.excluded, m.server)
		if m.offline {
			return m.endOfflineNotRun()
		}
		return []Effect{Append{Record: m.voidRecord()}}
	}
	if m.spec.CanLookup {
		return []Effect{Lookup{Server: m.server}}
	}
	return m.endUnknown()
}

// endOfflineNotRun ends an offline request that the backend server certainly did not run.
func (m *Machine) endOfflineNotRun() []Effect {
	m.done = true
	return []Effect{
		m.resolve(m.voidRecord()),
		Refuse{Fault: m.serverFault()},
	}
}

// handleVoided continues after the intent of a request that did not run was voided: with another server, or with a
// refusal.
func (m *Machine) handleVoided(in Voided) []Effect {
	if !m.voiding {
		return nil
	}
	m.voiding = false
	m.record = recordNone
	if in.Unacknowledged {
		m.done = true
		return []Effect{
			m.resolve(m.voidRecord()),
			Refuse{Fault: m.serverFault()},
		}
	}
	if m.attempts >= m.spec.MaxAttempts || m.disconnected {
		return m.refuse(m.serverFault())
	}
	m.spec.LedgerAttempt = m.spec.attemptID(m.attempts)
	return []Effect{Pick{
		Exclude: append([]laceunit.ServerID(nil), m.excluded...),
		Retry:   true,
	}}
}

// handleFound handles the lookup of a request whose response was lost. If the server does not know the request, the
// outcome stays unknown, since the request may still arrive.
func (m *Machine) handleFound(in Found) []Effect {
	if m.active || m.settling {
		return nil
	}
	if !in.Ran {
		return m.endUnknown()
	}
	m.responseLost = true
	return m.flush()
}

// endUnknown ends a request that may have run. Its intent stays open until the outcome is known.
func (m *Machine) endUnknown() []Effect {
	m.done = true
	record := laceledger.Record(laceledger.Settle{
		Budget:  m.spec.Budget,
		Request: m.spec.Request,
		Attempt: m.spec.LedgerAttempt,
		Tokens:  m.cost(),
	})
	if m.offline {
		record = m.offlineRecord(m.cost(), true)
	}
	m.holdsReservation = false
	return []Effect{
		Resolve{
			Record: record,
			Server: m.server,
		},
		Refuse{Fault: &lacefault.Fault{
			Outcome:    lacefault.Unknown,
			Code:       lacefault.OutcomeUnknown,
			Message:    "the backend server may have run the request",
			RetryAfter: lookupRetryAfter,
		}},
	}
}

func (m *Machine) serverFault() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       lacefault.BackendServerFailed,
		Message:    "the backend server gave no whole answer",
		RetryAfter: defaultRetryAfter,
	}
}
