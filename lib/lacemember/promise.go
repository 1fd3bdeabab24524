package lacemember

import (
	"time"
)

// canStartRound reports whether this instance can get outage authority. A joiner can't, because it lacks the bindings
// of the other members; nor can a home that has not read the ledger since the last removal, because it doesn't know
// which requests have run. With too few witnesses, the loss of the home and one other member would lose the record of a
// run.
func (m *Machine) canStartRound() bool {
	return m.enabled && !m.expelled && m.isHistoryCurrent() && m.minPromiseEpoch <= m.record.Epoch &&
		m.record.RequiredCopies(m.self) == minCopies
}

func (m *Machine) startRound(now time.Duration) {
	m.round++
	m.phase = phaseAsking
	m.roundRecord = m.record
	m.window = initialAsks
	m.lastResendAt = now
	clear(m.promises)
	clear(m.needsRecord)
	clear(m.asked)
	m.sendPromiseAsks()
}

// sendPromiseAsks asks further members while the number of unanswered asks is below the window.
func (m *Machine) sendPromiseAsks() {
	free := m.window - (len(m.asked) - len(m.promises))
	// Starts after this instance's position in the list, so that concurrent rounds spread over the members.
	start := 0
	for i, o := range m.roundRecord.Members {
		if o.Holder == m.self {
			start = i
		}
	}
	for i := range m.roundRecord.Members {
		o := m.roundRecord.Members[(start+i)%len(m.roundRecord.Members)]
		if free <= 0 {
			return
		}
		if !m.asked[o.Holder] && o.Holder != m.self {
			m.asked[o.Holder] = true
			m.sendPromiseAsk(o)
			free--
		}
	}
}

// resendPromiseAsks asks those members again that were asked and have not promised.
func (m *Machine) resendPromiseAsks() {
	for _, o := range m.roundRecord.Members {
		if _, ok := m.promises[o.Holder]; m.asked[o.Holder] && !ok {
			m.sendPromiseAsk(o)
		}
	}
}

func (m *Machine) sendPromiseAsk(to Member) {
	ask := PromiseAsk{
		Home:  m.self,
		Epoch: m.roundRecord.Epoch,
		Round: m.round,
	}
	if m.needsRecord[to.Holder] {
		ask.Record = m.roundRecord
	}
	m.send(to, ask)
}

// handlePromiseAsk binds this member to a home if it can promise. The binding is recorded before the reply is sent.
func (m *Machine) handlePromiseAsk(now time.Duration, ask PromiseAsk) {
	reply := PromiseReply{
		From:  m.self,
		Epoch: ask.Epoch,
		Round: ask.Round,
	}
	if ask.Record.Has(m.self) {
		m.adopt(now, ask.Record)
	}
	home, ok := m.record.Find(ask.Home)
	if !ok {
		home.Holder = ask.Home
	}
	switch b := m.bindings[ask.Home]; {
	case ask.Epoch < m.record.Epoch:
		reply.Record = m.record
	case ask.Epoch > m.record.Epoch:
		reply.NeedsRecord = true
	case ask.Epoch < m.minPromiseEpoch || !ok || ask.Home == m.self:
	case ask.Round <= m.releasedRounds[ask.Home] || (b != nil && b.binding.Round > ask.Round):
	case m.overflowed(now) || m.expelled:
	case !m.platformLost:
		reply.PlatformReachable = true
	default:
		m.addBinding(now, Binding{
			Home:   home,
			Round:  ask.Round,
			Record: m.record,
		})
		reply.Granted = true
		for k := range m.started {
			if h, _ := m.record.Home(k); h.Holder == ask.Home {
				reply.Started = append(reply.Started, k)
			}
		}
	}
	m.recordLiveness(now, ask.Home, false)
	m.send(home, reply)
}

func (m *Machine) handlePromiseReply(now time.Duration, reply PromiseReply) {
	m.recordLiveness(now, reply.From, reply.PlatformReachable)
	from, ok := m.roundRecord.Find(reply.From)
	if reply.Granted && ok && (m.phase == phaseIdle || reply.Round != m.round) {
		// The promise arrived after the end of its round, and the member may have missed the release.
		m.send(from, ReleaseNote{
			Home:  m.self,
			Round: m.releasedRound,
		})
	}
	if ok && reply.Granted && m.phase == phaseAsking && reply.Round == m.round && reply.Epoch == m.roundRecord.Epoch {
		if _, duplicate := m.promises[reply.From]; !duplicate {
			m.promises[reply.From] = keySet(reply.Started)
			m.window = min(m.window+1, maxPendingAsks)
			m.sendPromiseAsks()
		}
	}
	if ok && reply.NeedsRecord && m.phase == phaseAsking && reply.Round == m.round && !m.needsRecord[reply.From] {
		m.needsRecord[reply.From] = true
		m.sendPromiseAsk(from)
	}
	m.adopt(now, reply.Record)
}

// allFlushed reports whether the ledger has the record of every offline run of the round.
func (m *Machine) allFlushed() bool {
	for _, flushed := range m.offlineFlushed {
		if !flushed {
			return false
		}
	}
	return true
}

// endRound releases the round and notifies the members that may be bound to it. During the asking phase only members
// that were asked can be bound; later, joiners may have received the binding from another member.
func (m *Machine) endRound() {
	wasAsking := m.phase == phaseAsking
	m.phase = phaseIdle
	m.releasedRound = m.round
	clear(m.offlineFlushed)
	note := ReleaseNote{
		Home:  m.self,
		Round: m.releasedRound,
	}
	for _, o := range m.roundRecord.Members {
		if m.asked[o.Holder] {
			m.send(o, note)
		}
	}
	for _, o := range m.record.Members {
		if !wasAsking && o.Holder != m.self && !m.roundRecord.Has(o.Holder) {
			m.send(o, note)
		}
	}
	clear(m.promises)
}

func keySet(keys []Key) map[Key]struct{} {
	s := make(map[Key]struct{}, len(keys))
	for _, k := range keys {
		s[k] = struct{}{}
	}
	return s
}
