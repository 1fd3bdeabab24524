package laceledger

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"lacewingcove/lib/laceunit"
)

// testShard applies single-record entries to a state and checks the invariants after each.
type testShard struct {
	t     *testing.T
	state State
	at    int64
}

func newTestShard(t *testing.T, paid laceunit.Tokens) *testShard {
	s := &testShard{t: t}
	s.expect(TopUp{Budget: "b", Account: "a", ID: "t0", Tokens: paid}, Accepted)
	return s
}

// expect proposes a record, checks the result, and applies the entry.
func (s *testShard) expect(r Record, want Result) Verdict {
	s.t.Helper()
	e, vs := s.state.Propose([]Record{r}, s.at, DefaultRetention().Cutoff(s.at))
	if vs[0].Result != want {
		s.t.Fatalf("%#v: result %d, want %d", r, vs[0].Result, want)
	}
	if len(e.Records) > 0 {
		if err := s.state.Apply(e); err != nil {
			s.t.Fatal(err)
		}
	}
	if err := s.state.Check(); err != nil {
		s.t.Fatal(err)
	}
	return vs[0]
}

// expectBalance checks the settled and outstanding tokens of the budget.
func (s *testShard) expectBalance(settled, outstanding laceunit.Tokens) {
	s.t.Helper()
	b, _ := s.state.Balance("b")
	if b.Settled != settled || b.Outstanding != outstanding {
		s.t.Fatalf("settled %d, outstanding %d, want %d, %d", b.Settled, b.Outstanding, settled, outstanding)
	}
}

func testRequest(id string) Request { return Request{Account: "a", ID: laceunit.RequestID(id)} }

func open(grant string, tokens, offline laceunit.Tokens) Open {
	return Open{
		Budget: "b", Grant: laceunit.GrantID(grant),
		Holder: laceunit.Holder{Instance: laceunit.InstanceID("i-" + grant)},
		Tokens: tokens, Offline: offline,
	}
}

func intent(id, attempt, grant string, ceiling laceunit.Tokens) Intent {
	return Intent{
		Budget: "b", Request: testRequest(id), Digest: "d", Grant: laceunit.GrantID(grant),
		Ceiling: ceiling, Attempt: laceunit.AttemptID(attempt), Idempotent: true,
	}
}

func settle(id, attempt string, tokens laceunit.Tokens) Settle {
	return Settle{Budget: "b", Request: testRequest(id), Attempt: laceunit.AttemptID(attempt), Tokens: tokens}
}

func void(id, attempt string) Void {
	return Void{Budget: "b", Request: testRequest(id), Attempt: laceunit.AttemptID(attempt)}
}

func offline(id, attempt, grant string, tokens laceunit.Tokens, finished bool) Offline {
	return Offline{
		Budget: "b", Request: testRequest(id), Digest: "d", Grant: laceunit.GrantID(grant),
		Attempt: laceunit.AttemptID(attempt), Tokens: tokens, Finished: finished, Idempotent: true,
	}
}

// Guards against an intent that arrives after the void of its request and opens the request for good: every retry would
// then be answered with the outcome "unknown".
func TestDelayedIntentAfterVoidIsRejected(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 50, 0), Accepted)
	v := void("r", "1")
	v.Digest, v.Idempotent = "d", true
	s.expect(v, Accepted)
	s.expect(v, Repeated)
	s.expect(intent("r", "1", "g", 10), Superseded)
	s.expect(intent("r", "2", "g", 10), Accepted)
	s.expect(settle("r", "2", 7), Accepted)
	s.expectBalance(7, 43)
}

