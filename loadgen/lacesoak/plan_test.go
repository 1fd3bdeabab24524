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
			if e.at+e.length > o.Duration-QuietPeriod {
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

// Guards against narrow links in runs that have none, against those whose callers reach into the quiet tail, and against an
// instance that is away while callers press it.
func TestPlansOfNarrowLinks(t *testing.T) {
	drawn := 0
	for seed := range uint64(40) {
		o := Options{
			Duration:  30 * time.Second,
			Instances: 5,
		}
		if narrowLink(newPlan(seed, o)) != nil {
			t.Errorf("seed %d has a narrow link that nobody asked for", seed)
		}
		o.LinkMbits, o.LinkInstance = -1, -1
		plan := newPlan(seed, o)
		e := narrowLink(plan)
		if e == nil {
			continue
		}
		drawn++
		if e.length < pressLeast || e.at+e.length+pressRest > o.Duration-QuietPeriod {
			t.Errorf("seed %d: %s", seed, e)
		}
		for _, x := range plan {
			if x.target == anInstance && x.number == e.number && x.at < e.at+e.length && x.at+x.length > e.at {
				t.Errorf("seed %d: %s meets %s", seed, x, e)
			}
		}
		o.LinkMbits, o.LinkInstance = 1, 2
		if e = narrowLink(newPlan(seed, o)); e.rate != 1 || e.number != 2 {
			t.Errorf("seed %d: %s instead of 1 Mbit/s at instance 2", seed, e)
		}
	}
	if drawn == 0 {
		t.Error("no seed has a narrow link")
	}
}
