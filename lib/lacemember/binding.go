package lacemember

import (
	"cmp"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// maxReleaseProbes bounds the homes that are probed for a lost release in each interval. Probing all would cost a call
// for each pair of members at once.
const maxReleaseProbes = 8

// Binding forbids a member to run the requests of a home until the home has released the round.
type Binding struct {
	Home  Member
	Round uint64
	// Record is the membership under which the home's requests are determined.
	Record Record
}

// Covers reports whether a request belongs to the home.
func (b Binding) Covers(key Key) bool {
	h, ok := b.Record.Home(key)
	return ok && h.Holder == b.Home.Holder
}

type bindingState struct {
	binding     Binding
	lastSeenAt  time.Duration
	lastProbeAt time.Duration
	seals       map[laceunit.Holder]bool
}

func (m *Machine) addBinding(now time.Duration, binding Binding) {
	if old := m.bindings[binding.Home.Holder]; old != nil && old.binding.Round >= binding.Round {
		return
	}
	m.bindings[binding.Home.Holder] = &bindingState{
		binding:     binding,
		lastSeenAt:  now,
		lastProbeAt: now,
		seals:       map[laceunit.Holder]bool{},
	}
}

// applyRelease drops the binding to a home's rounds up to the given one; a delayed release never drops that of a later
// round.
func (m *Machine) applyRelease(home laceunit.Holder, round uint64) {
	if round == 0 || home == m.self {
		return
	}
	m.releasedRounds[home] = max(m.releasedRounds[home], round)
	switch b := m.bindings[home]; {
	case b == nil || b.binding.Round > round:
	case m.record.Has(home):
		// A home that is still a member lists its requests in its next promise.
		delete(m.bindings, home)
	default:
		m.dropBinding(home)
	}
}

// dropBinding drops the binding to a home outside the membership or a fenced one. Such a home is not asked for a
// promise, and its records may have reached the ledger after the last read, so the ledger must be read again before any
// run in an outage.
func (m *Machine) dropBinding(home laceunit.Holder) {
	delete(m.bindings, home)
	m.invalidateHistory()
}

// checkBindings seals the witnesses of homes that are considered dead, and probes a few homes in case a release was
// lost.
func (m *Machine) checkBindings(now time.Duration) {
	if now-m.bindingsCheckedAt < resendInterval {
		return
	}
	m.bindingsCheckedAt = now
	homes := sortedHolders(m.bindings)
	for _, h := range homes {
		if b := m.bindings[h]; m.shouldFence(now, b) {
			m.sealWitnesses(h, b)
		}
	}
	homes = sortedHolders(m.bindings)
	if m.platformLost {
		// Homes release once they reach the ledger again; until then the probes of random members suffice.
		return
	}
	slices.SortStableFunc(homes, func(a, b laceunit.Holder) int {
		return cmp.Compare(m.bindings[a].lastProbeAt, m.bindings[b].lastProbeAt)
	})
	for _, h := range homes[:min(len(homes), maxReleaseProbes)] {
		b := m.bindings[h]
		b.lastProbeAt = now
		m.send(b.binding.Home, ProbeAsk{
			From:  m.self,
			Epoch: m.record.Epoch,
		})
	}
}

func (m *Machine) sealWitnesses(home laceunit.Holder, b *bindingState) {
	for _, w := range b.binding.Record.Witnesses(home) {
		if !b.seals[w.Holder] {
			m.send(w, SealAsk{
				From: m.self,
				Home: home,
			})
		}
	}
	m.dropIfFenced(home, b)
}

// shouldFence reports whether the witnesses of a home should be sealed. A timeout alone never drops a binding; only
// sealed witnesses do.
func (m *Machine) shouldFence(now time.Duration, b *bindingState) bool {
	if m.record.superseded(b.binding.Home) || m.operatorFenced(b) {
		return true
	}
	silence := now - max(b.lastSeenAt, m.restoredAt)
	return m.settings.Consistency == laceunit.ConsistencyAvailable && !m.platformLost && silence >= m.settings.Fence
}

func (m *Machine) operatorFenced(b *bindingState) bool {
	return slices.Contains(m.record.Fenced, b.binding.Home.Holder)
}

// handleSealReply counts a witness that has sealed and flushed.
func (m *Machine) handleSealReply(reply SealReply) {
	b := m.bindings[reply.Home]
	if b == nil || !reply.Flushed {
		return
	}
	if _, ok := findMember(b.binding.Record.Witnesses(reply.Home), reply.From); ok {
		b.seals[reply.From] = true
		m.dropIfFenced(reply.Home, b)
	}
}

// dropIfFenced drops the binding to a home once enough of its witnesses are sealed: together they have a copy of every
// run of the home, and too few unsealed ones remain for another run. If an operator has fenced the home, it is enough
// that those witnesses are sealed that are still members.
func (m *Machine) dropIfFenced(home laceunit.Holder, b *bindingState) {
	unsealed := func(w Member) bool { return m.record.Has(w.Holder) && !b.seals[w.Holder] }
	witnesses := b.binding.Record.Witnesses(home)
	enough := len(b.seals) >= b.binding.Record.RequiredSeals(home) ||
		(m.operatorFenced(b) && !slices.ContainsFunc(witnesses, unsealed))
	if enough {
		m.dropBinding(home)
	}
}

// CanForget reports whether a holder, once removed, can never have outage authority that conflicts with this member.
func (m *Machine) CanForget(holder laceunit.Holder) bool {
	return m.enabled && m.bindings[holder] == nil
}

// Remove returns the record without members whose lease key is gone. After that the machine refuses promises for the
// current epoch, because the write may take effect without a response, until RecordCommitted or RemovalFailed.
func (m *Machine) Remove(removed []laceunit.Holder) Record {
	n := m.record.Remove(removed, m.CanForget)
	m.minPromiseEpoch = n.Epoch
	return n
}

func sortedHolders[V any](holders map[laceunit.Holder]V) []laceunit.Holder {
	sorted := make([]laceunit.Holder, 0, len(holders))
	for h := range holders {
		sorted = append(sorted, h)
	}
	slices.SortFunc(sorted, func(a, b laceunit.Holder) int {
		return compareMembers(Member{Holder: a}, Member{Holder: b})
	})
	return sorted
}
