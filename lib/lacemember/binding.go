package lacemember

import (
	"cmp"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// maxReleaseAsks bounds the homes asked in each interval. Asking all would be a call for each pair of members at once.
const maxReleaseAsks = 8

// Binding forbids a member to run the requests of a home until the home has released the round.
type Binding struct {
	Home  Member
	Round uint64
	// Record is the membership under which the home's requests are determined.
	Record Record
}

// Covers reports whether a request is the home's.
func (b Binding) Covers(key Key) bool {
	h, ok := b.Record.Home(key)
	return ok && h.Holder == b.Home.Holder
}

type bound struct {
	binding Binding
	heard   time.Duration
	asked   time.Duration
	seals   map[laceunit.Holder]bool
}

func (m *Machine) bind(now time.Duration, binding Binding) {
	if old := m.bindings[binding.Home.Holder]; old != nil && old.binding.Round >= binding.Round {
		return
	}
	m.bindings[binding.Home.Holder] = &bound{
		binding: binding,
		heard:   now,
		asked:   now,
		seals:   map[laceunit.Holder]bool{},
	}
}

// release drops the binding to a home's rounds up to the given one; a late release never frees a later round.
func (m *Machine) release(home laceunit.Holder, round uint64) {
	if round == 0 || home == m.self {
		return
	}
	m.released[home] = max(m.released[home], round)
	switch b := m.bindings[home]; {
	case b == nil || b.binding.Round > round:
	case m.record.Has(home):
		// The home lists its requests in its next promise.
		delete(m.bindings, home)
	default:
		m.drop(home)
	}
}

// drop ends a binding. A home outside the membership was not asked for a promise, and its records may have reached the
// ledger after the last read, so the ledger must be read again before any run in an outage.
func (m *Machine) drop(home laceunit.Holder) {
	delete(m.bindings, home)
	m.uncover()
}

// watchBindings seals the witnesses of homes that are gone, and asks a few homes whether the release was lost.
func (m *Machine) watchBindings(now time.Duration) {
	if now-m.watched < repeatEvery {
		return
	}
	m.watched = now
	homes := sortedHolders(m.bindings)
	for _, h := range homes {
		if b := m.bindings[h]; m.fencing(now, b) {
			m.fence(h, b)
		}
	}
	homes = sortedHolders(m.bindings)
	if m.lost {
		// Homes release after their own contact is back; until then the probes of random members are enough.
		return
	}
	slices.SortStableFunc(homes, func(a, b laceunit.Holder) int {
		return cmp.Compare(m.bindings[a].asked, m.bindings[b].asked)
	})
	for _, h := range homes[:min(len(homes), maxReleaseAsks)] {
		b := m.bindings[h]
		b.asked = now
		m.send(b.binding.Home, ProbeAsk{
			From:  m.self,
			Epoch: m.record.Epoch,
		})
	}
}

func (m *Machine) fence(home laceunit.Holder, b *bound) {
	for _, w := range b.binding.Record.Witnesses(home) {
		if !b.seals[w.Holder] {
			m.send(w, SealAsk{
				From: m.self,
				Home: home,
			})
		}
	}
	m.unbind(home, b)
}

// fencing reports whether a home may be treated as gone. Time alone never frees a request: the sealed witnesses do.
func (m *Machine) fencing(now time.Duration, b *bound) bool {
	if m.record.superseded(b.binding.Home) || m.operatorFenced(b) {
		return true
	}
	silent := now - max(b.heard, m.since)
	return m.settings.Lean == laceunit.ConsistencyAvailable && !m.lost && silent >= m.settings.Fence
}

func (m *Machine) operatorFenced(b *bound) bool {
	return slices.Contains(m.record.Fenced, b.binding.Home.Holder)
}

// sealed counts a witness that has sealed and flushed.
func (m *Machine) sealed(reply SealReply) {
	b := m.bindings[reply.Home]
	if b == nil || !reply.Flushed {
		return
	}
	if _, ok := find(b.binding.Record.Witnesses(reply.Home), reply.From); ok {
		b.seals[reply.From] = true
		m.unbind(reply.Home, b)
	}
}

// unbind drops the binding to a fenced home. Enough sealed witnesses know of every request that the home ran, and
// leave the home too few to run another. Where an operator answers for the process, the living ones are enough.
func (m *Machine) unbind(home laceunit.Holder, b *bound) {
	waiting := func(w Member) bool { return m.record.Has(w.Holder) && !b.seals[w.Holder] }
	witnesses := b.binding.Record.Witnesses(home)
	enough := len(b.seals) >= b.binding.Record.RequiredSeals(home) ||
		(m.operatorFenced(b) && !slices.ContainsFunc(witnesses, waiting))
	if enough {
		m.drop(home)
	}
}

// Cleared reports whether a holder can never hold outage authority against this member once it is removed.
func (m *Machine) CanForget(holder laceunit.Holder) bool {
	return m.enabled && m.bindings[holder] == nil
}

// Remove returns the record without members that lost their lease key. From here on the machine promises nothing for
// the current epoch, because the write may take effect without an answer; Agreed or SwapFailed ends that.
func (m *Machine) Remove(gone []laceunit.Holder) Record {
	n := m.record.Remove(gone, m.CanForget)
	m.floor = n.Epoch
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
