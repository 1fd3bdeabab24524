package lacequota

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
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
