package lacelimit

import (
	"math/rand"
	"testing"
	"time"
)

// Guards against instances that together send more retries than the fleet's budget allows, in any window.
func TestRetryBudgetHoldsAcrossFleet(t *testing.T) {
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
		at      time.Time
		isRetry bool
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
				at:      now,
				isRetry: true,
			})
		}
	}
	// The bound is computed from the requests of the window or of the previous one, whichever has more.
	for i, s := range all {
		requests, before, retries := 0, 0, 0
		for _, x := range all[:i+1] {
			switch age := s.at.Sub(x.at); {
			case age >= 2*window:
			case age >= window && !x.isRetry:
				before++
			case age < window && x.isRetry:
				retries++
			case age < window:
				requests++
			}
		}
		if allowed := ratio*float64(max(requests, before)) + slack; float64(retries) > allowed {
			t.Fatalf("seed 3: %d retries for %d requests in a window that allows %.0f", retries, requests, allowed)
		}
	}
}

// Guards against an exhausted budget that never recovers.
func TestRetryBudgetRecovers(t *testing.T) {
	b := RetryBudget{
		Window: time.Second,
		Slack:  2,
	}
	now := time.Unix(1000, 0)
	for b.Allow(now, 1) {
		continue
	}
	if b.Allow(now.Add(500*time.Millisecond), 1) {
		t.Error("an exhausted budget allows a retry within its window")
	}
	if !b.Allow(now.Add(2*time.Second), 1) {
		t.Error("an exhausted budget allows no retry after its window")
	}
}
