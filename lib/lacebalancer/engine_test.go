package lacebalancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// Guards against a choice for requests without a prompt that token-aware placement changes: the hashes are those of the
// balancer without it, before and since it probes servers that count as full. A fourth figure of load reports must not
// change it either.
func TestRequestsWithoutPromptAreUnaffected(t *testing.T) {
	for _, c := range []struct {
		policy string
		probes bool
		want   uint64
	}{
		{PolicyRoundRobin, false, 0x8e9e76407b974774},
		{PolicyLeast, false, 0xfc0cd0d81012623a},
		{PolicyAffinity, false, 0xaac654a7810298a5},
		{PolicyRoundRobin, true, 0x20aff9dbded0aeca},
		{PolicyLeast, true, 0x4c643c0e38f3d87f},
		{PolicyAffinity, true, 0xd82c006a780e9950},
	} {
		for _, slowdown := range []int{0, 100} {
			got := decisionsWithoutPrompt(t, c.policy, c.probes, func(l *Load) { l.Slowdown = slowdown * (1 + l.Running) })
			if got != c.want {
				t.Errorf("%s, probes %t, slowdown %d with each request, seed %d: hash of the decisions is %#x, want %#x",
					c.policy, c.probes, slowdown, seed, got, c.want)
			}
		}
	}
}

func promptRequest(account string, priority laceunit.Priority, own float64, limit time.Duration) Request {
	r := request()
	r.Account, r.Priority, r.Deadline = laceunit.AccountID(account), priority, at(limit)
	r.Prompt = prompt(5382, own)
	return r
}

// assertNoOutstandingWork fails unless a server without requests has no outstanding tokens either.
func assertNoOutstandingWork(t *testing.T, b *Balancer) {
	t.Helper()
	for id, s := range b.servers {
		if s.localLoad != 0 || s.engine.prefill != 0 || s.engine.memory != 0 {
			t.Errorf("%s: %d requests, %v tokens to prefill, %v in memory, want none", id, s.localLoad, s.engine.prefill, s.engine.memory)
		}
	}
}

// Guards against outstanding tokens that stay after a configuration turned token placement on or off while requests run
// and wait, and against queued requests that are never decided.
func TestPlacementTurnsOnAndOff(t *testing.T) {
	b := balancer(t, laceconfig.Routing{}, engines(3, 2))
	var assigned []Ticket
	undecided := map[Ticket]bool{}
	record := func(decisions ...Decision) {
		for _, d := range decisions {
			undecided[d.Ticket] = d.Verdict == Waiting
			if d.Verdict == Assigned {
				assigned = append(assigned, d.Ticket)
			}
		}
	}
	for i := range 60 {
		r := promptRequest(fmt.Sprint(i%3), laceunit.PriorityDraft, 500, time.Minute)
		if i/5%2 == 0 {
			r.Prompt = nil
		}
		d, others := b.Pick(at(duration(float64(i))), r)
		record(append(others, d)...)
	}
	for i := 0; i < len(assigned); i++ {
		now := at(duration(float64(100 + 10*i)))
		b.Progress(now, assigned[i], i%3)
		record(b.Done(now, assigned[i], []Result{Success, Busy, Failure, Neutral}[i%4], time.Second)...)
		record(b.Tick(now)...)
	}
	record(b.Tick(at(time.Hour))...)
	for ticket, waiting := range undecided {
		if waiting {
			t.Errorf("ticket %d was never decided", ticket)
		}
	}
	assertNoOutstandingWork(t, b)
}

// Guards against a restarted server that counts as loaded, slow or cached by its previous process, also when answers of
// that process arrive later.
func TestRestartedServerStartsEmpty(t *testing.T) {
	f := engines(1, 8)
	b := balancer(t, laceconfig.Routing{}, f)
	d := pick(b, start(), promptRequest("a", 0, 6610, time.Minute))
	b.Report(start(), "s0", Load{Running: 1, Slots: 8, Slowdown: 900}, 0)
	restarted := f["s0"]
	restarted.StartTime = 7
	b.Update(start(), fleet{"s0": restarted}, nil)
	b.Progress(at(time.Second), d.Ticket, 1)
	b.Progress(at(9*time.Second), d.Ticket, 9)
	b.Done(at(9*time.Second), d.Ticket, Success, time.Second)
	s := b.servers["s0"]
	if s.slowdown.at(start()) != 1 || len(s.engine.chains) != 0 || s.engine.perEvent.samples != 0 {
		t.Errorf("slowdown %+v, engine %+v are those of the previous process", s.slowdown, s.engine)
	}
	assertNoOutstandingWork(t, b)
}

// Guards against a server that gets all requests or none because of an absurd fourth figure.
func TestAbsurdSlowdownIsIgnored(t *testing.T) {
	for _, value := range []int{math.MinInt, -1, 0, 1, minSlowdown - 1, maxSlowdown + 1, math.MaxInt} {
		var s slowdown
		s.report(value, start())
		if got := s.at(start()); got != 1 {
			t.Errorf("slowdown %d counts as %v", value, got)
		}
	}
}

// Guards against estimates that overflow, are negative or not a number, on prompts that no caller is meant to send and
// without any report.
func TestAbsurdPromptsArePlaced(t *testing.T) {
	const huge = math.MaxInt64
	for name, p := range map[string]*Prompt{
		"empty":         {},
		"unknown parts": {OwnTokens: 5000, LengthHint: 100, TokensPerEvent: 7},
		"huge prompt":   {OwnTokens: huge, MaxOutput: huge, ServerMemory: 1, TokensPerEvent: 1},
		"huge parts":    {Parts: []Part{{Hash: 1, Tokens: huge}, {Hash: 2, Tokens: huge}}, LengthHint: huge},
		"no tokens":     {Parts: []Part{{}, {}}, Objectives: Objectives{FirstEvent: 1, Pause: 1}, Strictest: Objectives{Pause: 1}},
	} {
		b := balancer(t, laceconfig.Routing{}, engines(3, 2))
		for i := range 20 {
			r := request()
			r.Prompt, r.Deadline = p, at(time.Minute)
			d := pick(b, at(duration(float64(i))), r)
			if d.Verdict == Assigned && (d.Placement.FirstEvent <= 0 || d.Placement.Pause < 0 || d.Placement.Prefill < 0) {
				t.Fatalf("%s: estimate %+v", name, *d.Placement)
			}
			b.Progress(at(duration(float64(i))), d.Ticket, 2)
			b.Done(at(duration(float64(i))), d.Ticket, Success, time.Second)
		}
		assertNoOutstandingWork(t, b)
	}
}

// Guards against memory that grows with the number of prompts: callers choose the parts.
func TestRememberedChainsAreBounded(t *testing.T) {
	for _, n := range []int{3, 1500} {
		b := balancer(t, laceconfig.Routing{}, engines(n, 64))
		for i := range 60 * maxChains / 32 {
			r := promptRequest("a", 0, 100, time.Minute)
			for j := range r.Prompt.Parts {
				r.Prompt.Parts[j].Hash = mix(uint64(2*i+j)) | 1
			}
			c := newPlacer(start(), b.pools[r.Pool], r.Prompt)
			b.place(&c, b.servers[laceunit.ServerID(fmt.Sprintf("s%d", i%n))])
		}
		total := 0
		for _, s := range b.servers {
			total += len(s.engine.chains)
		}
		if total == 0 || total > max(maxChains, n*minChains) {
			t.Errorf("%d servers: %d chains are remembered, want at most %d", n, total, maxChains)
		}
	}
}
