package lacemember

import (
	"time"
)

// mayAsk reports whether outage authority is possible: a joiner lacks the bindings of the others, a home that has
// not read the ledger since the last removal doesn't know which requests have run, and a fleet with too few witnesses
// would forget a run with the loss of the home and one other.
func (m *Machine) mayAsk() bool {
	return m.enabled && !m.expelled && m.isCovered() && m.floor <= m.record.Epoch &&
		m.record.Copies(m.self) == copyCount
}

func (m *Machine) ask(now time.Duration) {
	m.round++
	m.phase = phaseAsking
	m.authority = m.record
	m.window = firstAsks
	m.asked = now
	clear(m.promises)
	m.sendAsks()
}

func (m *Machine) sendAsks() {
	left := m.window
	// Starts behind the own place in the list, so that the askers spread over the members.
	start := 0
	for i, o := range m.authority.Members {
		if o.Holder == m.self {
			start = i
		}
	}
	for i := range m.authority.Members {
		o := m.authority.Members[(start+i)%len(m.authority.Members)]
		if _, ok := m.promises[o.Holder]; ok || o.Holder == m.self {
			continue
		}
		if left--; left < 0 {
			return
		}
		m.send(o, PromiseAsk{
			Home:   m.self,
			Record: m.authority,
			Round:  m.round,
		})
	}
}

// promise binds this member to a home. The binding is recorded before the reply leaves.
func (m *Machine) promise(now time.Duration, ask PromiseAsk) {
	home, ok := ask.Record.Find(ask.Home)
	if !ok || ask.Home == m.self {
		return
	}
	reply := PromiseReply{
		From:  m.self,
		Epoch: ask.Record.Epoch,
		Round: ask.Round,
	}
	if ask.Record.Has(m.self) {
		m.adopt(now, ask.Record)
	}
	switch b := m.bindings[ask.Home]; {
	case ask.Record.Epoch < m.record.Epoch:
		reply.Record = m.record
	case ask.Record.Epoch > m.record.Epoch || ask.Record.Epoch < m.floor:
	case ask.Round <= m.released[ask.Home] || (b != nil && b.binding.Round > ask.Round):
	case m.overflowed(now) || m.expelled:
	case !m.lost:
		reply.Platform = true
	default:
		m.bind(now, Binding{
			Home:   home,
			Round:  ask.Round,
			Record: ask.Record,
		})
		reply.Given = true
		for k := range m.seen {
			if h, _ := ask.Record.Home(k); h.Holder == ask.Home {
				reply.Seen = append(reply.Seen, k)
			}
		}
	}
	m.sight(now, ask.Home, false)
	m.send(home, reply)
}

func (m *Machine) promised(now time.Duration, reply PromiseReply) {
	m.sight(now, reply.From, reply.Platform)
	from, ok := m.authority.Find(reply.From)
	if reply.Given && ok && (m.phase == phaseIdle || reply.Round != m.round) {
		// The promise came after the round had ended, and its giver may have missed the release.
		m.send(from, ReleaseNote{
			Home:  m.self,
			Round: m.freed,
		})
	}
	if ok && reply.Given && m.phase == phaseAsking && reply.Round == m.round && reply.Epoch == m.authority.Epoch {
		if _, again := m.promises[reply.From]; !again {
			m.promises[reply.From] = keySet(reply.Seen)
			if len(m.promises) == m.window {
				m.window *= 2
				m.sendAsks()
			}
		}
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

// free ends the round for good and tells the members that may have promised.
func (m *Machine) free() {
	m.phase = phaseIdle
	m.freed = m.round
	clear(m.offline)
	for _, o := range m.authority.Members {
		if o.Holder != m.self {
			m.send(o, ReleaseNote{
				Home:  m.self,
				Round: m.freed,
			})
		}
	}
	for _, o := range m.record.Members {
		if o.Holder != m.self && !m.authority.Has(o.Holder) {
			m.send(o, ReleaseNote{
				Home:  m.self,
				Round: m.freed,
			})
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
