package lacemember

import "time"

// isHistoryCurrent reports whether the machine has every request that the ledger accepted from holders outside the
// membership.
func (m *Machine) isHistoryCurrent() bool {
	return m.historyEpoch > 0 && m.historyEpoch >= m.record.LastRemoval
}

func (m *Machine) invalidateHistory() {
	m.historyEpoch, m.readID = 0, m.readID+1
	m.lastReadAt = 0
}

func (m *Machine) requestHistory(now time.Duration) {
	if m.isHistoryCurrent() || !m.enabled || m.expelled || m.platformLost ||
		(m.lastReadAt > 0 && now-m.lastReadAt < resendInterval) {
		return
	}
	m.readID++
	m.lastReadAt = max(now, 1)
	m.readEpoch = m.record.Epoch
	m.emit(ReadHistory{
		ReadID:  m.readID,
		Epoch:   m.record.Epoch,
		Members: m.record.Holders(),
	})
}

func (m *Machine) handleHistoryRead(read HistoryRead) {
	if read.ReadID != m.readID || !read.Complete {
		return
	}
	m.historyEpoch = m.readEpoch
	m.ledgerKeys = keySet(read.Keys)
}

// purgeExpired deletes starts that the ledger no longer retains, and released rounds of holders that are neither
// members nor bound to.
func (m *Machine) purgeExpired(now time.Duration) {
	if now-m.lastPurgeAt < time.Minute {
		return
	}
	m.lastPurgeAt = now
	for k, s := range m.started {
		if now-s.lastStartAt > m.settings.Retain {
			delete(m.started, k)
		}
	}
	for h := range m.releasedRounds {
		if !m.record.Has(h) && m.bindings[h] == nil {
			delete(m.releasedRounds, h)
		}
	}
}
