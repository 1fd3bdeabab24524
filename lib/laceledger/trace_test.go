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

// parse turns one line of a trace into a record.
func parse(f []string) Record {
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
		return Open{Budget: "b", Grant: grant(1), Holder: laceunit.Holder{Instance: laceunit.InstanceID(f[2])}, Tokens: tokens(3), Offline: tokens(4), Serial: uint64(tokens(5))}
	case "return":
		return Return{Budget: "b", Grant: grant(1), Tokens: tokens(2), Offline: tokens(3), Serial: uint64(tokens(4))}
	case "close":
		return Close{Budget: "b", Grant: grant(1)}
	case "release":
		return Release{Budget: "b", Grant: grant(1)}
	case "intent":
		return Intent{Budget: "b", Request: req(f[1]), Attempt: attempt(2), Grant: grant(3), Ceiling: tokens(4), Idempotent: f[5] == "idempotent"}
	case "takeover":
		return Takeover{Budget: "b", Request: req(f[1]), From: attempt(2), Attempt: attempt(3), Grant: grant(4)}
	case "settle":
		return Settle{Budget: "b", Request: req(f[1]), Attempt: attempt(2), Tokens: tokens(3)}
	case "void":
		return Void{Budget: "b", Request: req(f[1]), Attempt: attempt(2)}
	case "offline":
		return Offline{Budget: "b", Request: req(f[1]), Attempt: attempt(2), Grant: grant(3), Tokens: tokens(4), Idempotent: true, Finished: f[5] == "finish"}
	}
	panic("unknown record " + f[0])
}

// replay runs a trace and returns the outcome of each line.
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
			e, ok := s.Find(req(f[1]))
			fmt.Fprintf(&out, "known %v, phase %d, attempt %s, tokens %d", ok, e.Phase, e.Attempt, e.Tokens)
		case "balance":
			b, _ := s.Balance("b")
			fmt.Fprintf(&out, "paid %d, settled %d, outstanding %d, grants %+v", b.Paid, b.Settled, b.Outstanding, b.Grants)
		default:
			e, v := s.Propose([]Record{parse(f)}, at, DefaultRetention().Cutoff(at))
			if len(e.Records) > 0 {
				if err := s.Apply(e); err != nil {
					t.Fatal(err)
				}
			}
			fmt.Fprintf(&out, "%s, granted %d, offline %d, left %d", v[0].Result, v[0].Granted, v[0].Offline, v[0].Available)
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		out.WriteByte('\n')
	}
	return out.String()
}

// Guards against a change of any verdict or balance in the recorded faults.
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

// Guards against a recovery that touches live holders, voids early, or voids a request that may have run.
func TestRecover(t *testing.T) {
	s := newShard(t, 300)
	for _, g := range []string{"live", "gone", "lag", "both"} {
		s.expect(open(g, 50, 10), Accepted)
		s.expect(intent("idem-"+g, "1", g, 5), Accepted)
		once := intent("once-"+g, "1", g, 5)
		once.Idempotent = false
		s.expect(once, Accepted)
	}
	holders := func(names ...string) (list []laceunit.Holder) {
		for _, n := range names {
			list = append(list, laceunit.Holder{Instance: laceunit.InstanceID("i-" + n)})
		}
		return list
	}
	live, gone := holders("live", "both"), holders("gone", "both")
	v := s.state.PlanRecovery(live, gone, 599, 600e9)
	if len(v.Records) != 1 || v.Records[0] != (Close{Budget: "b", Grant: "gone"}) {
		t.Fatalf("records %+v", v.Records)
	}
	if len(v.Unresolved) != 1 || v.Unresolved[0].Request.ID != "once-gone" {
		t.Fatalf("ask %+v", v.Unresolved)
	}
	for _, r := range s.state.PlanRecovery(live, gone, 600, 600e9).Records {
		s.expect(r, Accepted)
	}
	if v = s.state.PlanRecovery(live, gone, 10000, 600e9); len(v.Records) != 0 || len(v.Unresolved) != 1 {
		t.Fatalf("second recovery %+v", v)
	}
	if e, _ := s.state.Find(req("idem-gone")); e.Phase != PhaseVoid {
		t.Fatalf("phase %d", e.Phase)
	}
}
