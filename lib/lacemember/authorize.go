package lacemember

import (
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Verdict is the answer to Authorize.
type Verdict uint8

// The verdicts.
const (
	// Online means: run with a durable intent.
	Online Verdict = iota + 1
	// Offline means: run from the offline journal of this instance.
	Offline
	// Known means: the request was started before and may have run; look it up, never run it.
	AlreadyStarted
	// Refuse means: the request is not run here.
	Refuse
)

// Decision says how a request may run; the fields below Verdict are set for a refusal.
type Decision struct {
	Verdict         Verdict
	Code            lacefault.Code
	RedirectAddress laceunit.Address
	RetryAfter      time.Duration
	// Copies is how many of Witnesses must hold the journal entry of an offline run before the call is sent.
	RequiredCopies int
	Witnesses      []Member
}

// Authorize decides whether and how a request may run now. The caller must end an Online or Offline decision of a
// non-idempotent request with Abandon when the request certainly did not run.
func (m *Machine) Authorize(now time.Duration, request laceledger.Request, idempotent bool) Decision {
	if self, ok := m.record.Find(m.self); !ok || self.Draining || m.draining || m.expelled {
		return m.refuse(now, lacefault.Draining, m.another(now))
	}
	if idempotent {
		return m.authorizeIdempotent(now)
	}
	key := KeyOf(request)
	if _, ok := m.offline[key]; ok {
		return Decision{Verdict: AlreadyStarted}
	}
	for _, b := range m.bindings {
		if b.binding.Covers(key) {
			return m.refuse(now, lacefault.WrongInstance, b.binding.Home.Address)
		}
	}
	switch {
	case !m.enabled:
		return m.refuse(now, lacefault.WrongInstance, m.another(now))
	case m.contact(now):
		m.start(now, key)
		return Decision{Verdict: Online}
	default:
		return m.authorizeOffline(now, key)
	}
}

func (m *Machine) authorizeIdempotent(now time.Duration) Decision {
	if m.contact(now) {
		return Decision{Verdict: Online}
	}
	for _, s := range m.heard {
		if now-s.at <= heardFresh {
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
		record = m.authority
	}
	home, _ := record.Home(key)
	switch {
	case home.Holder != m.self:
		return m.refuse(now, lacefault.WrongInstance, home.Address)
	case !outage || !m.isCovered():
		return m.refuse(now, lacefault.PlatformDown, "")
	case m.ran(key):
		return Decision{Verdict: AlreadyStarted}
	case m.overflowed(now):
		return m.refuse(now, lacefault.Overloaded, "")
	}
	m.offline[key] = false
	m.start(now, key)
	return Decision{
		Verdict:        Offline,
		RequiredCopies: m.authority.RequiredCopies(m.self),
		Witnesses:      m.authority.Witnesses(m.self),
	}
}

// ran reports whether this instance, a promising member or the ledger has seen the request.
func (m *Machine) ran(key Key) bool {
	if _, ok := m.seen[key]; ok {
		return true
	}
	if _, ok := m.known[key]; ok {
		return true
	}
	for _, p := range m.promises {
		if _, ok := p[key]; ok {
			return true
		}
	}
	return false
}

func (m *Machine) start(now time.Duration, key Key) {
	s, ok := m.seen[key]
	if !ok && len(m.seen) >= maxSeen {
		m.overflow = now + m.settings.Retain
		return
	}
	s.at, s.count = now, s.count+1
	m.seen[key] = s
}

// overflowed reports whether the machine had to forget a start that the ledger still retains. It must not promise
// then, because its promise would lack that request.
func (m *Machine) overflowed(now time.Duration) bool {
	return now < m.overflow
}

// Drain makes the machine refuse new requests; it doesn't wait for the record to say so.
func (m *Machine) Drain() { m.draining = true }

// Abandon forgets one start of a non-idempotent request that certainly did not run.
func (m *Machine) Abandon(request laceledger.Request) {
	key := KeyOf(request)
	delete(m.offline, key)
	s, ok := m.seen[key]
	if s.count--; ok && s.count > 0 {
		m.seen[key] = s
		return
	}
	delete(m.seen, key)
}

// Flushed says that the ledger has taken the record of an offline run.
func (m *Machine) MarkFlushed(request laceledger.Request) {
	if _, ok := m.offline[KeyOf(request)]; ok {
		m.offline[KeyOf(request)] = true
	}
}

func (m *Machine) refuse(now time.Duration, code lacefault.Code, address laceunit.Address) Decision {
	after := repeatEvery
	if !m.contact(now) && address == "" {
		after = 2 * repeatEvery
	}
	return Decision{
		Verdict:         Refuse,
		Code:            code,
		RedirectAddress: address,
		RetryAfter:      after,
	}
}

// another returns the address of a member that can serve instead, one that was heard of lately if there is one.
func (m *Machine) another(now time.Duration) laceunit.Address {
	var fallback laceunit.Address
	for _, o := range m.record.Members {
		if o.Holder == m.self || o.Draining {
			continue
		}
		if s, ok := m.heard[o.Holder]; ok && now-s.at <= heardFresh {
			return o.Address
		}
		if fallback == "" {
			fallback = o.Address
		}
	}
	return fallback
}
