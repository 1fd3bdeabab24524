package lacebalancer

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// rateLimitedBalancer is a balancer with a simulated clock whose servers get rate limits.
type rateLimitedBalancer struct {
	*Balancer
	now time.Time
}

func newRateLimitedBalancer(t *testing.T, servers int) *rateLimitedBalancer {
	t.Helper()
	b := &rateLimitedBalancer{now: start()}
	f := fleet{}
	for i := range servers {
		f[laceunit.ServerID(fmt.Sprintf("s%d", i))] = laceconfig.Server{
			Models:    []laceunit.ModelID{"m"},
			Slots:     100,
			StartTime: 7,
		}
	}
	var err error
	b.Balancer, err = New(laceconfig.Routing{}, func(int) int { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	b.Update(b.now, f, nil)
	return b
}

// pick requests a server with a maximum time in the queue.
func (b *rateLimitedBalancer) pick(wait time.Duration) Decision {
	d, _ := b.Pick(b.now, Request{
		Pool:     ModelPool("m"),
		Deadline: b.now.Add(wait),
	})
	return d
}

func (b *rateLimitedBalancer) setRate(id laceunit.ServerID, rate laceunit.Rate) []Decision {
	return b.SetAllowance(b.now, id, 7, Allowance{
		Rate:  rate,
		Total: 4 * rate,
	})
}

// Guards against exceeding the allowance over any period, whatever the rate and however often it is set.
func TestAllowanceBoundsRequestRate(t *testing.T) {
	for _, rate := range []laceunit.Rate{0.2, 1, 3.5, 40} {
		b := newRateLimitedBalancer(t, 1)
		var sent []time.Time
		for range 3000 {
			b.now = b.now.Add(7 * time.Millisecond)
			b.setRate("s0", rate)
			if d := b.pick(time.Millisecond); d.Verdict == Assigned {
				sent = append(sent, b.now)
				b.Done(b.now, d.Ticket, Success, time.Millisecond)
			}
		}
		if n, most := len(sent), int(21*float64(rate))+1+int(burstWindow.Seconds()*float64(rate)); n > most ||
			float64(n) < 0.9*21*float64(rate) {
			t.Errorf("at %g a second: %d requests in 21 s, at most %d", rate, n, most)
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			if most := int(float64(rate)) + 2 + int(burstWindow.Seconds()*float64(rate)); n > most {
				t.Fatalf("at %g a second: %d requests within a second", rate, n)
			}
		}
	}
}

// Guards against queueing requests that no server can take before their deadline, against too short retry delays, and
// against refusing requests that could have been queued.
func TestRequestsNoServerCanTakeInTimeAreRefusedImmediately(t *testing.T) {
	b := newRateLimitedBalancer(t, 2)
	b.setRate("s0", 1)
	b.setRate("s1", 0)
	if d := b.pick(0); d.Verdict != Assigned || d.Server != "s0" {
		t.Fatalf("the first request: %+v", d)
	}
	if d := b.pick(900 * time.Millisecond); d.Verdict != Refused || d.Reason != RateLimited ||
		d.RetryAfter < time.Second {
		t.Errorf("a request that can't be sent in time: %+v", d)
	}
	if d := b.Demand("s1", 7); !d.LastThrottled.Equal(b.now) {
		t.Errorf("demand for a server without a share of its limit: %+v", d)
	}
	queued := b.pick(1500 * time.Millisecond)
	if queued.Verdict != Waiting {
		t.Fatalf("a request that can be queued: %+v", queued)
	}
	if d := b.pick(1500 * time.Millisecond); d.Reason != RateLimited || d.RetryAfter < 2*time.Second {
		t.Errorf("a request behind a queued one: %+v", d)
	}
	next, _ := b.Next()
	b.now = b.now.Add(time.Second)
	if next.After(b.now) {
		t.Errorf("next tick at %s, %s too late", next, next.Sub(b.now))
	}
	if d := b.Tick(b.now); len(d) != 1 || d[0].Ticket != queued.Ticket || d[0].Verdict != Assigned {
		t.Errorf("after a second: %+v", d)
	}
	b.now = b.now.Add(time.Millisecond)
	queued = b.pick(1500 * time.Millisecond)
	if d := b.setRate("s0", 0); len(d) != 1 || d[0].Ticket != queued.Ticket || d[0].Reason != RateLimited {
		t.Errorf("after the share was removed: %+v", d)
	}
	b.ClearAllowance(b.now, "s1", 7)
	if d := b.pick(0); d.Verdict != Assigned || d.Server != "s1" {
		t.Errorf("after the limit was removed: %+v", d)
	}
}

// Guards against requests that were assigned before a limit was set but are sent after it, against losing a limit while
// the entry of its server disappears for a time, and against a limit that outlives the server incarnation that set it.
func TestLimitAppliesToOneServerIncarnation(t *testing.T) {
	b := newRateLimitedBalancer(t, 1)
	before := b.pick(0)
	b.setRate("s0", 1)
	counted := b.pick(0)
	if r := b.BlockReason(b.now, before.Ticket); r != BlockRateLimited || r.String() != "limit" {
		t.Errorf("a request assigned before the limit: %q", r)
	}
	if r := b.BlockReason(b.now, counted.Ticket); r != BlockNone {
		t.Errorf("a request that counts against the limit: %q", r)
	}
	for _, startTime := range []int64{7, 8} {
		b.Update(b.now, fleet{}, nil)
		b.Update(b.now, fleet{"s0": {
			Models:    []laceunit.ModelID{"m"},
			Slots:     100,
			StartTime: startTime,
		}}, nil)
		if d := b.pick(0); (d.Verdict == Assigned) != (startTime == 8) {
			t.Errorf("start time %d: %+v", startTime, d)
		}
	}
}

// Guards against using a share of a limit before its start or after its expiry.
func TestAllowanceExpires(t *testing.T) {
	b := newRateLimitedBalancer(t, 1)
	b.SetAllowance(b.now, "s0", 7, Allowance{
		Rate:  1,
		Total: 4,
		From:  b.now.Add(time.Second),
		Until: b.now.Add(2 * time.Second),
	})
	for _, c := range []struct {
		at   time.Duration
		sent bool
	}{{at: 999 * time.Millisecond}, {at: time.Second, sent: true}, {at: 2 * time.Second}, {at: time.Hour}} {
		shifted := &rateLimitedBalancer{
			Balancer: b.Balancer,
			now:      b.now.Add(c.at),
		}
		if d := shifted.pick(0); (d.Verdict == Assigned) != c.sent {
			t.Errorf("after %s: %+v", c.at, d)
		}
	}
}

// Guards against requests that are queued in vain because the only server without a limit is ejected.
func TestEjectedServerIsProbedWhenOthersAreRateLimited(t *testing.T) {
	b := newRateLimitedBalancer(t, 2)
	b.servers["s1"].recordFailure(b.now, 1, time.Second, false)
	b.setRate("s0", 0)
	if d := b.pick(200 * time.Millisecond); d.Verdict != Assigned || d.Server != "s1" {
		t.Errorf("with the other server rate limited: %+v", d)
	}
}
