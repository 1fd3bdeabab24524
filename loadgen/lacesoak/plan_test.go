package lacesoak

import (
	"reflect"
	"testing"
	"time"
)

// Guards against plans that are not reproducible from their seed, faults that extend into the quiet period or overlap
// at one target, and kinds of faults that never occur.
func TestPlansAreReproducibleAndBounded(t *testing.T) {
	o := Options{
		Duration:  40 * time.Second,
		Instances: 5,
	}
	seen := map[string]bool{}
	for seed := range uint64(30) {
		plan := newPlan(seed, o)
		if !reflect.DeepEqual(plan, newPlan(seed, o)) {
			t.Errorf("seed %d gives two different plans", seed)
		}
		down := map[int]time.Duration{}
		for _, e := range plan {
			seen[e.kind] = true
			if e.at+e.length > o.Duration-QuietPeriod {
				t.Errorf("seed %d: %s extends into the quiet period", seed, e)
			}
			if e.kind != eventStop && e.kind != eventKill && e.kind != eventFreeze {
				continue
			}
			if e.at < down[e.index] {
				t.Errorf("seed %d: %s overlaps another event of the instance", seed, e)
			}
			down[e.index] = e.at + e.length
		}
	}
	for _, r := range eventTypes() {
		if !seen[r.kind] {
			t.Errorf("no plan has the event %s", r.kind)
		}
	}
}

// Guards against slow links in runs without one, against an overload that extends into the quiet period, and against an
// instance that is down while callers overload its link.
func TestPlansOfSlowLinks(t *testing.T) {
	drawn := 0
	for seed := range uint64(40) {
		o := Options{
			Duration:  30 * time.Second,
			Instances: 5,
		}
		if findSlowLink(newPlan(seed, o)) != nil {
			t.Errorf("seed %d has a slow link although it is disabled", seed)
		}
		o.LinkMbits, o.LinkInstance = -1, -1
		plan := newPlan(seed, o)
		e := findSlowLink(plan)
		if e == nil {
			continue
		}
		drawn++
		if e.length < minOverload || e.at+e.length+overloadMargin > o.Duration-QuietPeriod {
			t.Errorf("seed %d: wrong time of %s", seed, e)
		}
		for _, x := range plan {
			if x.target == targetInstance && x.index == e.index && x.at < e.at+e.length && x.at+x.length > e.at {
				t.Errorf("seed %d: %s overlaps %s", seed, x, e)
			}
		}
		o.LinkMbits, o.LinkInstance = 1, 2
		if e = findSlowLink(newPlan(seed, o)); e.mbits != 1 || e.index != 2 {
			t.Errorf("seed %d: %s instead of 1 Mbit/s at instance 2", seed, e)
		}
	}
	if drawn == 0 {
		t.Error("no seed has a slow link")
	}
}
