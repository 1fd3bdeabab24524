package lacemember

import (
	"testing"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

// machineInOutage returns the machine of the first member, with outage authority in the fleet of the given record.
func machineInOutage(t *testing.T, r Record) *Machine {
	t.Helper()
	m := machineWithoutPlatform(r)
	for _, o := range r.Members {
		m.Step(3*time.Second, Received{
			Message: PromiseReply{From: o.Holder, Granted: true, Epoch: r.Epoch, Round: m.round},
		})
	}
	if m.Mode(3*time.Second) != ModeOutage {
		t.Fatalf("mode %v", m.Mode(3*time.Second))
	}
	return m
}

// Guards against a home that repeats a run of a fenced home, because it read the ledger before that home's flush.
func TestDroppedBindingInvalidatesHistory(t *testing.T) {
	r := testRecord(4)
	other := testMember(9)
	for name, end := range map[string]func(*Machine){
		"fence": func(m *Machine) {
			for _, w := range r.Witnesses(testMember(1).Holder) {
				m.Step(3*time.Second, Received{
					Message: SealReply{From: w.Holder, Home: testMember(1).Holder, Flushed: true},
				})
			}
		},
		"release of a former member": func(m *Machine) {
			m.addBinding(3*time.Second, Binding{Home: other, Round: 1, Record: r.Join(other)})
			m.Step(3*time.Second, Received{Message: ReleaseNote{Home: other.Holder, Round: 1}})
		},
	} {
		m := machineInOutage(t, r)
		m.Step(3*time.Second, promiseAskFrom(r, 1, 1))
		if d := m.Authorize(3*time.Second, requestWithHome(t, r, 0, 0), false); d.Verdict != Offline {
			t.Fatalf("%s: %+v", name, d)
		}
		end(m)
		if d := m.Authorize(3*time.Second, requestWithHome(t, r, 0, 1000), false); d.Code != lacefault.PlatformDown {
			t.Fatalf("%s: %+v", name, d)
		}
		if m.HistoryCurrent() {
			t.Fatalf("%s: the history is still current", name)
		}
	}
}

// Guards against authority after a read of a ledger that still accepts records of removed holders.
func TestIncompleteHistoryReadIsIgnored(t *testing.T) {
	m := New(testMember(0).Holder, Settings{})
	m.Step(0, RecordCommitted{Record: testRecord(4)})
	m.enabled = true
	m.Step(time.Second, Tick{})
	m.Step(time.Second, HistoryRead{ReadID: m.readID, Complete: false})
	if m.HistoryCurrent() {
		t.Fatal("history is current after an incomplete read")
	}
	m.Step(time.Second, HistoryRead{ReadID: m.readID - 1, Complete: true})
	if m.HistoryCurrent() {
		t.Fatal("history is current after the result of an earlier read")
	}
	m.Step(time.Second, HistoryRead{ReadID: m.readID, Complete: true})
	if !m.HistoryCurrent() {
		t.Fatal("history is not current after a complete read")
	}
}

// Guards against too few copies: any two of three witnesses must have a copy of every run.
func TestRequiredCopiesAndSealsOverlap(t *testing.T) {
	for n := 3; n < 9; n++ {
		r := testRecord(n)
		h := testMember(0).Holder
		witnesses := len(r.Witnesses(h))
		if r.RequiredCopies(h)+r.RequiredSeals(h) <= witnesses || r.RequiredCopies(h) < 2 {
			t.Fatalf("%d members: %d copies, %d seals, %d witnesses",
				n, r.RequiredCopies(h), r.RequiredSeals(h), witnesses)
		}
		if d := machineInOutage(t, r).Authorize(
			3*time.Second, requestWithHome(t, r, 0, 0), false,
		); d.RequiredCopies != r.RequiredCopies(h) {
			t.Fatalf("%d members: %+v", n, d)
		}
	}
	r := testRecord(6)
	r.Members[0].Place = laceunit.Place{Zone: "z"}
	r.Members[3].Place = laceunit.Place{Zone: "z"}
	for _, w := range r.Witnesses(r.Members[0].Holder) {
		if w.Place.Zone == "z" {
			t.Fatal("a witness in the home's own availability zone")
		}
	}
}

// Guards against a joiner that is not enabled yet and so transfers an incomplete list of bindings.
func TestJoinerDoesNotAcknowledge(t *testing.T) {
	r := testRecord(4)
	m := New(testMember(2).Holder, Settings{})
	m.Step(0, RecordCommitted{Record: r})
	for _, e := range m.Step(0, Received{Message: AckAsk{From: testMember(3).Holder, Record: r}}) {
		if s, ok := e.(Send); ok {
			if _, ack := s.Message.(AckReply); ack {
				t.Fatal("acknowledged before the member is enabled")
			}
		}
	}
}

// Guards against promises for a released round that are counted in the next one.
func TestPromiseCountsOnlyForItsRound(t *testing.T) {
	r := testRecord(4)
	m := machineWithoutPlatform(r)
	old := m.round
	m.Step(3*time.Second, PlatformRestored{})
	m.Step(3*time.Second, PlatformLost{})
	for _, o := range r.Members {
		m.Step(3*time.Second, Received{
			Message: PromiseReply{From: o.Holder, Granted: true, Epoch: r.Epoch, Round: old},
		})
	}
	if m.round == old || m.Mode(3*time.Second) == ModeOutage {
		t.Fatalf("round %d after %d, mode %v", m.round, old, m.Mode(3*time.Second))
	}
}
