package lacerequest

import (
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// defaultRetryAfter is the Retry-After of refusals whose cause ends within about one group commit or lease round.
const defaultRetryAfter = time.Second

// handleDurable handles the ledger's verdict on the intent or the takeover.
func (m *Machine) handleDurable(in Durable) []Effect {
	if m.record != recordPending {
		return nil
	}
	if in.Unacknowledged {
		return m.handleUnacknowledged(in.NotAppended)
	}
	switch in.Verdict.Result {
	case laceledger.Accepted, laceledger.Repeated:
		m.record = recordDurable
		if m.preferred != "" {
			return m.resumeOn(m.preferred)
		}
		return m.continueDurable()
	case laceledger.Duplicate:
		return m.handleDuplicate(in.Verdict.Existing)
	case laceledger.Closed, laceledger.InsufficientTokens:
		return m.regrant(in.Verdict.Result == laceledger.Closed)
	case laceledger.Conflict:
		m.record = recordNone
		return m.refuse(&lacefault.Fault{
			Outcome: lacefault.NotRun,
			Code:    lacefault.IDReused,
			Message: "the request id was used before with another body",
		})
	case laceledger.Superseded:
		m.record = recordNone
		return m.refuse(m.supersededFault())
	default:
		m.record = recordNone
		return m.refuse(&lacefault.Fault{
			Outcome: lacefault.NotRun,
			Code:    lacefault.BudgetSpent,
			Message: "the budget does not exist or has no tokens",
		})
	}
}

// continueDurable continues once the record is durable, so that the response may be sent.
func (m *Machine) continueDurable() []Effect {
	if !m.spec.Idempotent && !m.mayHaveRun {
		return m.dispatch()
	}
	return m.flush()
}

// handleUnacknowledged handles an intent or takeover that was not acknowledged. An idempotent request continues on the
// grant's offline allowance; a non-idempotent one has not been dispatched yet and is refused.
func (m *Machine) handleUnacknowledged(notAppended bool) []Effect {
	if m.spec.Idempotent && !m.offline {
		m.offline = true
		return []Effect{Copy{Entry: m.offlineRecord(m.spec.Ceiling, false)}}
	}
	m.record = recordNone
	fault := &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       lacefault.PlatformDown,
		Message:    "the intent could not be made durable",
		RetryAfter: defaultRetryAfter,
	}
	if notAppended {
		return m.refuse(fault)
	}
	// The intent may be durable. Until it is voided, the outcome that a retry gets is "unknown".
	m.done = true
	return append(m.abort(false), m.resolve(m.voidRecord()), Refuse{Fault: m.correctOutcome(fault)})
}

// handleDuplicate handles a request id that already exists in the ledger.
func (m *Machine) handleDuplicate(existing *laceledger.RequestState) []Effect {
	if !m.spec.Idempotent {
		return m.replyToDuplicate(existing)
	}
	if existing.Phase == laceledger.PhaseSettled {
		m.alreadyBilled = true
		m.record = recordDurable
		return m.resumeOn(existing.Server)
	}
	m.preferred = existing.Server
	return []Effect{Append{Record: laceledger.Takeover{
		Budget:  m.spec.Budget,
		Request: m.spec.Request,
		From:    existing.Attempt,
		Attempt: m.spec.LedgerAttempt,
		Grant:   m.spec.Grant,
		Server:  existing.Server,
	}}}
}

// resumeOn resumes the run at the server that an earlier attempt used.
func (m *Machine) resumeOn(server laceunit.ServerID) []Effect {
	if !m.spec.CanResume || server == "" || server == m.server || !m.active {
		return m.flush()
	}
	effects := m.abort(false)
	m.buffered = nil
	return append(effects, Pick{Prefer: server})
}

// replyToDuplicate answers a repeated non-idempotent request without running it again.
func (m *Machine) replyToDuplicate(existing *laceledger.RequestState) []Effect {
	m.done = true
	effects := []Effect{m.release(0)}
	if existing.Phase == laceledger.PhaseSettled {
		if existing.Response != nil {
			return append(effects, Reply{Response: *existing.Response})
		}
		return append(effects, Reply{Missing: true})
	}
	return append(effects, Refuse{Fault: &lacefault.Fault{
		Outcome:    lacefault.Unknown,
		Code:       lacefault.InProgress,
		Message:    "the request is running or its outcome is not known yet",
		RetryAfter: defaultRetryAfter,
	}})
}

// regrant replaces a grant that was closed during the request or has too few tokens in the ledger.
func (m *Machine) regrant(closed bool) []Effect {
	m.regrants++
	if m.regrants > maxRegrants {
		m.record = recordNone
		return m.refuse(m.grantClosedFault())
	}
	return []Effect{Regrant{
		Grant:  m.spec.Grant,
		Closed: closed,
	}}
}

func (m *Machine) handleRegranted(in Regranted) []Effect {
	if in.Fault != nil {
		m.record = recordNone
		return m.refuse(in.Fault)
	}
	m.spec.Grant = in.Grant
	return []Effect{m.recordIntent()}
}

// handleCopied handles the result of copying a journal entry, for the start or the end of a run.
func (m *Machine) handleCopied(in Copied) []Effect {
	if m.settling {
		return m.handleFinalCopy(in)
	}
	if m.record != recordPending {
		return nil
	}
	if in.OK {
		m.record = recordDurable
		return m.continueDurable()
	}
	m.record = recordNone
	m.done = true
	return append(m.abort(false),
		m.resolve(m.voidRecord()),
		Refuse{Fault: m.correctOutcome(&lacefault.Fault{
			Outcome:    lacefault.NotRun,
			Code:       lacefault.PlatformDown,
			Message:    "neither the platform nor another instance can be reached",
			RetryAfter: defaultRetryAfter,
		})})
}

func (m *Machine) supersededFault() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.Unknown,
		Code:       lacefault.InProgress,
		Message:    "another attempt of the same request has taken over",
		RetryAfter: defaultRetryAfter,
	}
}

func (m *Machine) grantClosedFault() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       lacefault.BudgetUnavailable,
		Message:    "the grant of this instance was closed",
		RetryAfter: defaultRetryAfter,
	}
}
