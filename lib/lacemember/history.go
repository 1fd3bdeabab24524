package lacemember

import "time"

// isCovered reports whether the machine knows the requests that the ledger took from everyone but the members.
func (m *Machine) isCovered() bool {
	return m.covered > 0 && m.covered >= m.record.LastRemoval
}

func (m *Machine) uncover() {
	m.covered, m.reading = 0, m.reading+1
	m.readAt = 0
}

func (m *Machine) readHistory(now time.Duration) {
	if m.isCovered() || !m.enabled || m.expelled || m.lost || (m.readAt > 0 && now-m.readAt < repeatEvery) {
		return
	}
	m.reading++
	m.readAt = max(now, 1)
	m.pending = m.record.Epoch
	m.emit(ReadHistory{
		ReadID:  m.reading,
		Epoch:   m.record.Epoch,
		Members: m.record.Holders(),
	})
}

func (m *Machine) cover(read HistoryRead) {
	if read.ReadID != m.reading || !read.Complete {
		return
	}
	m.covered = m.pending
	m.known = keySet(read.Keys)
}

// forget drops what the ledger no longer retains, and releases of holders that are long gone.
func (m *Machine) forget(now time.Duration) {
	if now-m.forgot < time.Minute {
		return
	}
	m.forgot = now
	for k, s := range m.seen {
		if now-s.at > m.settings.Retain {
			delete(m.seen, k)
		}
	}
	for h := range m.released {
		if !m.record.Has(h) && m.bindings[h] == nil {
			delete(m.released, h)
		}
	}
}