// Guards against top-ups that are counted twice, and top-up ids reused for another amount or another client account.
func TestTopUpIsIdempotent(t *testing.T) {
	s := newTestShard(t, 10)
	s.expect(TopUp{Budget: "b", Account: "a", ID: "t0", Tokens: 10}, Repeated)
	s.expect(TopUp{Budget: "b", Account: "a", ID: "t0", Tokens: 11}, Conflict)
	s.expect(TopUp{Budget: "b", Account: "other", ID: "t1", Tokens: 1}, Conflict)
	s.expect(TopUp{Budget: "b", Account: "a", ID: "t2", Tokens: 1<<63 - 1}, Invalid)
	s.expect(TopUp{Budget: "b", Account: "a", ID: "t2", Tokens: 0}, Invalid)
	if b, _ := s.state.Balance("b"); b.Paid != 10 {
		t.Fatalf("paid %d", b.Paid)
	}
}

// Guards against grants that exceed the available tokens, and against a repeated Open or Return that is applied twice.
func TestOpenAndReturn(t *testing.T) {
	s := newTestShard(t, 100)
	first := open("g", 80, 40)
	first.Serial = 1
	if v := s.expect(first, Accepted); v.Granted != 80 || v.Offline != 40 || v.Available != 20 {
		t.Fatalf("verdict %+v", v)
	}
	if v := s.expect(first, Repeated); v.Granted != 80 {
		t.Fatalf("verdict %+v", v)
	}
	partial := open("h", 50, 0)
	partial.MinTokens = 30
	s.expect(partial, InsufficientTokens)
	partial.MinTokens = 20
	if v := s.expect(partial, Accepted); v.Granted != 20 || v.Available != 0 {
		t.Fatalf("verdict %+v", v)
	}
	s.expect(open("k", 1, 0), InsufficientTokens)
	otherHolder := open("g", 1, 0)
	otherHolder.Holder.Incarnation = 9
	s.expect(otherHolder, Conflict)
	returned := Return{Budget: "b", Grant: "g", Tokens: 50, Offline: 25, Serial: 2}
	if v := s.expect(returned, Accepted); v.Offline != 25 || v.Available != 50 {
		t.Fatalf("verdict %+v", v)
	}
	s.expect(returned, Repeated)
	s.expect(Return{Budget: "b", Grant: "g", Tokens: 31}, InsufficientTokens)
	s.expectBalance(0, 50)
	delayedOpen := open("gone", 5, 0)
	delayedOpen.Serial = 2
	s.expect(delayedOpen, Closed)
}

// Guards against a request billed twice, billed above its ceiling, or billed by a superseded attempt.
func TestRequestIsBilledOnce(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 50, 0), Accepted)
	s.expect(open("h", 50, 0), Accepted)
	s.expect(intent("r", "1", "g", 60), InsufficientTokens)
	s.expect(intent("r", "1", "g", 30), Accepted)
	s.expect(intent("r", "1", "g", 30), Repeated)
	if v := s.expect(intent("r", "2", "h", 30), Duplicate); v.Existing.Attempt != "1" || v.Existing.Phase != PhaseOpen {
		t.Fatalf("existing %+v", v.Existing)
	}
	reusedID := intent("r", "2", "h", 30)
	reusedID.Digest = "e"
	s.expect(reusedID, Conflict)
	s.expect(Takeover{Budget: "b", Request: testRequest("r"), From: "0", Attempt: "2", Grant: "h"}, Superseded)
	s.expect(Takeover{Budget: "b", Request: testRequest("r"), From: "1", Attempt: "2", Grant: "h"}, Accepted)
	s.expect(Takeover{Budget: "b", Request: testRequest("r"), From: "1", Attempt: "2", Grant: "h"}, Repeated)
	s.expect(settle("r", "1", 30), Superseded)
	s.expect(void("r", "1"), Superseded)
	s.expectBalance(0, 100)
	if v := s.expect(settle("r", "2", 99), Accepted); v.Granted != 30 {
		t.Fatalf("billed %d", v.Granted)
	}
	if v := s.expect(settle("r", "2", 99), Repeated); v.Granted != 30 {
		t.Fatalf("billed %d", v.Granted)
	}
	s.expect(settle("r", "1", 30), Superseded)
	s.expect(void("r", "2"), Superseded)
	s.expect(intent("r", "3", "g", 30), Duplicate)
	s.expectBalance(30, 70)
}

