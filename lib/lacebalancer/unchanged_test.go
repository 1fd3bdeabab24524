package lacebalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// decisionsWithoutPrompt returns a hash of the decisions on a fixed load of requests without a prompt, with or without
// probes of servers that count as full. Each load report passes through adjust.
func decisionsWithoutPrompt(t *testing.T, policy string, probes bool, adjust func(*Load)) uint64 {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	b := balancer(t, laceconfig.Routing{Policy: policy, MaxQueued: 20}, engines(6, 4))
	if !probes {
		b.pools[ModelPool("m")].nextLoadProbe = at(time.Hour)
	}
	hash := xxhash.New()
	var assigned []Ticket
	record := func(decisions ...Decision) {
		for _, d := range decisions {
			_, _ = fmt.Fprintln(hash, d.Ticket, d.Verdict, d.Server, d.Reason, d.RetryAfter, d.LoadEstimate, d.ReportAge)
			if d.Verdict == Assigned {
				assigned = append(assigned, d.Ticket)
			}
		}
	}
	now := start()
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		switch id := laceunit.ServerID(fmt.Sprintf("s%d", random.IntN(6))); random.IntN(5) {
		case 0, 1:
			d, others := b.Pick(now, Request{
				Pool:     ModelPool("m"),
				Account:  laceunit.AccountID(fmt.Sprint(random.IntN(3))),
				Priority: laceunit.Priority(random.IntN(3)),
				Prefix:   uint64(random.IntN(9)),
				Deadline: now.Add(time.Duration(random.IntN(3000)) * time.Millisecond),
			})
			record(append(others, d)...)
		case 2, 3:
			if n := len(assigned); n > 0 {
				i := random.IntN(n)
				ticket := assigned[i]
				assigned[i] = assigned[n-1]
				assigned = assigned[:n-1]
				result := []Result{Success, Success, Success, Failure, Busy}[random.IntN(5)]
				record(b.Done(now, ticket, result, time.Duration(random.IntN(900))*time.Millisecond)...)
			}
		default:
			load := Load{Running: random.IntN(6), Waiting: random.IntN(2), Slots: 4}
			adjust(&load)
			record(b.Report(now, id, load, time.Duration(random.IntN(500))*time.Millisecond)...)
			record(b.Tick(now)...)
		}
	}
	return hash.Sum64()
}
