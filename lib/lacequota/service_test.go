package lacequota

import (
	"context"
	"testing"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// conflictingStore is a store in which another writer changes the entry before each of the first writes.
type conflictingStore struct {
	entry     laceplatform.Entry
	conflicts int
	writes    int
}

// SwapAll implements laceplatform.Batcher.
func (c *conflictingStore) SwapAll(_ context.Context, swaps []laceplatform.Swap) (laceplatform.Revision, error) {
	c.writes++
	if c.conflicts > 0 {
		c.conflicts--
		c.entry.Revision++
	}
	s := swaps[0]
	if s.Expect != c.entry.Revision {
		conflict := &laceplatform.Conflict{}
		if c.entry.Revision > 0 {
			c.entry.Key = s.Key
			conflict.Entries = append(conflict.Entries, c.entry)
		}
		return 0, conflict
	}
	c.entry.Value, c.entry.Revision = s.Value, c.entry.Revision+1
	return c.entry.Revision, nil
}

type singleInstance struct{}

// Size implements Members.
func (singleInstance) Size() int { return 1 }

// HasStandby implements Members.
func (singleInstance) HasStandby() bool { return false }

// Active implements Members.
func (singleInstance) Active() bool { return true }

// Live implements Members.
func (singleInstance) Live(laceunit.Holder) bool { return true }

// Ended implements Members.
func (singleInstance) Ended(laceunit.Holder) bool { return false }

// HasEarlier implements Members.
func (singleInstance) HasEarlier(laceplatform.Era) bool { return false }

// Guards against reads, which cost money, of budgets that the answer to a conflicting write already contains.
func TestUpdateTakesBudgetsFromConflicts(t *testing.T) {
	const account = "coop"
	store := &conflictingStore{conflicts: 2}
	s := New(Options{
		Store:   store,
		Members: singleInstance{},
		Log:     lacelog.Discard(),
	})
	s.Configure(laceroute.NewTable(laceroute.Document{
		Version: 1,
		Accounts: []laceroute.Account{{
			ID:      account,
			Paid:    1000,
			Prepaid: true,
		}},
	}))
	if err := s.update(t.Context(), []laceunit.AccountID{account}); err != nil {
		t.Fatal(err)
	}
	if store.writes != 3 {
		t.Errorf("%d writes, want 3", store.writes)
	}
	if v, state := s.Reserve(t.Context(), account, 10); v != Reserved {
		t.Errorf("verdict %d after the update: %+v", v, state)
	}
}
