package lacebalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// playResult holds the results of each kind in percent of its requests. The shared tokens prefilled, in millions, and the
// rejections by full servers are those of a run.
type playResult struct {
	kinds              []kind
	repeated, rejected float64
}

func playEngines(f func() engineFleet, byTokens bool, runs uint64, until, factor float64) playResult {
	r := playResult{kinds: f().kinds}
	for run := range runs {
		s := newEngineSimulation(f(), run, byTokens)
		s.run(until, factor)
		for i, k := range s.kinds {
			share := 100 / float64(runs) / (k.served + k.unserved)
			r.kinds[i].late += share * k.late
			r.kinds[i].paused += share * k.paused
			r.kinds[i].unserved += share * k.unserved
		}
		r.repeated += s.repeated / 1e6 / float64(runs)
		r.rejected += s.rejected / float64(runs)
	}
	return r
}

// violations returns what callers miss: kinds with too many late answers or refusals, kinds of which more is refused than
// of a less urgent one, and shared tokens that are prefilled at too many servers.
func (r playResult) violations(maxLate, maxRepeated float64) []string {
	var list []string
	for _, k := range r.kinds {
		if k.late+k.paused > maxLate || k.unserved > 0.3 {
			list = append(list, fmt.Sprintf("%s: %.2f late, %.2f paused, %.2f not served of 100", k.name, k.late, k.paused, k.unserved))
		}
		for _, other := range r.kinds {
			if k.priority > other.priority && k.unserved > other.unserved+0.2 {
				list = append(list, fmt.Sprintf("%s: %.2f not served, less urgent %s %.2f", k.name, k.unserved, other.name, other.unserved))
			}
		}
	}
	if r.repeated > maxRepeated {
		list = append(list, fmt.Sprintf("%.2f million shared tokens prefilled", r.repeated))
	}
	return list
}

// total returns the shares of late, paused and refused requests of all kinds in percent.
func (r playResult) total() (late, paused, unserved float64) {
	rate := 0.0
	for _, k := range r.kinds {
		rate += k.rate
	}
	for _, k := range r.kinds {
		late += k.late * k.rate / rate
		paused += k.paused * k.rate / rate
		unserved += k.unserved * k.rate / rate
	}
	return late, paused, unserved
}

// Guards against a placement that serves a kind of request late or not at all to the gain of another, or that gains time
// by prefilling shared parts at many servers. At twice the rates the choice by the number of requests must fail the same
// check; at 2.5 times, where no choice meets it, the placement must be better than that choice.
func TestPlacementUnderLoad(t *testing.T) {
	for _, c := range []struct {
		fleet                func() engineFleet
		maxLate, maxRepeated float64
	}{{census, 4, 1.3}, {billCollection, 10, 1.8}} {
		if list := playEngines(c.fleet, true, 2, 15000, 2).violations(c.maxLate, c.maxRepeated); len(list) > 0 {
			t.Errorf("%s, seed %d: %v", c.fleet().name, seed, list)
		}
		if list := playEngines(c.fleet, false, 2, 15000, 2).violations(c.maxLate, c.maxRepeated); len(list) == 0 {
			t.Errorf("%s, seed %d: the choice by the number of requests passes", c.fleet().name, seed)
		}
		before, after := playEngines(c.fleet, false, 2, 15000, 2.5), playEngines(c.fleet, true, 2, 15000, 2.5)
		late, paused, unserved := after.total()
		lateBefore, pausedBefore, unservedBefore := before.total()
		if late > 0.8*lateBefore || paused > pausedBefore+0.1 || unserved > unservedBefore+0.1 ||
			after.rejected > before.rejected || after.repeated > 2*before.repeated {
			t.Errorf("%s, seed %d: %+v, by the number of requests %+v", c.fleet().name, seed, after, before)
		}
	}
}

// Guards against queued requests with prompts that are served out of the order of rank and time left, whatever their size,
// and against an account with many requests that takes the turns of others or starves a lower rank.
func TestQueueWithPromptsIsFair(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 3))
	b := balancer(t, laceconfig.Routing{MaxQueued: 400}, engines(1, 1))
	requests := map[Ticket]Request{}
	var order []Ticket
	record := func(decisions ...Decision) {
		for _, d := range decisions {
			if d.Verdict == Assigned {
				order = append(order, d.Ticket)
			}
		}
	}
	add := func(n int, account string, priority laceunit.Priority) {
		for range n {
			r := promptRequest(account, priority, []float64{600, 50000}[random.IntN(2)], time.Duration(200+random.IntN(100))*time.Second)
			requests[b.lastTicket+1] = r
			d, others := b.Pick(start(), r)
			record(append(others, d)...)
		}
	}
	for _, c := range []struct {
		account  string
		priority laceunit.Priority
	}{{"small", 0}, {"large", 1}, {"small", 1}, {"small", 3}} {
		n := 5
		if c.account == "large" {
			n = 150
		}
		add(n, c.account, c.priority)
	}
	atStart := len(order)
	for i := 0; i < len(order); i++ {
		record(b.Done(start(), order[i], Success, time.Second)...)
	}
	if len(order) != len(requests) {
		t.Fatalf("seed %d: %d of %d requests were served", seed, len(order), len(requests))
	}
	last := map[laceunit.Priority]int{}
	startBy := map[string]time.Time{}
	for i, ticket := range order[atStart:] {
		r := requests[ticket]
		if r.Account == "small" {
			last[r.Priority] = i
		}
		key, by := fmt.Sprint(r.Account, r.Priority), b.deadline(start(), r)
		if by.Before(startBy[key]) {
			t.Errorf("seed %d: %s: a request that must start by %v came after one that must by %v", seed, key, by, startBy[key])
		}
		startBy[key] = by
	}
	// One turn in eight is that of the longest waiting request.
	if last[3] > 6 || last[1] > 2*6+4 || last[0] > 8*5 {
		t.Errorf("seed %d: the small account's last requests of each priority were served at %v", seed, last)
	}
}

// BenchmarkPlacement prints the table of docs/design/token-placement.md.
func BenchmarkPlacement(*testing.B) {
	for _, factor := range []float64{1, 2, 2.5, 3} {
		for _, f := range []func() engineFleet{census, billCollection} {
			for _, byTokens := range []bool{false, true} {
				r := playEngines(f, byTokens, 3, 30000, factor)
				row := fmt.Sprintf("| %s | %v | %s |", f().name, factor, map[bool]string{false: "requests", true: "tokens"}[byTokens])
				for _, k := range r.kinds {
					row += fmt.Sprintf(" %.2f, %.2f, %.2f |", k.late, k.paused, k.unserved)
				}
				fmt.Printf("%s %.2f | %.0f |\n", row, r.repeated, r.rejected)
			}
		}
	}
}
