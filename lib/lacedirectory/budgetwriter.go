package lacedirectory

import (
	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// BudgetWriter returns the instance that writes the budgets of a group of accounts: the first in rendezvous order of
// the active members that watch the store, whose links are wide. It returns false if there is none.
func (d *Directory) BudgetWriter(group string) (laceunit.InstanceID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeSet()
	return selectBudgetWriter(group, d.watcherList, d.active)
}

func selectBudgetWriter(
	group string, watchers []Member, active map[laceunit.InstanceID]bool,
) (laceunit.InstanceID, bool) {
	var writer laceunit.InstanceID
	var best uint64
	for _, m := range watchers {
		id := m.Holder.Instance
		if !active[id] {
			continue
		}
		if score := xxhash.Sum64String(group + "/" + string(id)); writer == "" || score > best {
			writer, best = id, score
		}
	}
	return writer, writer != ""
}
