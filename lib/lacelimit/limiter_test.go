package lacelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

// Guards against an account that exceeds its request rate, its token rate or its concurrency limit, and against a
// refusal without a usable retry time.
func TestAccountLimits(t *testing.T) {
	l := New(laceconfig.Limits{Account: laceconfig.AccountLimits{RequestsPerSecond: 10}})
	count := func(limits laceconfig.AccountLimits, tokens laceunit.Tokens, output laceunit.Tokens, done bool) int {
		admitted := 0
		id := laceunit.AccountID(rune('a' + l.lastTicket))
		for n := range 1000 {
			now := startTime().Add(time.Duration(n) * 10 * time.Millisecond)
			d, _ := l.Admit(now, Request{
				Account: id,
				Tokens:  tokens,
				Limits:  limits,
			})
			if d.Verdict == Admitted {
				admitted++
				if done {
					l.Done(now, d.Ticket, output)
				}
			} else if d.Code != lacefault.RateLimited || d.RetryAfter <= 0 {
				t.Fatalf("got %+v", d)
			}
		}
		return admitted
	}
	// Over 10 s, a rate of r admits r*10 plus a burst of r.
	for _, c := range []struct {
		name     string
		got      int
		min, max int
	}{
		{"default rate", count(laceconfig.AccountLimits{}, 1, 0, true), 109, 110},
		{"own rate", count(laceconfig.AccountLimits{RequestsPerSecond: 20}, 1, 0, true), 219, 220},
		{"prompt tokens", count(laceconfig.AccountLimits{RequestsPerSecond: 1000, TokensPerSecond: 500}, 100, 0, true), 54, 55},
		{"output tokens", count(laceconfig.AccountLimits{RequestsPerSecond: 1000, TokensPerSecond: 500}, 0, 100, true), 54, 56},
		{"larger than the bucket", count(laceconfig.AccountLimits{RequestsPerSecond: 1000, TokensPerSecond: 50}, 100, 0, true), 5, 6},
		{"concurrency", count(laceconfig.AccountLimits{RequestsPerSecond: 1000, MaxConcurrent: 3}, 1, 0, false), 3, 3},
	} {
		if c.got < c.min || c.got > c.max {
			t.Errorf("%s: admitted %d, want %d to %d", c.name, c.got, c.min, c.max)
		}
	}
}

// Guards against requests beyond the instance's concurrency limit, a queue beyond its bound, the refusal of a request
// with a higher priority than a queued one, and a queued request that never gets a decision.
func TestInstanceLimits(t *testing.T) {
	l := New(laceconfig.Limits{MaxConcurrent: 1, MaxQueued: 2, QueueTimeout: time.Second})
	admit := func(priority laceunit.Priority) (Decision, []Decision) {
		return l.Admit(startTime(), Request{Account: "a", Priority: priority})
	}
	running, _ := admit(0)
	low, _ := admit(0)
	normal, _ := admit(1)
	if running.Verdict != Admitted || low.Verdict != Waiting || normal.Verdict != Waiting {
		t.Fatalf("got %v %v %v", running, low, normal)
	}
	if d, _ := admit(0); d.Verdict != Refused || d.Code != lacefault.Overloaded || d.RetryAfter <= 0 {
		t.Fatalf("got %+v", d)
	}
	urgent, displaced := admit(3)
	if urgent.Verdict != Waiting || len(displaced) != 1 || displaced[0].Ticket != low.Ticket ||
		displaced[0].Verdict != Refused {
		t.Fatalf("got %+v, %+v", urgent, displaced)
	}
	next := l.Done(startTime(), running.Ticket, 0)
	if len(next) != 1 || next[0].Ticket != urgent.Ticket || next[0].Verdict != Admitted || l.Running() != 1 {
		t.Fatalf("got %+v", next)
	}
	if l.Done(startTime(), running.Ticket, 0) != nil || l.Running() != 1 {
		t.Fatal("a second call of Done ended another request")
	}
	if d := l.Tick(startTime().Add(time.Second)); len(d) != 1 || d[0].Ticket != normal.Ticket ||
		d[0].Verdict != Refused {
		t.Fatalf("got %+v", d)
	}
	l.Done(startTime(), urgent.Ticket, 0)
	if a := l.accounts["a"]; a.outstanding != 0 || l.Cancel(normal.Ticket) {
		t.Fatalf("account still has %d outstanding requests", a.outstanding)
	}
}

// fifo is the baseline for comparison: one FIFO queue for all accounts.
type fifo struct {
	running, slots, bound int
	queue                 []job
}

type job struct {
	account   int
	arrivedAt time.Time
	ticket    Ticket
}

