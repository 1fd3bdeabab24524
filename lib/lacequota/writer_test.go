package lacequota

import (
	"testing"
	"time"
)

// Guards against copies of budgets and names of groups that are kept for as long as the process runs.
func TestWriterEvictsIdleAccounts(t *testing.T) {
	w := newWriter(Options{}, nil, &outageGate{}, &eraTracker{})
	now := time.Unix(1_000, 0)
	w.cache["old"] = verifiedBudget{verifiedAt: now.Add(-cacheIdleTimeout)}
	w.cache["new"] = verifiedBudget{verifiedAt: now.Add(-time.Second)}
	w.writtenAt["0/1"] = now.Add(-cacheIdleTimeout)
	w.shortages["old"] = now.Add(-time.Second)
	w.evictIdle(now)
	if _, ok := w.cache["new"]; !ok || len(w.cache) != 1 || len(w.writtenAt) != 0 || len(w.shortages) != 0 {
		t.Errorf("kept %d budgets, %d groups and %d shortages", len(w.cache), len(w.writtenAt), len(w.shortages))
	}
}
