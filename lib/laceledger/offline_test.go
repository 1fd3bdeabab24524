package laceledger

import (
	"testing"

	"lacewingcove/lib/laceunit"
)

// Guards against a non-idempotent call that ran offline, whose grant is gone from the ledger, and that a retry would
// run again because its id was not kept.
func TestOfflineCallOfAGoneGrantKeepsItsID(t *testing.T) {
	var s State
	request := Request{
		Account: "acme",
		ID:      "o1",
	}
	verdicts := func(records ...Record) []Verdict {
		t.Helper()
		e, v := s.Propose(records, 1, Cutoff{})
		if len(e.Records) > 0 {
			if err := s.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		return v
	}
	verdicts(
		TopUp{Budget: "acme/main", Account: "acme", ID: "t", Tokens: 100},
		Open{Budget: "acme/main", Grant: "g1", Holder: laceunit.Holder{Instance: "i1", Incarnation: 1}, Tokens: 50, Offline: 50, Serial: 1},
		Close{Budget: "acme/main", Grant: "g1"},
		Release{Budget: "acme/main", Grant: "g1", Actor: "operator"},
		Open{Budget: "acme/main", Grant: "g2", Holder: laceunit.Holder{Instance: "i2", Incarnation: 2}, Tokens: 50, Serial: 1},
	)
	for _, finished := range []bool{false, true} {
		v := verdicts(Offline{
			Budget:   "acme/main",
			Request:  request,
			Digest:   "d",
			Grant:    "g1",
			Attempt:  "a",
			Tokens:   20,
			Finished: finished,
		})
		if v[0].Result != Accepted || v[0].Granted != 0 {
			t.Fatalf("finished %v: %+v", finished, v[0])
		}
	}
	v := verdicts(Intent{Budget: "acme/main", Request: request, Digest: "d", Grant: "g2", Ceiling: 20, Attempt: "b"})
	if v[0].Result != Duplicate || v[0].Existing.Phase != PhaseSettled {
		t.Fatalf("the retry got %+v", v[0])
	}
}