// Guards against a voided request that can't be retried, and against a delayed intent that reopens it.
func TestIntentAfterVoid(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 50, 0), Accepted)
	s.expect(intent("r", "1", "g", 30), Accepted)
	s.expect(void("r", "1"), Accepted)
	s.expect(void("r", "1"), Repeated)
	s.expect(intent("r", "1", "g", 30), Superseded)
	reusedID := intent("r", "2", "g", 30)
	reusedID.Digest = "e"
	s.expect(reusedID, Conflict)
	s.expect(intent("r", "2", "g", 50), Accepted)
	s.expect(settle("r", "1", 30), Superseded)
	s.expect(settle("r", "2", 20), Accepted)
	s.expectBalance(20, 30)
}

// Guards against a close that returns tokens which the holder may still spend offline, or that retains any others.
func TestCloseAndRelease(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 100, 60), Accepted)
	s.expect(intent("r", "1", "g", 30), Accepted)
	s.expect(Release{Budget: "b", Grant: "g"}, Invalid)
	s.expect(Close{Budget: "b", Grant: "g"}, Accepted)
	s.expect(Close{Budget: "b", Grant: "g"}, Repeated)
	s.expectBalance(0, 90)
	s.expect(intent("q", "1", "g", 1), Closed)
	s.expect(open("g", 1, 0), Closed)
	s.expect(Return{Budget: "b", Grant: "g", Tokens: 1}, Closed)
	s.expect(settle("r", "1", 10), Accepted)
	s.expectBalance(10, 60)
	s.expect(offline("o", "1", "g", 61, true), InsufficientTokens)
	s.expect(offline("o", "1", "g", 20, false), Accepted)
	if v := s.expect(Release{Budget: "b", Grant: "g"}, Accepted); v.Granted != 40 {
		t.Fatalf("released %d", v.Granted)
	}
	s.expect(Release{Budget: "b", Grant: "g"}, Repeated)
	s.expectBalance(10, 20)
	s.expect(offline("o", "1", "g", 5, true), Accepted)
	s.expectBalance(15, 0)
	s.expect(Release{Budget: "b", Grant: "g"}, Closed)
	s.expect(offline("p", "1", "g", 1, true), Closed)
}

// Guards against an offline allowance that shrinks by ceilings instead of billed tokens during an outage. The unused
// part of a reservation must be available to later requests.
func TestUnusedOfflineReservationCanBeSpentAgain(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 60, 60), Accepted)
	s.expect(Close{Budget: "b", Grant: "g"}, Accepted)
	s.expect(offline("r", "1", "g", 20, false), Accepted)
	s.expect(offline("r", "1", "g", 5, true), Accepted)
	s.expect(offline("q", "1", "g", 55, false), Accepted)
	s.expect(offline("q", "1", "g", 55, true), Accepted)
	s.expectBalance(60, 0)
}

// Guards against billing a request twice that ran on both sides of a network partition.
func TestOfflineDuplicate(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 50, 50), Accepted)
	s.expect(open("h", 50, 50), Accepted)
	s.expect(intent("r", "1", "g", 30), Accepted)
	s.expect(offline("r", "2", "h", 30, false), Duplicate)
	if v := s.expect(offline("r", "2", "h", 20, true), Accepted); v.Granted != 20 {
		t.Fatalf("billed %d", v.Granted)
	}
	s.expectBalance(20, 80)
	s.expect(settle("r", "1", 30), Superseded)
	s.expect(offline("r", "1", "g", 30, true), Duplicate)
	s.expect(offline("r", "2", "h", 20, true), Repeated)
	s.expectBalance(20, 80)
	s.expect(intent("q", "1", "g", 50), Accepted)
	s.expect(void("q", "1"), Accepted)
	s.expect(offline("q", "1", "g", 50, false), Superseded)
	s.expect(offline("q", "1", "g", 40, true), Accepted)
	s.expectBalance(60, 40)
}

