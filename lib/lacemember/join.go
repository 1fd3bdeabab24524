package lacemember

import "time"

// sendAckAsks asks a few members, in rotation, because a joiner doesn't know which of them are enabled and alive.
func (m *Machine) sendAckAsks() {
	if m.enabled || m.expelled || !m.record.Has(m.self) {
		return
	}
	members := m.record.Members
	for range min(initialAsks, len(members)) {
		o := members[m.ackCursor%len(members)]
		m.ackCursor++
		if o.Holder != m.self {
			m.send(o, AckAsk{
				From:   m.self,
				Record: m.record,
			})
		}
	}
}

// handleAckAsk adopts the joiner's epoch, after which this member makes no promise for an earlier one, and replies with
// its bindings and its own outage authority. A member that is not enabled doesn't reply, because it may lack bindings.
func (m *Machine) handleAckAsk(now time.Duration, ask AckAsk) {
	if ask.Record.Has(m.self) {
		m.adopt(now, ask.Record)
	}
	joiner, ok := m.record.Find(ask.From)
	if !ok || !m.enabled || m.expelled {
		return
	}
	reply := AckReply{
		From:         m.self,
		Acknowledged: true,
		Epoch:        m.record.Epoch,
	}
	for _, h := range sortedHolders(m.bindings) {
		reply.Bindings = append(reply.Bindings, m.bindings[h].binding)
	}
	if m.phase == phaseOutage || m.phase == phaseFlushing {
		self, _ := m.roundRecord.Find(m.self)
		reply.Bindings = append(reply.Bindings, Binding{
			Home:   self,
			Round:  m.round,
			Record: m.roundRecord,
		})
	}
	m.send(joiner, reply)
}

func (m *Machine) handleAckReply(now time.Duration, reply AckReply) {
	self, ok := m.record.Find(m.self)
	if !ok || m.enabled || !reply.Acknowledged || reply.Epoch < self.JoinEpoch {
		return
	}
	for _, b := range reply.Bindings {
		if b.Home.Holder != m.self && b.Round > m.releasedRounds[b.Home.Holder] {
			m.addBinding(now, b)
		}
	}
	m.enabled = true
}
