package lacerequest

import (
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// retryLater is the Retry-After of refusals whose cause passes within about one group commit or lease round.
const retryLater = time.Second

// durable handles the ledger's verdict on the intent or the takeover.
func (m *Machine) durable(in Durable) []Effect {
	if m.record != recordPending {
		return nil
	}
	if in.Unacknowledged {
		return m.lost(in.NotAppended)
	}
	switch in.Verdict.Result {
	case laceledger.Accepted, laceledger.Repeated:
		m.record = recordDurable
		if m.prefer != "" {
			return m.move(m.prefer)
		}
		return m.onDurable()
	case laceledger.Duplicate:
		return m.duplicate(in.Verdict.Existing)
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
		return m.refuse(m.superseded())
	default:
		m.record = recordNone
		return m.refuse(&lacefault.Fault{
			Outcome: lacefault.NotRun,
			Code:    lacefault.BudgetSpent,
			Message: "the budget does not exist or has no tokens",
		})
	}
}

// onDurable goes on once the answer may leave.
func (m *Machine) onDurable() []Effect {
	if !m.spec.Idempotent && !m.sent {
		return m.dispatch()
	}
	return m.flush()
}

// lost handles an intent that was not acknowledged. Idempotent work goes on from the offline part of the grant; other
// work was not sent yet and is refused.
func (m *Machine) lost(certain bool) []Effect {
	if m.spec.Idempotent && !m.offline {
		m.offline = true
		return []Effect{Copy{Entry: m.entry(m.spec.Ceiling, false)}}
	}
	m.record = recordNone
	fault := &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       lacefault.PlatformDown,
		Message:    "the intent could not be made durable",
		RetryAfter: retryLater,
	}
	if certain {
		return m.refuse(fault)
	}
	// The intent may be durable: until it is voided, a retry is told that the outcome is unknown.
	m.done = true
	return append(m.abort(false), m.resolve(m.void()), Refuse{Fault: m.correctOutcome(fault)})
}

// duplicate handles a request id that the ledger knows.
func (m *Machine) duplicate(old *laceledger.RequestState) []Effect {
	if !m.spec.Idempotent {
		return m.repeated(old)
	}
	if old.Phase == laceledger.PhaseSettled {
		m.billed = true
		m.record = recordDurable
		return m.move(old.Server)
	}
	m.prefer = old.Server
	return []Effect{Append{Record: laceledger.Takeover{
		Budget:  m.spec.Budget,
		Request: m.spec.Request,
		From:    old.Attempt,
		Attempt: m.spec.LedgerAttempt,
		Grant:   m.spec.Grant,
		Server:  old.Server,
	}}}
}

// move resumes the run at the server that an earlier attempt has used.
func (m *Machine) move(server laceunit.ServerID) []Effect {
	if !m.spec.CanResume || server == "" || server == m.server || !m.live {
		return m.flush()
	}
	effects := m.abort(false)
	m.held = nil
	return append(effects, Pick{Prefer: server})
}

// repeated answers a repeated call that is not idempotent: it never runs again.
func (m *Machine) repeated(old *laceledger.RequestState) []Effect {
	m.done = true
	effects := []Effect{m.release(0)}
	if old.Phase == laceledger.PhaseSettled {
		if old.Response != nil {
			return append(effects, Reply{Response: *old.Response})
		}
		return append(effects, Reply{Missing: true})
	}
	return append(effects, Refuse{Fault: &lacefault.Fault{
		Outcome:    lacefault.Unknown,
		Code:       lacefault.InProgress,
		Message:    "the request is running or its outcome is not known yet",
		RetryAfter: retryLater,
	}})
}

// regrant replaces a grant that was closed while the request was under way, or is too small in the ledger.
func (m *Machine) regrant(closed bool) []Effect {
	m.regrants++
	if m.regrants > maxRegrants {
		m.record = recordNone
		return m.refuse(m.blocked())
	}
	return []Effect{Regrant{
		Grant:  m.spec.Grant,
		Closed: closed,
	}}
}

func (m *Machine) regranted(in Regranted) []Effect {
	if in.Fault != nil {
		m.record = recordNone
		return m.refuse(in.Fault)
	}
	m.spec.Grant = in.Grant
	return []Effect{m.declare()}
}

// copied handles the acknowledgement of a journal copy, of the start or of the end of a run.
func (m *Machine) copied(in Copied) []Effect {
	if m.settling {
		return m.concluded(in)
	}
	if m.record != recordPending {
		return nil
	}
	if in.OK {
		m.record = recordDurable
		return m.onDurable()
	}
	m.record = recordNone
	m.done = true
	return append(m.abort(false),
		m.resolve(m.void()),
		Refuse{Fault: m.correctOutcome(&lacefault.Fault{
			Outcome:    lacefault.NotRun,
			Code:       lacefault.PlatformDown,
			Message:    "neither the platform nor another instance can be reached",
			RetryAfter: retryLater,
		})})
}

func (m *Machine) superseded() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.Unknown,
		Code:       lacefault.InProgress,
		Message:    "another attempt of the same request has taken over",
		RetryAfter: retryLater,
	}
}

func (m *Machine) blocked() *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       lacefault.BudgetBlocked,
		Message:    "the grant of this instance was closed",
		RetryAfter: retryLater,
	}
}