// Guards against responses that are lost or stored unnecessarily.
func TestResponseIsStored(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 100, 0), Accepted)
	for i, c := range []struct {
		size       int
		idempotent bool
		stored     bool
	}{{MaxResponseBytes, false, true}, {MaxResponseBytes + 1, false, false}, {1, true, false}} {
		id := fmt.Sprint("r", i)
		r := intent(id, "1", "g", 1)
		r.Idempotent = c.idempotent
		s.expect(r, Accepted)
		d := settle(id, "1", 1)
		d.Response = &Response{Status: 201, ContentType: "text/plain", Body: make([]byte, c.size)}
		s.expect(d, Accepted)
		e, ok := s.state.Find(testRequest(id))
		if !ok || (e.Response != nil) != c.stored {
			t.Fatalf("case %d: response %v", i, e.Response)
		}
	}
}

// Guards against ended requests that expire too early or never, and against open requests that expire.
func TestRetention(t *testing.T) {
	s := newTestShard(t, 100)
	s.expect(open("g", 100, 0), Accepted)
	s.expect(intent("open", "1", "g", 1), Accepted)
	s.expect(intent("idem", "1", "g", 1), Accepted)
	nonIdempotent := intent("once", "1", "g", 1)
	nonIdempotent.Idempotent = false
	s.expect(nonIdempotent, Accepted)
	s.expect(settle("idem", "1", 1), Accepted)
	s.expect(settle("once", "1", 1), Accepted)
	expectRetained := func(want ...bool) {
		t.Helper()
		for i, id := range []string{"open", "idem", "once"} {
			if _, ok := s.state.Find(testRequest(id)); ok != want[i] {
				t.Fatalf("at %d: %s retained: %v", s.at, id, ok)
			}
		}
	}
	for _, c := range []struct {
		at   int64
		want []bool
	}{
		{3600, []bool{true, true, true}},
		{3601, []bool{true, false, true}},
		{86400, []bool{true, false, true}},
		{86401, []bool{true, false, false}},
	} {
		s.at = c.at
		s.expect(TopUp{Budget: "b", Account: "a", ID: laceunit.TopUpID(fmt.Sprint(c.at)), Tokens: 1}, Accepted)
		expectRetained(c.want...)
	}
}

// Guards against a batch whose records are all validated against the state before the batch, without the effects of the
// preceding records.
func TestBatchIsValidatedInOrder(t *testing.T) {
	s := newTestShard(t, 100)
	e, vs := s.state.Propose([]Record{
		open("g", 60, 0), open("h", 60, 0), intent("r", "1", "g", 60), intent("q", "1", "g", 1), nil,
	}, 0, Cutoff{})
	want := []Result{Accepted, Accepted, Accepted, InsufficientTokens, Invalid}
	for i, v := range vs {
		if v.Result != want[i] {
			t.Fatalf("record %d: result %d", i, v.Result)
		}
	}
	if vs[1].Granted != 40 || len(e.Records) != 3 {
		t.Fatalf("granted %d, %d records", vs[1].Granted, len(e.Records))
	}
	before := s.state.Snapshot()
	invalid := e
	invalid.Records = append(invalid.Records, open("k", 1, 0))
	if err := s.state.Apply(invalid); !errors.Is(err, ErrEntry) {
		t.Fatalf("got %v", err)
	}
	if !reflect.DeepEqual(before, s.state.Snapshot()) {
		t.Fatal("a rejected entry changed the state")
	}
	if err := s.state.Apply(e); err != nil {
		t.Fatal(err)
	}
	if err := s.state.Apply(e); !errors.Is(err, ErrSequence) {
		t.Fatalf("got %v", err)
	}
}
