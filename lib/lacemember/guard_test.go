package lacemember

import (
	"testing"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

// inOutage returns a machine with authority in a fleet of the given record.
func inOutage(t *testing.T, r Record) *Machine {
	t.Helper()
	m := lostMember(r)
	for _, o := range r.Members {
		m.Step(3*time.Second, Received{Message: PromiseReply{From: o.Holder, Granted: true, Epoch: r.Epoch, Round: m.round}})
	}
	if m.Mode(3*time.Second) != ModeOutage {
		t.Fatalf("mode %v", m.Mode(3*time.Second))
	}
	return m
}

// Guards against a home that runs what a fenced home ran, because its knowledge is older than that home's flush.
func TestEndedBindingNeedsNewRead(t *testing.T) {
	r := recordOf(4)
	other := memberOf(9)
	for name, end := range map[string]func(*Machine){
		"fence": func(m *Machine) {
			for _, w := range r.Witnesses(memberOf(1).Holder) {
				m.Step(3*time.Second, Received{Message: SealReply{From: w.Holder, Home: memberOf(1).Holder, Flushed: true}})
			}
		},
		"release of a former member": func(m *Machine) {
			m.bind(3*time.Second, Binding{Home: other, Round: 1, Record: r.Join(other)})
			m.Step(3*time.Second, Received{Message: ReleaseNote{Home: other.Holder, Round: 1}})
		},
	} {
		m := inOutage(t, r)
		m.Step(3*time.Second, askOf(r, 1, 1))
		if d := m.Authorize(3*time.Second, requestOf(t, r, 0, 0), false); d.Verdict != Offline {
			t.Fatalf("%s: %+v", name, d)
		}
		end(m)
		if d := m.Authorize(3*time.Second, requestOf(t, r, 0, 1000), false); d.Code != lacefault.PlatformDown {
			t.Fatalf("%s: %+v", name, d)
		}
		if m.HistoryCurrent() {
			t.Fatalf("%s: still covered", name)
		}
	}
}

// Guards against authority on the word of a ledger that still takes records of removed holders.
func TestIncompleteReadDoesNotCover(t *testing.T) {
	m := New(memberOf(0).Holder, Settings{})
	m.Step(0, RecordCommitted{Record: recordOf(4)})
	m.enabled = true
	m.Step(time.Second, Tick{})
	m.Step(time.Second, HistoryRead{ReadID: m.reading, Complete: false})
	if m.HistoryCurrent() {
		t.Fatal("covered by an incomplete read")
	}
	m.Step(time.Second, HistoryRead{ReadID: m.reading - 1, Complete: true})
	if m.HistoryCurrent() {
		t.Fatal("covered by an earlier read")
	}
	m.Step(time.Second, HistoryRead{ReadID: m.reading, Complete: true})
	if !m.HistoryCurrent() {
		t.Fatal("not covered by a complete read")
	}
}

// Guards against too few copies: any two of three witnesses must know of every run.
func TestCopiesAndSealsOverlap(t *testing.T) {
	for n := 3; n < 9; n++ {
		r := recordOf(n)
		h := memberOf(0).Holder
		witnesses := len(r.Witnesses(h))
		if r.RequiredCopies(h)+r.RequiredSeals(h) <= witnesses || r.RequiredCopies(h) < 2 {
			t.Fatalf("%d members: %d copies, %d seals, %d witnesses", n, r.RequiredCopies(h), r.RequiredSeals(h), witnesses)
		}
		if d := inOutage(t, r).Authorize(3*time.Second, requestOf(t, r, 0, 0), false); d.RequiredCopies != r.RequiredCopies(h) {
			t.Fatalf("%d members: %+v", n, d)
		}
	}
	r := recordOf(6)
	r.Members[0].Place = laceunit.Place{Zone: "z"}
	r.Members[3].Place = laceunit.Place{Zone: "z"}
	for _, w := range r.Witnesses(r.Members[0].Holder) {
		if w.Place.Zone == "z" {
			t.Fatal("a witness in the home's own availability zone")
		}
	}
}

// Guards against a joiner that passes on fewer bindings than there are, because nobody has enabled it yet.
func TestJoinerDoesNotAcknowledge(t *testing.T) {
	r := recordOf(4)
	m := New(memberOf(2).Holder, Settings{})
	m.Step(0, RecordCommitted{Record: r})
	for _, e := range m.Step(0, Received{Message: AckAsk{From: memberOf(3).Holder, Record: r}}) {
		if s, ok := e.(Send); ok {
			if _, ack := s.Message.(AckReply); ack {
				t.Fatal("acknowledged before it is enabled")
			}
		}
	}
}

// Guards against promises of a released round that count for the next one.
func TestPromiseCountsForItsRound(t *testing.T) {
	r := recordOf(4)
	m := lostMember(r)
	old := m.round
	m.Step(3*time.Second, PlatformRestored{})
	m.Step(3*time.Second, PlatformLost{})
	for _, o := range r.Members {
		m.Step(3*time.Second, Received{Message: PromiseReply{From: o.Holder, Granted: true, Epoch: r.Epoch, Round: old}})
	}
	if m.round == old || m.Mode(3*time.Second) == ModeOutage {
		t.Fatalf("round %d after %d, mode %v", m.round, old, m.Mode(3*time.Second))
	}
}
