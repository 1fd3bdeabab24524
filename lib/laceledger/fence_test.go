package laceledger

import (
	"testing"

	"lacewingcove/lib/laceunit"
)

// Guards against a removed process that wakes and opens a grant or uses an old one, and against a fence that shuts out
// members, later joiners, or that an older membership undoes.
func TestFenceShutsOutRemovedHolders(t *testing.T) {
	holder := func(name laceunit.InstanceID, incarnation laceunit.Incarnation) laceunit.Holder {
		return laceunit.Holder{
			Instance:    name,
			Incarnation: incarnation,
		}
	}
	grant := func(name laceunit.GrantID, h laceunit.Holder) Open {
		return Open{Budget: "b", Grant: name, Holder: h, Tokens: 10, Serial: 1}
	}
	stays, removed, later := holder("i1", 3), holder("i2", 5), holder("i3", 9)
	s := newShard(t, 100)
	s.expect(grant("g1", stays), Accepted)
	s.expect(grant("g2", removed), Accepted)
	s.expect(Fence{Epoch: 7, Members: []laceunit.Holder{stays}, MaxIncarnation: 8}, Accepted)
	s.expect(Fence{Epoch: 7, Members: []laceunit.Holder{stays}, MaxIncarnation: 8}, Repeated)
	s.expect(Fence{Epoch: 6, Members: []laceunit.Holder{stays, removed}, MaxIncarnation: 8}, Superseded)
	s.expect(Intent{Budget: "b", Request: req("r1"), Digest: "d", Grant: "g2", Ceiling: 1, Attempt: "a"}, Closed)
	s.expect(grant("g3", removed), Closed)
	s.expect(Intent{Budget: "b", Request: req("r2"), Digest: "d", Grant: "g1", Ceiling: 1, Attempt: "a"}, Accepted)
	s.expect(grant("g4", later), Accepted)
	restored, err := Restore(s.state.Snapshot(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := restored.Fence(); got.Epoch != 7 || !got.bars(removed) || got.bars(stays) || got.bars(later) {
		t.Fatalf("restored fence %+v", got)
	}
}
