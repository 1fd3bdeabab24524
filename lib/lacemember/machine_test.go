package lacemember

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

func memberOf(i int) Member {
	return Member{
		Holder:  laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", i)), Incarnation: laceunit.Incarnation(i + 1)},
		Address: laceunit.Address(fmt.Sprint("a", i)),
	}
}

func recordOf(n int) Record {
	var r Record
	for i := range n {
		r = r.Join(memberOf(i))
	}
	return r
}

// lostMember returns an enabled machine of the first member that knows the ledger and has lost the platform.
func lostMember(r Record) *Machine {
	m := New(memberOf(0).Holder, Settings{})
	m.Step(0, RecordCommitted{Record: r})
	for _, e := range m.Step(time.Second, Tick{}) {
		if read, ok := e.(ReadHistory); ok {
			m.Step(time.Second, HistoryRead{ReadID: read.ReadID, Complete: true})
		}
	}
	m.Step(time.Second, HistoryRead{ReadID: m.reading, Complete: true})
	m.Step(2*time.Second, PlatformLost{})
	return m
}

func askOf(r Record, i int, round uint64) Received {
	return Received{Message: PromiseAsk{Home: memberOf(i).Holder, Epoch: r.Epoch, Round: round}}
}

func given(effects []Effect) bool {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			if p, ok := s.Message.(PromiseReply); ok && p.Granted {
				return true
			}
		}
	}
	return false
}

// Guards against a promise for an epoch that the member has left behind, after which a joiner may run without it.
func TestPromiseOnlyForOwnEpoch(t *testing.T) {
	r := recordOf(4)
	m := lostMember(r)
	if !given(m.Step(3*time.Second, askOf(r, 1, 1))) {
		t.Fatal("no promise for the own epoch")
	}
	m.Step(3*time.Second, RecordCommitted{Record: r.Join(memberOf(5))})
	if given(m.Step(3*time.Second, askOf(r, 2, 1))) {
		t.Fatal("promise for an earlier epoch")
	}
}

// Guards against a promise that is given while the removal of the asking home may already be written.
func TestNoPromiseAfterProposedRemoval(t *testing.T) {
	r := recordOf(4)
	m := lostMember(r)
	m.Remove([]laceunit.Holder{memberOf(1).Holder})
	if given(m.Step(3*time.Second, askOf(r, 1, 1))) {
		t.Fatal("promise while the removal is open")
	}
	m.Step(3*time.Second, RemovalFailed{})
	if !given(m.Step(3*time.Second, askOf(r, 1, 1))) {
		t.Fatal("no promise after the removal has failed")
	}
}

// Guards against a joiner that runs requests although an earlier member may hold outage authority.
func TestJoinerWaitsForEarlierMembers(t *testing.T) {
	r := recordOf(3).Join(memberOf(7))
	j := New(memberOf(7).Holder, Settings{})
	j.Step(0, RecordCommitted{Record: r})
	gone := recordOf(3).Holders()
	j.Step(0, RecordCommitted{Record: j.Remove(gone)})
	if j.Enabled() {
		t.Fatal("enabled although the removed members may only be paused")
	}
	if d := j.Authorize(0, laceledger.Request{ID: "x"}, false); d.Verdict != Refuse {
		t.Fatalf("%+v", d)
	}
	r = j.Record()
	for i := range 3 {
		m := memberOf(i)
		m.Holder.Incarnation += 100
		r = r.Join(m)
	}
	j.Step(0, RecordCommitted{Record: r})
	if !j.Enabled() {
		t.Fatal("not enabled although newer processes have all their addresses")
	}
}

// Guards against time alone freeing the requests of a silent home.
func TestSilentHomeNeedsSeals(t *testing.T) {
	r := recordOf(5)
	m := lostMember(r)
	m.settings.Lean = laceunit.ConsistencyAvailable
	m.Step(2*time.Second, askOf(r, 1, 1))
	m.Step(3*time.Second, PlatformRestored{})
	key := requestOf(t, r, 1, 0)
	for now := 4 * time.Second; now < 20*time.Minute; now += time.Second {
		m.Step(now, Tick{})
	}
	now := 20 * time.Minute
	if d := m.Authorize(now, key, false); d.Code != lacefault.WrongInstance || d.RedirectAddress != "a1" {
		t.Fatalf("%+v", d)
	}
	for i, w := range r.Witnesses(memberOf(1).Holder)[:2] {
		if d := m.Authorize(now, key, false); d.Verdict != Refuse {
			t.Fatalf("after %d seals: %+v", i, d)
		}
		m.Step(now, Received{Message: SealReply{From: w.Holder, Home: memberOf(1).Holder, Flushed: true}})
	}
	if d := m.Authorize(now, key, false); d.Verdict != Online {
		t.Fatalf("%+v", d)
	}
}

// Guards against authority for a fleet that would forget a run with the loss of two members.
func TestSmallFleetHasNoAuthority(t *testing.T) {
	m := lostMember(recordOf(2))
	if m.Step(3*time.Second, Tick{}); m.phase != phaseIdle {
		t.Fatalf("phase %d", m.phase)
	}
	if d := m.Authorize(3*time.Second, laceledger.Request{ID: "x"}, false); d.Verdict != Refuse || d.RetryAfter <= 0 {
		t.Fatalf("%+v", d)
	}
}

// Guards against homes that move between the members that stay.
func TestRemovalMovesOnlyTheLostHomes(t *testing.T) {
	r := recordOf(7)
	after := r.Leave(memberOf(3).Holder)
	for k := range Key(2000) {
		a, _ := r.Home(k * 0x9e3779b97f4a7c15)
		b, _ := after.Home(k * 0x9e3779b97f4a7c15)
		if a != b && a.Holder != memberOf(3).Holder {
			t.Fatalf("key %d moved from %v to %v", k, a.Holder, b.Holder)
		}
	}
}

// requestOf returns a request with the given home whose id is at least from.
func requestOf(t *testing.T, r Record, home, from int) laceledger.Request {
	t.Helper()
	for i := from; i < from+1000; i++ {
		q := laceledger.Request{ID: laceunit.RequestID(fmt.Sprint(i))}
		if h, _ := r.Home(KeyOf(q)); h.Holder == memberOf(home).Holder {
			return q
		}
	}
	t.Fatal("no request found")
	return laceledger.Request{}
}
