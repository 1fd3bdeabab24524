package lacesoak

import (
	"reflect"
	"testing"
	"time"
)

// Guards against seeds that can't be repeated, faults that reach into the quiet tail or meet at one target, and kinds of
// faults that are never played.
func TestPlansRepeatAndEnd(t *testing.T) {
	o := Options{Duration: 40 * time.Second, Instances: 5, Engines: 4, Services: 3}
	seen := map[Kind]bool{}
	for seed := range uint64(30) {
		plan := NewPlan(seed, o)
		if !reflect.DeepEqual(plan, NewPlan(seed, o)) {
			t.Errorf("seed %d gives two plans", seed)
		}
		down := map[int]time.Duration{}
		for _, e := range plan {
			seen[e.Kind] = true
			if e.At+e.For > o.Duration-QuietTail {
				t.Errorf("seed %d: %s reaches into the quiet tail", seed, e)
			}
			if e.Kind != Stop && e.Kind != Kill && e.Kind != Freeze {
				continue
			}
			if e.At < down[e.Target] {
				t.Errorf("seed %d: %s meets another event of the instance", seed, e)
			}
			down[e.Target] = e.At + e.For
		}
	}
	for _, r := range rules() {
		if !seen[r.kind] {
			t.Errorf("%s is in none of the plans", r.kind)
		}
	}
}
