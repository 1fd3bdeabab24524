package lacemember

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// Record returns the newest membership record that the machine has adopted.
func (m *Machine) Record() Record { return m.record }

// Self returns this instance's entry in the membership.
func (m *Machine) Self() (Member, bool) { return m.record.Find(m.self) }

// Enabled reports whether the process may run non-idempotent requests at all.
func (m *Machine) Enabled() bool { return m.enabled && !m.expelled }

// PlatformReachable reports whether this instance reaches the platform directly.
func (m *Machine) PlatformReachable() bool { return !m.platformLost }

// Mode returns the current mode.
func (m *Machine) Mode(now time.Duration) Mode {
	switch {
	case m.phase == phaseOutage:
		return ModeOutage
	case m.phase == phaseFlushing:
		return ModeFlushing
	case m.ledgerReachable(now):
		return ModeOnline
	default:
		return ModeLost
	}
}

// Promises returns how many promises the instance holds, and to how many homes it is bound.
func (m *Machine) Promises() (held, given int) { return len(m.promises), len(m.bindings) }

// LiveHolders returns the holders that were heard from within livenessTTL.
func (m *Machine) LiveHolders(now time.Duration) []laceunit.Holder {
	var live []laceunit.Holder
	for _, h := range sortedHolders(m.peerLiveness) {
		if now-m.peerLiveness[h].at <= livenessTTL {
			live = append(live, h)
		}
	}
	return live
}

// Idle reports whether no round is in progress, so that the process may leave the membership.
func (m *Machine) Idle() bool { return m.phase == phaseIdle }

// PeersWithPlatform returns the members that reported within livenessTTL that they reach the platform.
func (m *Machine) PeersWithPlatform(now time.Duration) []Member {
	var members []Member
	for _, o := range m.record.Members {
		if s, ok := m.peerLiveness[o.Holder]; ok && s.platformReachable && now-s.at <= livenessTTL {
			members = append(members, o)
		}
	}
	return members
}

// HistoryCurrent reports whether the machine has every request that the ledger accepted from holders outside the
// membership.
func (m *Machine) HistoryCurrent() bool { return m.isHistoryCurrent() }
