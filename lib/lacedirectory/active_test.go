package lacedirectory

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// fleet returns members of a capacity, spread over zones.
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

// Guards against a large fleet in which every instance has a sliver of each account, and against a small one that does
// without instances it has.
func TestActiveSetFollowsTheFleet(t *testing.T) {
	mixed := append(fleet("strong", 18, 6, 0.8, 0.1), fleet("weak", 277, 6, 0.192, 0)...)
	for name, c := range map[string]struct {
		members     []Member
		least, most int
		strongOnly  bool
	}{
		"small":           {members: fleet("a", 7, 3, 0.4, 0.1), least: 7, most: 7},
		"mixed":           {members: mixed, least: 18, most: 18, strongOnly: true},
		"alike":           {members: fleet("a", 300, 6, 0.192, 0), least: 30, most: 60},
		"alike and busy":  {members: fleet("a", 300, 6, 0.192, 0.15), least: 200, most: 300},
		"strong all lost": {members: fleet("weak", 277, 6, 0.192, 0), least: 30, most: 60},
		"few strong":      {members: append(fleet("strong", 2, 2, 0.8, 0.1), fleet("weak", 60, 3, 0.192, 0)...), least: 12, most: 20},
		"strong overloaded": {
			members: append(fleet("strong", 8, 4, 0.8, 0.7), fleet("weak", 78, 4, 0.192, 0)...),
			least:   60, most: 86,
		},
	} {
		active := activeSet(c.members)
		if n := len(active); n < c.least || n > c.most {
			t.Errorf("%s: %d of %d take callers, not %d to %d", name, n, len(c.members), c.least, c.most)
		}
		for id := range active {
			if c.strongOnly && id[:4] == "weak" {
				t.Errorf("%s: %s takes callers beside strong instances that are not busy", name, id)
			}
		}
	}
}

// Guards against callers of one availability zone that find no instance there.
func TestActiveSetIsSpreadOverZones(t *testing.T) {
	const zones = 6
	members := fleet("a", 300, zones, 0.192, 0)
	active := activeSet(members)
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

// Guards against instances that disagree on who takes callers, and against a set that changes as a whole when one member
// leaves.
func TestActiveSetIsStable(t *testing.T) {
	members := fleet("a", 200, 4, 0.192, 0)
	before := activeSet(members)
	members = append(members[1:], members[0])
	again := activeSet(members[:199])
	changed := 0
	for id := range before {
		if !again[id] {
			changed++
		}
	}
	if changed > 2 {
		t.Errorf("%d of %d active instances stand by after another one left", changed, len(before))
	}
}

// Guards against shares of fleet-wide bounds that sum up to more than the bound, because instances that stand by count
// as well.
func TestSharesOfABoundSumUp(t *testing.T) {
	members := append(fleet("strong", 18, 6, 0.8, 0.1), fleet("weak", 277, 6, 0.192, 0)...)
	sum := 0.0
	for _, self := range members {
		b := NewDirectory(self, lacelog.Discard())
		for _, m := range members {
			b.Put(m)
		}
		sum += 1 / float64(b.ShareCount())
	}
	// Retry budgets keep 0.3 of what is shared unused.
	if sum*0.7 > 1 {
		t.Errorf("the shares sum up to %.2f", sum)
	}
}

// Guards against members that are lost or changed on their way through the store.
func TestMemberForm(t *testing.T) {
	want := fleet("a", 1, 1, 0.192, 0.05)[0]
	text, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text)
	if err != nil || got != want {
		t.Errorf("%+v read as %+v, %v", want, got, err)
	}
	for _, bad := range []string{"", "[]", `{"instance":"a"}`, `{"instance":"a","caller":"b:1","capacity":0}`, `{"instance":"a","caller":"b:1","capacity":1,"load":-1}`} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// Guards against an instance of a large fleet that stood by, and takes the parts of all others and their connections because
// their entries went while the store was out of their reach.
func TestMembersThatLapseKeepTheirParts(t *testing.T) {
	members := append(fleet("strong", 8, 4, 0.8, 0.1), fleet("weak", 78, 4, 0.192, 0)...)
	self := members[len(members)-1]
	b := NewDirectory(self, lacelog.Discard())
	for _, m := range members {
		b.Put(m)
	}
	now := time.Unix(0, 0)
	for _, m := range members[:len(members)-1] {
		b.Remove(now, m.Holder.Instance, time.Time{})
	}
	if n := len(b.Addresses(self.Place)); n != 1 {
		t.Errorf("%d addresses are named to callers", n)
	}
	if n := b.Size(); n != 8 {
		t.Errorf("%d instances share the accounts just after %d entries went", n, len(members)-1)
	}
	if !b.Live(members[0].Holder) {
		t.Error("the rate of an instance counts for nothing as soon as its entry goes")
	}
	b.Tick(now.Add(shrinkTime + time.Second))
	if n := b.Size(); n != 1 || b.Live(members[0].Holder) {
		t.Errorf("%d instances share the accounts long after", n)
	}
}
