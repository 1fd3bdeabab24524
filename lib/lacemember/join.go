package lacemember

import "time"

// askAcks asks a few members, other ones each time, because a joiner doesn't know which of them are enabled and live.
func (m *Machine) askAcks() {
	if m.enabled || m.expelled || !m.record.Has(m.self) {
		return
	}
	members := m.record.Members
	for range min(firstAsks, len(members)) {
		o := members[m.ackTurn%len(members)]
		m.ackTurn++
		if o.Holder != m.self {
			m.send(o, AckAsk{
				From:   m.self,
				Record: m.record,
			})
		}
	}
}

// acknowledge adopts the joiner's epoch, so that no promise for an earlier one follows, and passes on what binds this
// member, its own authority included. A member that is not enabled itself may lack bindings.
func (m *Machine) acknowledge(now time.Duration, ask AckAsk) {
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
		self, _ := m.authority.Find(m.self)
		reply.Bindings = append(reply.Bindings, Binding{
			Home:   self,
			Round:  m.round,
			Record: m.authority,
		})
	}
	m.send(joiner, reply)
}

func (m *Machine) enable(now time.Duration, reply AckReply) {
	self, ok := m.record.Find(m.self)
	if !ok || m.enabled || !reply.Acknowledged || reply.Epoch < self.JoinEpoch {
		return
	}
	for _, b := range reply.Bindings {
		if b.Home.Holder != m.self && b.Round > m.released[b.Home.Holder] {
			m.bind(now, b)
		}
	}
	m.enabled = true
}
