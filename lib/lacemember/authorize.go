package lacemember

import (
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Verdict is the outcome of Authorize.
type Verdict uint8

// The verdicts.
const (
	// Online means that the request runs with a durable intent in the ledger.
	Online Verdict = iota + 1
	// Offline means that the request runs from the offline journal of this instance.
	Offline
	// AlreadyStarted means that the request was started before and may have run: look it up, never run it.
	AlreadyStarted
	// Refuse means that the request must not run on this instance.
	Refuse
)

// Decision is how a request may run. Code, RedirectAddress and RetryAfter are set for a refusal.
type Decision struct {
	Verdict         Verdict
	Code            lacefault.Code
	RedirectAddress laceunit.Address
	RetryAfter      time.Duration
	// RequiredCopies is how many of Witnesses must hold the journal entry of an offline run before the call is sent.
	RequiredCopies int
	Witnesses      []Member
}

// Authorize decides whether and how a request may run now. If a non-idempotent request definitely did not run after an
// Online or Offline decision, the caller must call Abandon.
func (m *Machine) Authorize(now time.Duration, request laceledger.Request, idempotent bool) Decision {
	if self, ok := m.record.Find(m.self); !ok || self.Draining || m.draining || m.expelled {
		return m.refuse(now, lacefault.Draining, m.redirectAddress(now))
	}
	if idempotent {
		return m.authorizeIdempotent(now)
	}
	key := KeyOf(request)
	if _, ok := m.offlineFlushed[key]; ok {
		return Decision{Verdict: AlreadyStarted}
	}
	for _, b := range m.bindings {
		if b.binding.Covers(key) {
			return m.refuse(now, lacefault.WrongInstance, b.binding.Home.Address)
		}
	}
	switch {
	case !m.enabled:
		return m.refuse(now, lacefault.WrongInstance, m.redirectAddress(now))
	case m.ledgerReachable(now):
		m.recordStart(now, key)
		return Decision{Verdict: Online}
	default:
		return m.authorizeOffline(now, key)
	}
}

func (m *Machine) authorizeIdempotent(now time.Duration) Decision {
	if m.ledgerReachable(now) {
		return Decision{Verdict: Online}
	}
	for _, s := range m.peerLiveness {
		if now-s.at <= livenessTTL {
			return Decision{
				Verdict:        Offline,
				RequiredCopies: 1,
				Witnesses:      m.record.Witnesses(m.self),
			}
		}
	}
	return m.refuse(now, lacefault.PlatformDown, "")
}

func (m *Machine) authorizeOffline(now time.Duration, key Key) Decision {
	outage := m.phase == phaseOutage
	record := m.record
	if outage {
		record = m.roundRecord
	}
	home, _ := record.Home(key)
	switch {
	case home.Holder != m.self:
		return m.refuse(now, lacefault.WrongInstance, home.Address)
	case !outage || !m.isHistoryCurrent():
		return m.refuse(now, lacefault.PlatformDown, "")
	case m.wasStarted(key):
		return Decision{Verdict: AlreadyStarted}
	case m.overflowed(now):
		return m.refuse(now, lacefault.Overloaded, "")
	}
	m.offlineFlushed[key] = false
	m.recordStart(now, key)
	return Decision{
		Verdict:        Offline,
		RequiredCopies: m.roundRecord.RequiredCopies(m.self),
		Witnesses:      m.roundRecord.Witnesses(m.self),
	}
}

// wasStarted reports whether this instance, a member that has promised, or the ledger has a start of the request.
func (m *Machine) wasStarted(key Key) bool {
	if _, ok := m.started[key]; ok {
		return true
	}
	if _, ok := m.ledgerKeys[key]; ok {
		return true
	}
	for _, p := range m.promises {
		if _, ok := p[key]; ok {
			return true
		}
	}
	return false
}

func (m *Machine) recordStart(now time.Duration, key Key) {
	s, ok := m.started[key]
	if !ok && len(m.started) >= maxStarted {
		m.overflowUntil = now + m.settings.Retain
		return
	}
	s.lastStartAt, s.starts = now, s.starts+1
	m.started[key] = s
}

// overflowed reports whether a start that the ledger still retains was not recorded for lack of space. This member must
// not promise then, because its promise would not list that request.
func (m *Machine) overflowed(now time.Duration) bool {
	return now < m.overflowUntil
}

// Drain makes the machine refuse new requests at once, before the record marks this member as draining.
func (m *Machine) Drain() { m.draining = true }

// Abandon deletes one start of a non-idempotent request that definitely did not run.
func (m *Machine) Abandon(request laceledger.Request) {
	key := KeyOf(request)
	delete(m.offlineFlushed, key)
	s, ok := m.started[key]
	if s.starts--; ok && s.starts > 0 {
		m.started[key] = s
		return
	}
	delete(m.started, key)
}

// MarkFlushed notes that the ledger has accepted the record of an offline run.
func (m *Machine) MarkFlushed(request laceledger.Request) {
	if _, ok := m.offlineFlushed[KeyOf(request)]; ok {
		m.offlineFlushed[KeyOf(request)] = true
	}
}

func (m *Machine) refuse(now time.Duration, code lacefault.Code, address laceunit.Address) Decision {
	after := resendInterval
	if !m.ledgerReachable(now) && address == "" {
		after = 2 * resendInterval
	}
	return Decision{
		Verdict:         Refuse,
		Code:            code,
		RedirectAddress: address,
		RetryAfter:      after,
	}
}

// redirectAddress returns the address of another member that is not draining, preferably one heard from within
// livenessTTL.
func (m *Machine) redirectAddress(now time.Duration) laceunit.Address {
	var fallback laceunit.Address
	for _, o := range m.record.Members {
		if o.Holder == m.self || o.Draining {
			continue
		}
		if s, ok := m.peerLiveness[o.Holder]; ok && now-s.at <= livenessTTL {
			return o.Address
		}
		if fallback == "" {
			fallback = o.Address
		}
	}
	return fallback
}
