package laceledger

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceunit"
)

// parseRecord parses the fields of one trace line into a record.
func parseRecord(f []string) Record {
	tokens := func(i int) laceunit.Tokens {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			panic(err)
		}
		return laceunit.Tokens(n)
	}
	grant := func(i int) laceunit.GrantID { return laceunit.GrantID(f[i]) }
	attempt := func(i int) laceunit.AttemptID { return laceunit.AttemptID(f[i]) }
	switch f[0] {
	case "topup":
		return TopUp{Budget: "b", Account: "a", ID: laceunit.TopUpID(f[2]), Tokens: tokens(3)}
	case "open":
		return Open{
			Budget: "b", Grant: grant(1), Holder: laceunit.Holder{Instance: laceunit.InstanceID(f[2])},
			Tokens: tokens(3), Offline: tokens(4), Serial: uint64(tokens(5)),
		}
	case "return":
		return Return{Budget: "b", Grant: grant(1), Tokens: tokens(2), Offline: tokens(3), Serial: uint64(tokens(4))}
	case "close":
		return Close{Budget: "b", Grant: grant(1)}
	case "release":
		return Release{Budget: "b", Grant: grant(1)}
	case "intent":
		return Intent{
			Budget: "b", Request: testRequest(f[1]), Attempt: attempt(2), Grant: grant(3),
			Ceiling: tokens(4), Idempotent: f[5] == "idempotent",
		}
	case "takeover":
		return Takeover{Budget: "b", Request: testRequest(f[1]), From: attempt(2), Attempt: attempt(3), Grant: grant(4)}
	case "settle":
		return Settle{Budget: "b", Request: testRequest(f[1]), Attempt: attempt(2), Tokens: tokens(3)}
	case "void":
		return Void{Budget: "b", Request: testRequest(f[1]), Attempt: attempt(2)}
	case "offline":
		return Offline{
			Budget: "b", Request: testRequest(f[1]), Attempt: attempt(2), Grant: grant(3),
			Tokens: tokens(4), Idempotent: true, Finished: f[5] == "finish",
		}
	}
	panic("unknown record " + f[0])
}

// replay applies a trace to an empty state and returns the outcome of each line.
func replay(t *testing.T, text string) string {
	var out strings.Builder
	var s State
	at := int64(0)
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		fmt.Fprintf(&out, "%-36s", strings.Join(f, " "))
		switch f[0] {
		case "time":
			at, _ = strconv.ParseInt(f[1], 10, 64)
		case "find":
			e, ok := s.Find(testRequest(f[1]))
			fmt.Fprintf(&out, "known %v, phase %d, attempt %s, tokens %d", ok, e.Phase, e.Attempt, e.Tokens)
		case "balance":
			b, _ := s.Balance("b")
			fmt.Fprintf(&out, "paid %d, settled %d, outstanding %d, grants %+v", b.Paid, b.Settled, b.Outstanding, b.Grants)
		default:
			e, v := s.Propose([]Record{parseRecord(f)}, at, DefaultRetention().Cutoff(at))
			if len(e.Records) > 0 {
				if err := s.Apply(e); err != nil {
					t.Fatal(err)
				}
			}
			fmt.Fprintf(&out, "%s, granted %d, offline %d, left %d", v[0].Result, v[0].Granted, v[0].Offline,
				v[0].Available)
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		out.WriteByte('\n')
	}
	return out.String()
}

// Guards against any change of verdicts or balances in the recorded fault scenarios.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) != 3 {
		t.Fatalf("traces %v, %v", files, err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, strings.TrimSuffix(filepath.Base(f), ".trace"), []byte(replay(t, string(b))))
	}
}

// Guards against a recovery that affects live holders, voids too early, or voids a request that may have run.
func TestPlanRecovery(t *testing.T) {
	s := newTestShard(t, 300)
	for _, g := range []string{"live", "gone", "lag", "both"} {
		s.expect(open(g, 50, 10), Accepted)
		s.expect(intent("idem-"+g, "1", g, 5), Accepted)
		nonIdempotent := intent("once-"+g, "1", g, 5)
		nonIdempotent.Idempotent = false
		s.expect(nonIdempotent, Accepted)
	}
	holders := func(names ...string) (list []laceunit.Holder) {
		for _, n := range names {
			list = append(list, laceunit.Holder{Instance: laceunit.InstanceID("i-" + n)})
		}
		return list
	}
	live, removed := holders("live", "both"), holders("gone", "both")
	plan := s.state.PlanRecovery(live, removed, 599, 600e9)
	if len(plan.Records) != 1 || plan.Records[0] != (Close{Budget: "b", Grant: "gone"}) {
		t.Fatalf("records %+v", plan.Records)
	}
	if len(plan.Unresolved) != 1 || plan.Unresolved[0].Request.ID != "once-gone" {
		t.Fatalf("unresolved %+v", plan.Unresolved)
	}
	for _, r := range s.state.PlanRecovery(live, removed, 600, 600e9).Records {
		s.expect(r, Accepted)
	}
	if plan = s.state.PlanRecovery(live, removed, 10000, 600e9); len(plan.Records) != 0 || len(plan.Unresolved) != 1 {
		t.Fatalf("second recovery %+v", plan)
	}
	if e, _ := s.state.Find(testRequest("idem-gone")); e.Phase != PhaseVoid {
		t.Fatalf("phase %d", e.Phase)
	}
}
