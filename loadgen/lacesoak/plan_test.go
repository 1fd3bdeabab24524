package lacesoak

import (
	"reflect"
	"testing"
	"time"
)

// Guards against seeds that can't be repeated, faults that reach into the quiet tail or meet at one target, and kinds of
// faults that are never played.
func TestPlansRepeatAndEnd(t *testing.T) {
	o := Options{
		Duration:  40 * time.Second,
		Instances: 5,
	}
	seen := map[string]bool{}
	for seed := range uint64(30) {
		plan := newPlan(seed, o)
		if !reflect.DeepEqual(plan, newPlan(seed, o)) {
			t.Errorf("seed %d gives two plans", seed)
		}
		down := map[int]time.Duration{}
		for _, e := range plan {
			seen[e.kind] = true
			if e.at+e.length > o.Duration-QuietTail {
				t.Errorf("seed %d: %s reaches into the quiet tail", seed, e)
			}
			if e.kind != stop && e.kind != kill && e.kind != freeze {
				continue
			}
			if e.at < down[e.number] {
				t.Errorf("seed %d: %s meets another event of the instance", seed, e)
			}
			down[e.number] = e.at + e.length
		}
	}
	for _, r := range rules() {
		if !seen[r.kind] {
			t.Errorf("%s is in none of the plans", r.kind)
		}
	}
}
