package lacedirectory

import (
	"bytes"
	"slices"
	"testing"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// Guards against callers and forwarded requests that are sent to isolated instances although others reach the servers, and
// against an empty list if none does. In large fleets others have to become active in their place.
func TestIsolatedMembersGetNoCallers(t *testing.T) {
	for _, count := range []int{4, 40} {
		members := fleet("m", count, 2, 0.4, 0.1)
		d := NewDirectory(members[0], lacelog.Discard())
		for i := range members {
			members[i].PeerAddress = members[i].CallerAddress + "1"
			d.Put(members[i])
		}
		before, size := len(d.Addresses(laceunit.Place{Zone: "z0"})), d.Size()
		// All of the first zone, which this instance is in.
		d.SetIsolated(true)
		for _, m := range members {
			if m.Place.Zone == "z0" {
				m.Isolated = true
				d.Put(m)
			}
		}
		addresses, targets := d.Addresses(laceunit.Place{Zone: "z0"}), d.ForwardingTargets()
		for i, m := range members {
			isolated := i%2 == 0
			if isolated && (slices.Contains(addresses, m.CallerAddress) || slices.Contains(targets, m.PeerAddress)) {
				t.Errorf("%d members: the isolated %s gets callers or forwarded requests", count, m.Holder.Instance)
			}
		}
		if len(addresses) == 0 || len(targets) != len(addresses) || count > maxAllActive && len(addresses) < min(before, count/2) {
			t.Errorf("%d members: %d addresses, %d targets, %d before", count, len(addresses), len(targets), before)
		}
		if d.Size() < min(size, max(count/2, maxAllActive)) {
			t.Errorf("%d members: shares of %d in place of %d", count, d.Size(), size)
		}
		for _, m := range members {
			m.Isolated = true
			d.Put(m)
		}
		if n := len(d.Addresses(laceunit.Place{Zone: "z0"})); n != before || len(d.ForwardingTargets()) != 0 {
			t.Errorf("%d members, all isolated: %d addresses, %d before, %d targets", count, n, before, len(d.ForwardingTargets()))
		}
	}
}

// Guards against a state that is lost on the way, and against entries that differ from those of earlier builds without need.
func TestIsolationIsEncodedOnlyWhenSet(t *testing.T) {
	m := fleet("m", 1, 1, 0.4, 0)[0]
	for _, isolated := range []bool{false, true} {
		m.Isolated = isolated
		value, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(value)
		if err != nil || decoded != m || bytes.Contains(value, []byte("isolated")) != isolated {
			t.Errorf("isolated %t: %s, error %v", isolated, value, err)
		}
	}
}