type completion struct {
	at     time.Time
	ticket Ticket
}

type tally struct {
	offered, refused int
	waits            []time.Duration
}

func (t *tally) p99() time.Duration {
	if len(t.waits) == 0 {
		return 0
	}
	slices.Sort(t.waits)
	return t.waits[len(t.waits)*99/100]
}

// simulateFlood offers 60 s of load to 20 slots with a mean service time of 100 ms: account 0 sends 2,000 requests/s,
// each of the nine others 10. The callbacks admit and complete a job; both return the jobs that start now and those
// that are refused.
func simulateFlood(admit func(job) ([]job, []job), done func(completion) ([]job, []job)) (flooder, others tally) {
	const seed = 11
	random := rand.New(rand.NewPCG(seed, 0))
	var running []completion
	apply := func(now time.Time, started, refused []job) {
		for _, j := range started {
			t := &others
			if j.account == 0 {
				t = &flooder
			}
			t.waits = append(t.waits, now.Sub(j.arrivedAt))
			c := completion{at: now.Add(time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))), ticket: j.ticket}
			at, _ := slices.BinarySearchFunc(running, c, func(a, b completion) int { return a.at.Compare(b.at) })
			running = slices.Insert(running, at, c)
		}
		for _, j := range refused {
			if j.account == 0 {
				flooder.refused++
			} else {
				others.refused++
			}
		}
	}
	now := startTime()
	for now.Before(startTime().Add(time.Minute)) {
		now = now.Add(time.Duration(random.ExpFloat64() / 2090 * float64(time.Second)))
		for len(running) > 0 && running[0].at.Before(now) {
			c := running[0]
			running = running[1:]
			s, r := done(c)
			apply(c.at, s, r)
		}
		j := job{arrivedAt: now}
		if n := random.IntN(209); n < 9 {
			j.account = n + 1
			others.offered++
		} else {
			flooder.offered++
		}
		s, r := admit(j)
		apply(now, s, r)
	}
	return flooder, others
}

func (f *fifo) admit(j job) (started, refused []job) {
	switch {
	case f.running < f.slots:
		f.running++
		return []job{j}, nil
	case len(f.queue) < f.bound:
		f.queue = append(f.queue, j)
		return nil, nil
	}
	return nil, []job{j}
}

func (f *fifo) done(completion) (started, refused []job) {
	f.running--
	if len(f.queue) == 0 {
		return nil, nil
	}
	j := f.queue[0]
	f.queue = f.queue[1:]
	f.running++
	return []job{j}, nil
}

// Guards against one flooding account that delays the requests of others or causes their refusal.
func TestFloodingAccountDoesNotStarveOthers(t *testing.T) {
	firstCome := &fifo{slots: 20, bound: 100}
	_, othersFIFO := simulateFlood(firstCome.admit, firstCome.done)

	l := New(laceconfig.Limits{MaxConcurrent: 20, MaxQueued: 100, QueueTimeout: 2 * time.Second})
	jobs := map[Ticket]job{}
	byVerdict := func(decisions []Decision) (started, refused []job) {
		for _, d := range decisions {
			j := jobs[d.Ticket]
			j.ticket = d.Ticket
			switch d.Verdict {
			case Admitted:
				started = append(started, j)
			case Refused:
				refused = append(refused, j)
			case Waiting:
			}
		}
		return started, refused
	}
	flooder, others := simulateFlood(func(j job) ([]job, []job) {
		d, more := l.Admit(j.arrivedAt, Request{Account: laceunit.AccountID(rune('a' + j.account))})
		jobs[d.Ticket] = j
		return byVerdict(append(more, d))
	}, func(c completion) ([]job, []job) { return byVerdict(l.Done(c.at, c.ticket, 0)) })

	t.Logf("other accounts, FIFO queue: %d of %d refused, wait p99 %v",
		othersFIFO.refused, othersFIFO.offered, othersFIFO.p99())
	t.Logf("other accounts, fair queue: %d of %d refused, wait p99 %v", others.refused, others.offered, others.p99())
	t.Logf("flooding account, fair queue: %d of %d refused", flooder.refused, flooder.offered)
	// The target for false refusals is 0.1%; the other accounts need less than half of the capacity. One round over ten
	// accounts takes 50 ms with 20 slots of 100 ms, and a request must not wait for more than two rounds.
	if others.refused*1000 >= others.offered || others.p99() > 100*time.Millisecond {
		t.Fatalf("other accounts: %d of %d refused, wait p99 %v", others.refused, others.offered, others.p99())
	}
	if len(flooder.waits) < 60*100 {
		t.Fatalf("only %d requests of the flooding account were admitted, capacity was left unused", len(flooder.waits))
	}
}
