package lacequota

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// testContact is a store that last answered some other call of the instance at answered.
type testContact struct {
	now, answered laceunit.Uptime
}

func (c *testContact) Now() laceunit.Uptime { return c.now }

func (c *testContact) Connectivity() laceplatform.Connectivity {
	return laceplatform.Connectivity{LastReachable: c.answered}
}

// Guards against a write at each attempt of an outage, and against a gate that stays closed when the store is back.
func TestWritesAreHeldBackInOutages(t *testing.T) {
	contact := &testContact{now: 100, answered: 90}
	g := &outageGate{contact: contact}
	at := time.Unix(1_000, 0)
	if err := g.enter(at); err != nil {
		t.Fatalf("first write: %v", err)
	}
	g.record(laceplatform.ErrConflict)
	if err := g.enter(at); err != nil {
		t.Errorf("after a conflict: %v", err)
	}
	g.record(laceplatform.ErrUnknown)
	for _, c := range []struct {
		name     string
		after    time.Duration
		answered laceunit.Uptime
		want     error
	}{
		{name: "at once", answered: 90, want: ErrStoreUnreachable},
		{name: "answer to a call that was sent before the failure", after: time.Second, answered: 100, want: ErrStoreUnreachable},
		{name: "answer to a later call", after: time.Second, answered: 101},
		{name: "no answer for long", after: maxWriteBackoff, answered: 90},
	} {
		contact.answered = c.answered
		if err := g.enter(at.Add(c.after)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		g.triedAt = at
	}
	if err := (&outageGate{}).enter(at); err != nil {
		t.Errorf("without contact: %v", err)
	}
}

// Guards against tokens that a planned stop does not return, since the last write failed and nothing has shown since
// that the store answers again.
func TestReleaseAfterFailedWrite(t *testing.T) {
	store := &conflictingStore{}
	s := New(Options{
		Store:   store,
		Members: singleInstance{},
		Contact: &testContact{now: 100, answered: 90},
		Log:     lacelog.Discard(),
	})
	s.Configure(laceroute.NewTable(laceroute.Document{
		Version:  1,
		Accounts: []laceroute.Account{{ID: testAccount, Paid: 1000, Prepaid: true}},
	}))
	if err := s.update(t.Context(), []laceunit.AccountID{testAccount}); err != nil {
		t.Fatal(err)
	}
	if err := s.gate.enter(time.Now()); err != nil {
		t.Fatal(err)
	}
	s.gate.record(laceplatform.ErrUnknown)
	if err := s.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	b, err := Decode(store.entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	if n := b.Committed(); n > 0 {
		t.Errorf("%d tokens are still held after the stop", n)
	}
}
