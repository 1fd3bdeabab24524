package lacequota

import (
	"context"
	"testing"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// contested is a store whose page another writer changes before each of the first writes.
type contested struct {
	entry  laceplatform.Entry
	others int
	writes int
}

// SwapAll implements laceplatform.Batcher.
func (c *contested) SwapAll(_ context.Context, swaps []laceplatform.Swap) (laceplatform.Revision, error) {
	c.writes++
	if c.others > 0 {
		c.others--
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

type alone struct{}

// Size implements Members.
func (alone) Size() int { return 1 }

// Reserves implements Members.
func (alone) Reserves() bool { return false }

// Active implements Members.
func (alone) Active() bool { return true }

// Live implements Members.
func (alone) Live(laceunit.Holder) bool { return true }

// Ended implements Members.
func (alone) Ended(laceunit.Holder) bool { return false }

// Guards against reads, which are priced, for what the answer to a write that met another one tells.
func TestPagesAreNotRead(t *testing.T) {
	const account = "coop"
	store := &contested{others: 2}
	s := New(Options{
		Store:   store,
		Members: alone{},
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
	if err := s.draw(t.Context(), []laceunit.AccountID{account}); err != nil {
		t.Fatal(err)
	}
	if store.writes != 3 {
		t.Errorf("%d writes instead of 3", store.writes)
	}
	if v, state := s.Reserve(t.Context(), account, 10); v != Reserved {
		t.Errorf("verdict %d after the draw: %+v", v, state)
	}
}
