package lacesoak

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

// Guards against restores that change the other events of a seed, beyond those faults of the store that they replace, and
// against restores without the observed time after them.
func TestPlansOfRestores(t *testing.T) {
	o := Options{
		Duration:  24 * time.Second,
		Instances: 5,
	}
	overlapping := map[string]bool{}
	series := 0
	for seed := range uint64(60) {
		before := newPlan(seed, o)
		if n := countOf(before, eventStoreRestored); n > 0 {
			t.Errorf("seed %d has %d restores although they are disabled", seed, n)
		}
		with := o
		with.Restores = -1
		plan := newPlan(seed, with)
		if !reflect.DeepEqual(plan, newPlan(seed, with)) {
			t.Errorf("seed %d gives two different plans", seed)
		}
		if n := countOf(plan, eventStoreRestored); n > 1 {
			series++
		} else if n == 0 && !reflect.DeepEqual(plan, before) {
			t.Errorf("seed %d has other events without a restore", seed)
		}
		var kept []event
		for _, e := range plan {
			if e.kind != eventStoreRestored && e.kind != eventObservedChange && e.kind != eventObservedLeave {
				kept = append(kept, e)
			}
		}
		expected := slices.DeleteFunc(slices.Clone(before), func(e event) bool {
			return isStoreFault(e) && !slices.ContainsFunc(kept, func(x event) bool { return reflect.DeepEqual(e, x) })
		})
		if !reflect.DeepEqual(kept, expected) {
			t.Errorf("seed %d: the restores changed other events than faults of the store", seed)
		}
		for _, e := range plan {
			if e.kind == eventStoreRestored {
				checkRestorePlan(t, fmt.Sprintf("seed %d: %s", seed, e), e, plan, with, overlapping)
			}
		}
	}
	for _, k := range []string{
		eventKill, eventStop, eventFreeze, eventPartialStoreOutage, eventObservedChange, eventObservedLeave, eventTopUp,
	} {
		if !overlapping[k] {
			t.Errorf("no restore overlaps the event %s", k)
		}
	}
	if series == 0 {
		t.Error("no seed has several restores")
	}
}

// checkRestorePlan checks the times of a restore and collects the events between its backup and its end.
func checkRestorePlan(t *testing.T, name string, e event, plan []event, o Options, overlapping map[string]bool) {
	t.Helper()
	end := e.at + e.length + e.rewriteDelay
	if e.at < e.backupAge || end+stableWindow+observedTime > o.Duration-QuietPeriod {
		t.Errorf("%s: wrong time", name)
	}
	for _, x := range plan {
		if isStoreFault(x) && x.at < e.at+e.length && x.at+x.length > e.at {
			t.Errorf("%s: overlaps %s", name, x)
		}
		if x.kind == eventStoreRestored && x.at < e.at && x.at+x.length > e.at {
			t.Errorf("%s: begins during %s", name, x)
		}
		if x.at < end && x.at+x.length > e.at-e.backupAge {
			overlapping[x.kind] = true
		}
	}
}

// addObservedChange adds a change that the store acknowledged at 5 s, and requests for its added route, its removed route or
// its key. The first is sent before the change, the others at the given times; their statuses tell how they were handled.
func addObservedChange(r *record, route, key string, statuses []int, sent ...float64) {
	r.injections = nil
	r.observed = []observedChange{{began: at(4.9), acknowledged: at(5)}}
	for i, s := range sent {
		n := len(r.responses)
		r.addResponse(fmt.Sprintf("o-%d", i), s, s+0.01)
		r.responses[n].route, r.responses[n].apiKey, r.responses[n].Status = route, key, statuses[i]
		r.responses[n].deliveredTokens = 0
		if statuses[i] != 200 {
			r.serverRecords = r.serverRecords[:len(r.serverRecords)-1]
		}
	}
}

func addFault(r *record, kind string, t target, from, to float64, isolated ...int) {
	r.injections = append(r.injections, injection{
		event:   event{eventType: eventType{kind: kind, target: t}, isolated: isolated},
		started: at(from),
		ended:   at(to),
	})
}

