package lacelimit

import (
	"math/rand"
	"testing"
	"time"
)

// Guards against instances that together send more again than the fleet may, in any window.
func TestSharesKeepTheFleetsBound(t *testing.T) {
	const members, window, ratio, slack = 7, 10 * time.Second, 0.2, 54.0
	random := rand.New(rand.NewSource(3))
	var budgets [members]RetryBudget
	for i := range budgets {
		budgets[i] = RetryBudget{
			Window: window,
			Ratio:  ratio,
			Slack:  slack,
		}
	}
	type sent struct {
		at     time.Time
		repeat bool
	}
	var all []sent
	now := time.Unix(1000, 0)
	for range 6000 {
		now = now.Add(time.Duration(random.Intn(20)) * time.Millisecond)
		i := random.Intn(members)
		budgets[i].Request(now)
		all = append(all, sent{at: now})
		for budgets[i].Allow(now, members) {
			all = append(all, sent{
				at:     now,
				repeat: true,
			})
		}
	}
	// The bound counts the requests of the window or of the one before it, whichever has more.
	for i, s := range all {
		requests, before, repeats := 0, 0, 0
		for _, x := range all[:i+1] {
			switch age := s.at.Sub(x.at); {
			case age >= 2*window:
			case age >= window && !x.repeat:
				before++
			case age < window && x.repeat:
				repeats++
			case age < window:
				requests++
			}
		}
		if most := ratio*float64(max(requests, before)) + slack; float64(repeats) > most {
			t.Fatalf("seed 3: %d repeats for %d requests in a window that allows %.0f", repeats, requests, most)
		}
	}
}

// Guards against a budget that never recovers.
func TestBudgetRecovers(t *testing.T) {
	b := RetryBudget{
		Window: time.Second,
		Slack:  2,
	}
	now := time.Unix(1000, 0)
	for b.Allow(now, 1) {
		continue
	}
	if b.Allow(now.Add(500*time.Millisecond), 1) {
		t.Error("a spent budget allows a repeat within its window")
	}
	if !b.Allow(now.Add(2*time.Second), 1) {
		t.Error("a spent budget allows nothing after its window")
	}
}
