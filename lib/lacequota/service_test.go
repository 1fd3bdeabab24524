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
	laceplatform.Store

	entry  laceplatform.Entry
	others int
	reads  int
	writes int
}

// Get implements laceplatform.Store.
func (c *contested) Get(context.Context, laceplatform.Key) (laceplatform.Entry, error) {
	c.reads++
	if c.entry.Revision == 0 {
		return laceplatform.Entry{}, laceplatform.ErrMissing
	}
	return c.entry, nil
}

// Swap implements laceplatform.Store.
func (c *contested) Swap(_ context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	c.writes++
	if c.others > 0 {
		c.others--
		c.entry.Revision++
	}
	if s.Expect != c.entry.Revision {
		return 0, &laceplatform.Conflict{Entry: c.entry}
	}
	c.entry.Value, c.entry.Revision = s.Value, c.entry.Revision+1
	return c.entry.Revision, nil
}

type alone struct{}

// Count implements Members.
func (alone) Size() int { return 1 }

// Live implements Members.
func (alone) Live(laceunit.Holder) bool { return true }

// Ended implements Members.
func (alone) Ended(laceunit.Holder) bool { return false }

// Guards against a read, which is priced, for what the answer to a write that met another one has told already.
func TestConflictsAreNotReadAgain(t *testing.T) {
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
	if err := s.draw(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if store.reads != 1 || store.writes != 3 {
		t.Errorf("%d reads and %d writes instead of 1 and 3", store.reads, store.writes)
	}
	if v, state := s.Reserve(t.Context(), account, 10); v != Held {
		t.Errorf("verdict %d after the draw: %+v", v, state)
	}
}
