package lacemember

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Record returns the last agreed membership.
func (m *Machine) Record() Record { return m.record }

// Self returns the own entry of the membership.
func (m *Machine) Self() (Member, bool) { return m.record.Find(m.self) }

// Enabled reports whether the process may run non-idempotent requests at all.
func (m *Machine) Enabled() bool { return m.enabled && !m.expelled }

// Reachable reports whether this instance reaches the platform directly.
func (m *Machine) PlatformReachable() bool { return !m.lost }

// Mode returns what the instance may do now.
func (m *Machine) Mode(now time.Duration) Mode {
	switch {
	case m.phase == phaseOutage:
		return ModeOutage
	case m.phase == phaseFlushing:
		return ModeFlushing
	case m.contact(now):
		return ModeOnline
	default:
		return ModeLost
	}
}

// Promises returns how many promises the instance holds and has given.
func (m *Machine) Promises() (held, given int) { return len(m.promises), len(m.bindings) }

// Heard returns the members that answered lately.
func (m *Machine) LiveHolders(now time.Duration) []laceunit.Holder {
	var heard []laceunit.Holder
	for _, h := range sortedHolders(m.heard) {
		if now-m.heard[h].at <= heardFresh {
			heard = append(heard, h)
		}
	}
	return heard
}

// Idle reports whether no round is held, so that the process may leave the membership.
func (m *Machine) Idle() bool { return m.phase == phaseIdle }

// Contacts returns the members that lately reported contact with the platform.
func (m *Machine) PeersWithPlatform(now time.Duration) []Member {
	var members []Member
	for _, o := range m.record.Members {
		if s, ok := m.heard[o.Holder]; ok && s.platform && now-s.at <= heardFresh {
			members = append(members, o)
		}
	}
	return members
}

// Covered reports whether the machine knows every request that the ledger took from holders outside the membership.
func (m *Machine) HistoryCurrent() bool { return m.isCovered() }
