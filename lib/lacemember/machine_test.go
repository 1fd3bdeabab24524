package lacemember

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

func testMember(i int) Member {
	return Member{
		Holder:  laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", i)), Incarnation: laceunit.Incarnation(i + 1)},
		Address: laceunit.Address(fmt.Sprint("a", i)),
	}
}

func testRecord(n int) Record {
	var r Record
	for i := range n {
		r = r.Join(testMember(i))
	}
	return r
}

// machineWithoutPlatform returns the enabled machine of the first member, with a current history and the platform lost.
func machineWithoutPlatform(r Record) *Machine {
	m := New(testMember(0).Holder, Settings{})
	m.Step(0, RecordCommitted{Record: r})
	for _, e := range m.Step(time.Second, Tick{}) {
		if read, ok := e.(ReadHistory); ok {
			m.Step(time.Second, HistoryRead{ReadID: read.ReadID, Complete: true})
		}
	}
	m.Step(time.Second, HistoryRead{ReadID: m.readID, Complete: true})
	m.Step(2*time.Second, PlatformLost{})
	return m
}

func promiseAskFrom(r Record, i int, round uint64) Received {
	return Received{Message: PromiseAsk{Home: testMember(i).Holder, Epoch: r.Epoch, Round: round}}
}

func grantsPromise(effects []Effect) bool {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			if p, ok := s.Message.(PromiseReply); ok && p.Granted {
				return true
			}
		}
	}
	return false
}

// Guards against a promise for an epoch older than the member's own. A joiner that has already received the member's
// bindings would lack this one and could run the home's requests.
func TestPromiseOnlyForCurrentEpoch(t *testing.T) {
	r := testRecord(4)
	m := machineWithoutPlatform(r)
	if !grantsPromise(m.Step(3*time.Second, promiseAskFrom(r, 1, 1))) {
		t.Fatal("no promise for the current epoch")
	}
	m.Step(3*time.Second, RecordCommitted{Record: r.Join(testMember(5))})
	if grantsPromise(m.Step(3*time.Second, promiseAskFrom(r, 2, 1))) {
		t.Fatal("promise for an earlier epoch")
	}
}

// Guards against a promise to a home while its removal may already be written.
func TestNoPromiseAfterProposedRemoval(t *testing.T) {
	r := testRecord(4)
	m := machineWithoutPlatform(r)
	m.Remove([]laceunit.Holder{testMember(1).Holder})
	if grantsPromise(m.Step(3*time.Second, promiseAskFrom(r, 1, 1))) {
		t.Fatal("promise while the result of the removal is unknown")
	}
	m.Step(3*time.Second, RemovalFailed{})
	if !grantsPromise(m.Step(3*time.Second, promiseAskFrom(r, 1, 1))) {
		t.Fatal("no promise after the removal has failed")
	}
}

// Guards against a joiner that runs requests while an earlier member may have outage authority.
func TestJoinerWaitsForEarlierMembers(t *testing.T) {
	r := testRecord(3).Join(testMember(7))
	j := New(testMember(7).Holder, Settings{})
	j.Step(0, RecordCommitted{Record: r})
	removed := testRecord(3).Holders()
	j.Step(0, RecordCommitted{Record: j.Remove(removed)})
	if j.Enabled() {
		t.Fatal("enabled although the removed members may only be paused")
	}
	if d := j.Authorize(0, laceledger.Request{ID: "x"}, false); d.Verdict != Refuse {
		t.Fatalf("%+v", d)
	}
	r = j.Record()
	for i := range 3 {
		m := testMember(i)
		m.Holder.Incarnation += 100
		r = r.Join(m)
	}
	j.Step(0, RecordCommitted{Record: r})
	if !j.Enabled() {
		t.Fatal("not enabled although newer incarnations have all their addresses")
	}
}

// Guards against a binding to a silent home that is dropped by a timeout without seals.
func TestSilentHomeNeedsSeals(t *testing.T) {
	r := testRecord(5)
	m := machineWithoutPlatform(r)
	m.settings.Consistency = laceunit.ConsistencyAvailable
	m.Step(2*time.Second, promiseAskFrom(r, 1, 1))
	m.Step(3*time.Second, PlatformRestored{})
	request := requestWithHome(t, r, 1, 0)
	for now := 4 * time.Second; now < 20*time.Minute; now += time.Second {
		m.Step(now, Tick{})
	}
	now := 20 * time.Minute
	if d := m.Authorize(now, request, false); d.Code != lacefault.WrongInstance || d.RedirectAddress != "a1" {
		t.Fatalf("%+v", d)
	}
	for i, w := range r.Witnesses(testMember(1).Holder)[:2] {
		if d := m.Authorize(now, request, false); d.Verdict != Refuse {
			t.Fatalf("after %d seals: %+v", i, d)
		}
		m.Step(now, Received{Message: SealReply{From: w.Holder, Home: testMember(1).Holder, Flushed: true}})
	}
	if d := m.Authorize(now, request, false); d.Verdict != Online {
		t.Fatalf("%+v", d)
	}
}

// Guards against authority in a fleet where the loss of two members loses the record of a run.
func TestTwoMemberFleetHasNoAuthority(t *testing.T) {
	m := machineWithoutPlatform(testRecord(2))
	if m.Step(3*time.Second, Tick{}); m.phase != phaseIdle {
		t.Fatalf("phase %d", m.phase)
	}
	if d := m.Authorize(3*time.Second, laceledger.Request{ID: "x"}, false); d.Verdict != Refuse || d.RetryAfter <= 0 {
		t.Fatalf("%+v", d)
	}
}

// Guards against requests whose home changes although it is still a member.
func TestRemovalMovesOnlyKeysOfRemovedHome(t *testing.T) {
	r := testRecord(7)
	after := r.Leave(testMember(3).Holder)
	for k := range Key(2000) {
		a, _ := r.Home(k * 0x9e3779b97f4a7c15)
		b, _ := after.Home(k * 0x9e3779b97f4a7c15)
		if a != b && a.Holder != testMember(3).Holder {
			t.Fatalf("key %d moved from %v to %v", k, a.Holder, b.Holder)
		}
	}
}

// requestWithHome returns a request with the given home whose id is at least from.
func requestWithHome(t *testing.T, r Record, home, from int) laceledger.Request {
	t.Helper()
	for i := from; i < from+1000; i++ {
		q := laceledger.Request{ID: laceunit.RequestID(fmt.Sprint(i))}
		if h, _ := r.Home(KeyOf(q)); h.Holder == testMember(home).Holder {
			return q
		}
	}
	t.Fatal("found no request with this home")
	return laceledger.Request{}
}
