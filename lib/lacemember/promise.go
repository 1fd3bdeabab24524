package lacemember

import (
	"time"
)

// mayAsk reports whether outage authority is possible: a joiner lacks the bindings of the others, a home that has
// not read the ledger since the last removal doesn't know which requests have run, and a fleet with too few witnesses
// would forget a run with the loss of the home and one other.
func (m *Machine) mayAsk() bool {
	return m.enabled && !m.expelled && m.isCovered() && m.floor <= m.record.Epoch &&
		m.record.RequiredCopies(m.self) == copyCount
}

func (m *Machine) ask(now time.Duration) {
	m.round++
	m.phase = phaseAsking
	m.authority = m.record
	m.window = firstAsks
	m.asked = now
	clear(m.promises)
	clear(m.behind)
	clear(m.asks)
	m.sendAsks()
}

// sendAsks fills the window of members that have not answered yet.
func (m *Machine) sendAsks() {
	free := m.window - (len(m.asks) - len(m.promises))
	// Starts behind the own place in the list, so that the askers spread over the members.
	start := 0
	for i, o := range m.authority.Members {
		if o.Holder == m.self {
			start = i
		}
	}
	for i := range m.authority.Members {
		o := m.authority.Members[(start+i)%len(m.authority.Members)]
		if free <= 0 {
			return
		}
		if !m.asks[o.Holder] && o.Holder != m.self {
			m.asks[o.Holder] = true
			m.sendAsk(o)
			free--
		}
	}
}

// repeatAsks asks those again that have not promised.
func (m *Machine) repeatAsks() {
	for _, o := range m.authority.Members {
		if _, ok := m.promises[o.Holder]; m.asks[o.Holder] && !ok {
			m.sendAsk(o)
		}
	}
}

func (m *Machine) sendAsk(to Member) {
	ask := PromiseAsk{
		Home:  m.self,
		Epoch: m.authority.Epoch,
		Round: m.round,
	}
	if m.behind[to.Holder] {
		ask.Record = m.authority
	}
	m.send(to, ask)
}

// promise binds this member to a home. The binding is recorded before the reply leaves.
func (m *Machine) promise(now time.Duration, ask PromiseAsk) {
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
	case ask.Epoch < m.floor || !ok || ask.Home == m.self:
	case ask.Round <= m.released[ask.Home] || (b != nil && b.binding.Round > ask.Round):
	case m.overflowed(now) || m.expelled:
	case !m.lost:
		reply.PlatformReachable = true
	default:
		m.bind(now, Binding{
			Home:   home,
			Round:  ask.Round,
			Record: m.record,
		})
		reply.Granted = true
		for k := range m.seen {
			if h, _ := m.record.Home(k); h.Holder == ask.Home {
				reply.Started = append(reply.Started, k)
			}
		}
	}
	m.sight(now, ask.Home, false)
	m.send(home, reply)
}

func (m *Machine) promised(now time.Duration, reply PromiseReply) {
	m.sight(now, reply.From, reply.PlatformReachable)
	from, ok := m.authority.Find(reply.From)
	if reply.Granted && ok && (m.phase == phaseIdle || reply.Round != m.round) {
		// The promise came after the round had ended, and its giver may have missed the release.
		m.send(from, ReleaseNote{
			Home:  m.self,
			Round: m.freed,
		})
	}
	if ok && reply.Granted && m.phase == phaseAsking && reply.Round == m.round && reply.Epoch == m.authority.Epoch {
		if _, again := m.promises[reply.From]; !again {
			m.promises[reply.From] = keySet(reply.Started)
			m.window = min(m.window+1, maxAsks)
			m.sendAsks()
		}
	}
	if ok && reply.NeedsRecord && m.phase == phaseAsking && reply.Round == m.round && !m.behind[reply.From] {
		m.behind[reply.From] = true
		m.sendAsk(from)
	}
	m.adopt(now, reply.Record)
}

// flushed reports whether the ledger has every request of the round.
func (m *Machine) flushed() bool {
	for _, f := range m.offline {
		if !f {
			return false
		}
	}
	return true
}

// free ends the round for good and tells the members that may be bound to it. While the home is still asking, only
// those that were asked can be; after that, joiners may have taken over the binding.
func (m *Machine) free() {
	asking := m.phase == phaseAsking
	m.phase = phaseIdle
	m.freed = m.round
	clear(m.offline)
	note := ReleaseNote{
		Home:  m.self,
		Round: m.freed,
	}
	for _, o := range m.authority.Members {
		if m.asks[o.Holder] {
			m.send(o, note)
		}
	}
	for _, o := range m.record.Members {
		if !asking && o.Holder != m.self && !m.authority.Has(o.Holder) {
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
