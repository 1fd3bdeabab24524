package laceledger

import (
	"testing"

	"lacewingcove/lib/laceunit"
)

// Guards against a removed process that resumes and opens a grant or uses an old one, and against a fence that excludes
// members or later joiners, or that a fence of an older epoch replaces.
func TestFenceExcludesRemovedHolders(t *testing.T) {
	newHolder := func(id laceunit.InstanceID, incarnation laceunit.Incarnation) laceunit.Holder {
		return laceunit.Holder{
			Instance:    id,
			Incarnation: incarnation,
		}
	}
	openGrant := func(id laceunit.GrantID, h laceunit.Holder) Open {
		return Open{Budget: "b", Grant: id, Holder: h, Tokens: 10, Serial: 1}
	}
	member, removed, laterJoiner := newHolder("i1", 3), newHolder("i2", 5), newHolder("i3", 9)
	s := newTestShard(t, 100)
	s.expect(openGrant("g1", member), Accepted)
	s.expect(openGrant("g2", removed), Accepted)
	s.expect(Fence{Epoch: 7, Members: []laceunit.Holder{member}, MaxIncarnation: 8}, Accepted)
	s.expect(Fence{Epoch: 7, Members: []laceunit.Holder{member}, MaxIncarnation: 8}, Repeated)
	s.expect(Fence{Epoch: 6, Members: []laceunit.Holder{member, removed}, MaxIncarnation: 8}, Superseded)
	s.expect(Intent{Budget: "b", Request: testRequest("r1"), Digest: "d", Grant: "g2", Ceiling: 1, Attempt: "a"},
		Closed)
	s.expect(openGrant("g3", removed), Closed)
	s.expect(Intent{Budget: "b", Request: testRequest("r2"), Digest: "d", Grant: "g1", Ceiling: 1, Attempt: "a"},
		Accepted)
	s.expect(openGrant("g4", laterJoiner), Accepted)
	restored, err := Restore(s.state.Snapshot(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := restored.Fence(); got.Epoch != 7 ||
		!got.excludes(removed) || got.excludes(member) || got.excludes(laterJoiner) {
		t.Fatalf("restored fence %+v", got)
	}
}
