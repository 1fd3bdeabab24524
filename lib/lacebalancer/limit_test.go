package lacebalancer

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// limited is a balancer over servers with limits, and its clock.
type limited struct {
	*Balancer
	now time.Time
}

func newLimited(t *testing.T, servers int) *limited {
	t.Helper()
	l := &limited{now: start()}
	f := fleet{}
	for i := range servers {
		f[laceunit.ServerID(fmt.Sprintf("s%d", i))] = laceconfig.Server{
			Models: []laceunit.ModelID{"m"},
			Slots:  100,
			Born:   7,
		}
	}
	var err error
	l.Balancer, err = New(laceconfig.Routing{}, func(int) int { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	l.Update(l.now, f, nil)
	return l
}

// pick asks for a server within a time.
func (l *limited) pick(wait time.Duration) Decision {
	d, _ := l.Pick(l.now, Request{
		Pool:     ModelPool("m"),
		Deadline: l.now.Add(wait),
	})
	return d
}

func (l *limited) set(id laceunit.ServerID, rate laceunit.Rate) []Decision {
	return l.SetAllowance(l.now, id, 7, Allowance{
		Rate:  rate,
		Total: 4 * rate,
	})
}

// Guards against more requests than the allowance over any time, whatever the rate and however often it is set.
func TestAllowanceBoundsWhatIsSent(t *testing.T) {
	for _, rate := range []laceunit.Rate{0.2, 1, 3.5, 40} {
		l := newLimited(t, 1)
		var sent []time.Time
		for range 3000 {
			l.now = l.now.Add(7 * time.Millisecond)
			l.set("s0", rate)
			if d := l.pick(time.Millisecond); d.Verdict == Assigned {
				sent = append(sent, l.now)
				l.Done(l.now, d.Ticket, Success, time.Millisecond)
			}
		}
		if n, most := len(sent), int(21*float64(rate))+1+int(burstTime.Seconds()*float64(rate)); n > most || float64(n) < 0.9*21*float64(rate) {
			t.Errorf("at %g a second: %d requests in 21 s, at most %d", rate, n, most)
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			if most := int(float64(rate)) + 2 + int(burstTime.Seconds()*float64(rate)); n > most {
				t.Fatalf("at %g a second: %d requests within a second", rate, n)
			}
		}
	}
}

// Guards against requests that wait although no server takes them in time, against callers who are told to come back too early,
// and against refusals of what could have waited.
func TestWhatNoServerTakesIsRefusedAtOnce(t *testing.T) {
	l := newLimited(t, 2)
	l.set("s0", 1)
	l.set("s1", 0)
	if d := l.pick(0); d.Verdict != Assigned || d.Server != "s0" {
		t.Fatalf("the first request: %+v", d)
	}
	if d := l.pick(900 * time.Millisecond); d.Verdict != Refused || d.Reason != RateLimited || d.RetryAfter < time.Second {
		t.Errorf("a request that can't be sent in time: %+v", d)
	}
	if d := l.Demand("s1", 7); !d.LastThrottled.Equal(l.now) {
		t.Errorf("demand at a server without a part: %+v", d)
	}
	waits := l.pick(1500 * time.Millisecond)
	if waits.Verdict != Waiting {
		t.Fatalf("a request that can wait: %+v", waits)
	}
	if d := l.pick(1500 * time.Millisecond); d.Reason != RateLimited || d.RetryAfter < 2*time.Second {
		t.Errorf("a request behind one that waits: %+v", d)
	}
	next, _ := l.Next()
	l.now = l.now.Add(time.Second)
	if next.After(l.now) {
		t.Errorf("woken at %s, %s too late", next, next.Sub(l.now))
	}
	if d := l.Tick(l.now); len(d) != 1 || d[0].Ticket != waits.Ticket || d[0].Verdict != Assigned {
		t.Errorf("after a second: %+v", d)
	}
	l.now = l.now.Add(time.Millisecond)
	waits = l.pick(1500 * time.Millisecond)
	if d := l.set("s0", 0); len(d) != 1 || d[0].Ticket != waits.Ticket || d[0].Reason != RateLimited {
		t.Errorf("when the part goes: %+v", d)
	}
	l.ClearAllowance(l.now, "s1", 7)
	if d := l.pick(0); d.Verdict != Assigned || d.Server != "s1" {
		t.Errorf("when a limit has ended: %+v", d)
	}
}

// Guards against requests that were placed before a limit was heard and are sent after it, against a limit that is lost while the
// entry of its server lapses, and against one that outlives the start of the server that named it.
func TestLimitBelongsToAStart(t *testing.T) {
	l := newLimited(t, 1)
	before := l.pick(0)
	l.set("s0", 1)
	counted := l.pick(0)
	if h := l.BlockReason(l.now, before.Ticket); h != BlockRateLimited || h.String() != "limit" {
		t.Errorf("a request from before the limit: %q", h)
	}
	if h := l.BlockReason(l.now, counted.Ticket); h != BlockNone {
		t.Errorf("a request that counts against the limit: %q", h)
	}
	for _, born := range []int64{7, 8} {
		l.Update(l.now, fleet{}, nil)
		l.Update(l.now, fleet{"s0": {
			Models: []laceunit.ModelID{"m"},
			Slots:  100,
			Born:   born,
		}}, nil)
		if d := l.pick(0); (d.Verdict == Assigned) != (born == 8) {
			t.Errorf("start %d: %+v", born, d)
		}
	}
}

// Guards against a part that is used after the time for which it was given.
func TestAllowanceEnds(t *testing.T) {
	l := newLimited(t, 1)
	l.SetAllowance(l.now, "s0", 7, Allowance{
		Rate:  1,
		Total: 4,
		From:  l.now.Add(time.Second),
		Until: l.now.Add(2 * time.Second),
	})
	for _, c := range []struct {
		at   time.Duration
		sent bool
	}{{at: 999 * time.Millisecond}, {at: time.Second, sent: true}, {at: 2 * time.Second}, {at: time.Hour}} {
		x := &limited{
			Balancer: l.Balancer,
			now:      l.now.Add(c.at),
		}
		if d := x.pick(0); (d.Verdict == Assigned) != c.sent {
			t.Errorf("after %s: %+v", c.at, d)
		}
	}
}

// Guards against requests that wait for nothing because the only server without a limit is ejected.
func TestAnEjectedServerIsTriedWhenTheOthersHaveLimits(t *testing.T) {
	l := newLimited(t, 2)
	l.servers["s1"].failed(l.now, 1, time.Second, false)
	l.set("s0", 0)
	if d := l.pick(200 * time.Millisecond); d.Verdict != Assigned || d.Server != "s1" {
		t.Errorf("beside a server that takes nothing: %+v", d)
	}
}