// Guards against checks that miss a configuration that is late or older than one that a process has shown, and against
// excuses that cover more than faults of the store or of the instance.
func TestOldConfigurationsAreDetected(t *testing.T) {
	added, removed, key := addedObserved(0), removedObserved(0), observedKey(0)
	violation := []string{guaranteePropagation}
	late := func(kind string, t target, from, to float64, isolated ...int) func(r *record) {
		return func(r *record) {
			addObservedChange(r, added, "", []int{404}, 9)
			addFault(r, kind, t, from, to, isolated...)
		}
	}
	back := func(kind string, to float64) func(r *record) {
		return func(r *record) {
			addObservedChange(r, added, "", []int{200, 404}, 6, 7.5)
			addFault(r, eventStoreRestored, targetStore, 6.2, 7.8)
			addFault(r, kind, targetInstance, 6.5, to)
		}
	}
	runCases(t, map[string]checkCase{
		"in force":   {modify: func(r *record) { addObservedChange(r, added, "", []int{404, 404, 200}, 4, 7.9, 8.1) }},
		"added late": {modify: func(r *record) { addObservedChange(r, added, "", []int{404}, 8.1) }, want: violation},
		"removed late": {modify: func(r *record) {
			addObservedChange(r, removed, "", []int{200, 200}, 4, 8.1)
		}, want: violation},
		"key late":        {modify: func(r *record) { addObservedChange(r, "", key, []int{200}, 8.1) }, want: violation},
		"key in force":    {modify: func(r *record) { addObservedChange(r, "", key, []int{200, 200, 401}, 4, 7, 8.1) }},
		"store restored":  {modify: late(eventStoreRestored, targetStore, 3, 6.1)},
		"restored before": {modify: late(eventStoreRestored, targetStore, 3, 5.9), want: violation},
		"store refuses":   {modify: late("store-refuses", targetStore, 3, 6.1)},
		"store forgets":   {modify: late(eventStoreCompaction, targetStore, 6, 7), want: violation},
		"isolated":        {modify: late(eventPartialStoreOutage, targetStore, 3, 6.1, 0)},
		"other isolated":  {modify: late(eventPartialStoreOutage, targetStore, 3, 6.1, 1), want: violation},
		"choked": {modify: func(r *record) {
			late(eventSlowLink, targetLink, 0.2, 0.9)(r)
			r.injections[0].length = time.Second
			r.slowLink = &event{}
		}},
		"choked before": {modify: func(r *record) {
			late(eventSlowLink, targetLink, 0.2, 0.9)(r)
			r.injections[0].length = 700 * time.Millisecond
			r.slowLink = &event{}
		}, want: violation},
		"frozen":          {modify: late(eventFreeze, targetInstance, 6, 7)},
		"reloaded":        {modify: late(eventReload, targetInstance, 6, 7), want: violation},
		"back":            {modify: back("", 6.5), want: violation},
		"back, restarted": {modify: back(eventKill, 7)},
		"back, frozen":    {modify: back(eventFreeze, 7)},
		"back, frozen, later": {modify: func(r *record) {
			back(eventFreeze, 7)(r)
			r.responses[4].Sent = at(8.2)
		}, want: violation},
		"back in transit": {modify: func(r *record) {
			addObservedChange(r, added, "", []int{200, 404}, 6, 6.25)
		}},
		"key back": {modify: func(r *record) {
			addObservedChange(r, "", key, []int{200, 401, 200}, 4, 5.5, 6)
		}, want: violation},
		"route back": {modify: func(r *record) {
			addObservedChange(r, removed, "", []int{404, 200}, 5.5, 6)
		}, want: violation},
	})
}

// Guards against a check that misses requests to servers whose leaving the store has acknowledged, and against one that
// counts acknowledgements or requests during a fault.
func TestRequestsToLeavingServersAreDetected(t *testing.T) {
	violation := []string{guaranteeDrain}
	leave := func(acknowledged, sent float64, faults ...injection) func(r *record) {
		return func(r *record) {
			r.injections = faults
			r.leavings = map[laceunit.ServerID][]time.Time{"leaves": {at(acknowledged), at(acknowledged + 0.5)}}
			r.addResponse("l", sent, sent+0.01)
			r.responses[3].deliveredTokens = 0
			r.serverRecords[3].Server = "leaves"
		}
	}
	fault := func(kind string, t target, from, to float64) injection {
		return injection{
			event:   event{eventType: eventType{kind: kind, target: t}},
			started: at(from),
			ended:   at(to),
		}
	}
	runCases(t, map[string]checkCase{
		"within the period": {modify: leave(6, 8.9)},
		"after the period":  {modify: leave(6, 9.1), want: violation},
		"misdirected": {modify: func(r *record) {
			leave(6, 9.1)(r)
			r.responses[3].Status, r.serverRecords[3].Outcome = 502, lacestage.Misdirected
		}},
		"restored meanwhile":           {modify: leave(6, 9.5, fault(eventStoreRestored, targetStore, 5.8, 6.6))},
		"restored, in touch again":     {modify: leave(6, 10, fault(eventStoreRestored, targetStore, 6.2, 6.6)), want: violation},
		"acknowledged by a sick store": {modify: leave(6, 9.4, fault("store-slow", targetStore, 2, 3.2))},
		"acknowledged again": {
			modify: leave(6, 9.6, fault("store-slow", targetStore, 2, 3.2)),
			want:   violation,
		},
		"frozen": {modify: leave(6, 9.5, fault(eventFreeze, targetInstance, 6.2, 6.6))},
	})
}
