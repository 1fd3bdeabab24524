package lacedirectory

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// fleet returns members of equal capacity and load, spread over zones.
func fleet(prefix string, count, zones int, capacity, load Cores) []Member {
	var list []Member
	for i := range count {
		list = append(list, Member{
			Holder: laceunit.Holder{
				Instance:    laceunit.InstanceID(fmt.Sprintf("%s-%d", prefix, i)),
				Incarnation: 1,
			},
			Place:         laceunit.Place{Zone: laceunit.ZoneID(fmt.Sprint("z", i%zones))},
			CallerAddress: laceunit.Address(fmt.Sprintf("10.0.0.%d:80", i)),
			Capacity:      capacity,
			Load:          load,
		})
	}
	return list
}

// Guards against a large fleet in which every instance gets a tiny share of each account, and against a small fleet
// that leaves instances unused.
func TestActiveSetFitsFleet(t *testing.T) {
	mixed := append(fleet("strong", 18, 6, 0.8, 0.1), fleet("weak", 277, 6, 0.192, 0)...)
	for name, c := range map[string]struct {
		members     []Member
		least, most int
		strongOnly  bool
	}{
		"small":                {members: fleet("a", 7, 3, 0.4, 0.1), least: 7, most: 7},
		"mixed":                {members: mixed, least: 18, most: 18, strongOnly: true},
		"alike":                {members: fleet("a", 300, 6, 0.192, 0), least: 30, most: 60},
		"uniform and busy":     {members: fleet("a", 300, 6, 0.192, 0.15), least: 200, most: 300},
		"all strong ones lost": {members: fleet("weak", 277, 6, 0.192, 0), least: 30, most: 60},
		"two strong tiers": {
			members: append(append(fleet("strong", 6, 3, 0.8, 0.2), fleet("middle", 14, 3, 0.48, 0)...),
				fleet("weak", 44, 3, 0.144, 0)...),
			least: 6, most: 6,
		},
		"two strong tiers, the first overloaded": {
			members: append(append(fleet("strong", 6, 3, 0.8, 0.6), fleet("middle", 14, 3, 0.48, 0)...),
				fleet("weak", 44, 3, 0.144, 0)...),
			least: 20, most: 20,
		},
		"first tier too small to lose a member": {
			members: append(append(fleet("strong", 2, 2, 0.8, 0.2), fleet("middle", 14, 3, 0.48, 0)...),
				fleet("weak", 44, 3, 0.144, 0)...),
			least: 16, most: 16,
		},
		"few strong": {
			members: append(fleet("strong", 2, 2, 0.8, 0.1), fleet("weak", 60, 3, 0.192, 0)...),
			least:   12, most: 20,
		},
		"strong overloaded": {
			members: append(fleet("strong", 8, 4, 0.8, 0.7), fleet("weak", 78, 4, 0.192, 0)...),
			least:   60, most: 86,
		},
	} {
		active := selectActive(c.members)
		if n := len(active); n < c.least || n > c.most {
			t.Errorf("%s: %d of %d members are active, want %d to %d", name, n, len(c.members), c.least, c.most)
		}
		for id := range active {
			if c.strongOnly && id[:4] == "weak" {
				t.Errorf("%s: %s is active although the strong instances are not busy", name, id)
			}
		}
	}
}

// Guards against an availability zone without an active instance for the callers in it.
func TestActiveSetIsSpreadOverZones(t *testing.T) {
	const zones = 6
	members := fleet("a", 300, zones, 0.192, 0)
	active := selectActive(members)
	counts := map[laceunit.ZoneID]int{}
	for _, m := range members {
		if active[m.Holder.Instance] {
			counts[m.Place.Zone]++
		}
	}
	for i := range zones {
		zone := laceunit.ZoneID(fmt.Sprint("z", i))
		if n := counts[zone]; n < len(active)/zones-1 || n > len(active)/zones+1 {
			t.Errorf("%d of %d active instances are in %s", n, len(active), zone)
		}
	}
}

// Guards against instances that disagree on the active set, and against a set that changes completely when one member
// leaves.
func TestActiveSetIsStable(t *testing.T) {
	members := fleet("a", 200, 4, 0.192, 0)
	before := selectActive(members)
	members = append(members[1:], members[0])
	after := selectActive(members[:199])
	changed := 0
	for id := range before {
		if !after[id] {
			changed++
		}
	}
	if changed > 2 {
		t.Errorf("%d of %d active instances are on standby after another one left", changed, len(before))
	}
}

// Guards against shares of fleet-wide limits that sum up to more than the limit, because standby instances get a
// share as well.
func TestSharesDoNotExceedBound(t *testing.T) {
	members := append(fleet("strong", 18, 6, 0.8, 0.1), fleet("weak", 277, 6, 0.192, 0)...)
	sum := 0.0
	for _, self := range members {
		d := NewDirectory(self, lacelog.Discard())
		for _, m := range members {
			d.Put(m)
		}
		sum += 1 / float64(d.ShareCount())
	}
	// Retry budgets leave a margin of 0.3 of the shared limit unused.
	if sum*0.7 > 1 {
		t.Errorf("the shares sum up to %.2f", sum)
	}
}

// Guards against members that are lost or altered by encoding and decoding.
func TestMemberEncoding(t *testing.T) {
	want := fleet("a", 1, 1, 0.192, 0.05)[0]
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil || got != want {
		t.Errorf("%+v decoded as %+v, error %v", want, got, err)
	}
	for _, invalid := range []string{
		"", "[]", `{"instance":"a"}`, `{"instance":"a","caller":"b:1","capacity":0}`,
		`{"instance":"a","caller":"b:1","capacity":1,"load":-1}`,
	} {
		if _, err := Decode([]byte(invalid)); err == nil {
			t.Errorf("%q was accepted", invalid)
		}
	}
}

// Guards against a standby instance of a large fleet that takes over the shares and connections of all other
// instances because their entries have expired while they could not reach the store.
func TestExpiredMembersKeepTheirShares(t *testing.T) {
	members := append(fleet("strong", 8, 4, 0.8, 0.1), fleet("weak", 78, 4, 0.192, 0)...)
	self := members[len(members)-1]
	d := NewDirectory(self, lacelog.Discard())
	for _, m := range members {
		d.Put(m)
	}
	now := time.Unix(0, 0)
	for _, m := range members[:len(members)-1] {
		d.Remove(now, m.Holder.Instance, time.Time{})
	}
	if n := len(d.Addresses(self.Place)); n != 1 {
		t.Errorf("callers get %d addresses", n)
	}
	if n := d.Size(); n != 8 {
		t.Errorf("%d instances share the accounts just after %d entries were removed", n, len(members)-1)
	}
	if !d.Live(members[0].Holder) {
		t.Error("an instance does not count as live as soon as its entry is removed")
	}
	d.Tick(now.Add(shrinkDelay + time.Second))
	if n := d.Size(); n != 1 || d.Live(members[0].Holder) {
		t.Errorf("%d instances share the accounts after shrinkDelay, or the removed one is still live", n)
	}
}
