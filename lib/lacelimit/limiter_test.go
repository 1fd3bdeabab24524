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

// Guards against an account that exceeds its request rate, its token rate or its concurrency, and against a
// refusal without a usable retry time.
func TestAccountLimits(t *testing.T) {
	l := New(laceconfig.Limits{Account: laceconfig.AccountLimits{Requests: 10}})
	count := func(limits laceconfig.AccountLimits, tokens laceunit.Tokens, output laceunit.Tokens, done bool) int {
		admitted := 0
		account := laceunit.AccountID(rune('a' + l.last))
		for n := range 1000 {
			now := start().Add(time.Duration(n) * 10 * time.Millisecond)
			d, _ := l.Admit(now, Request{
				Account: account,
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
		{"own rate", count(laceconfig.AccountLimits{Requests: 20}, 1, 0, true), 219, 220},
		{"prompt tokens", count(laceconfig.AccountLimits{Requests: 1000, Tokens: 500}, 100, 0, true), 54, 55},
		{"output tokens", count(laceconfig.AccountLimits{Requests: 1000, Tokens: 500}, 0, 100, true), 54, 56},
		{"larger than the bucket", count(laceconfig.AccountLimits{Requests: 1000, Tokens: 50}, 100, 0, true), 5, 6},
		{"concurrency", count(laceconfig.AccountLimits{Requests: 1000, Concurrent: 3}, 1, 0, false), 3, 3},
	} {
		if c.got < c.min || c.got > c.max {
			t.Errorf("%s: admitted %d, want %d to %d", c.name, c.got, c.min, c.max)
		}
	}
}

// Guards against requests beyond the instance's concurrency, a queue beyond its bound, a refusal of the more urgent
// request, and a waiting request that is never decided.
func TestInstanceLimits(t *testing.T) {
	l := New(laceconfig.Limits{Concurrent: 1, Waiting: 2, Wait: time.Second})
	admit := func(priority laceunit.Priority) (Decision, []Decision) {
		return l.Admit(start(), Request{Account: "a", Priority: priority})
	}
	running, _ := admit(0)
	draft, _ := admit(0)
	late, _ := admit(1)
	if running.Verdict != Admitted || draft.Verdict != Waiting || late.Verdict != Waiting {
		t.Fatalf("got %v %v %v", running, draft, late)
	}
	if d, _ := admit(0); d.Verdict != Refused || d.Code != lacefault.Overloaded || d.RetryAfter <= 0 {
		t.Fatalf("got %+v", d)
	}
	urgent, gone := admit(3)
	if urgent.Verdict != Waiting || len(gone) != 1 || gone[0].Ticket != draft.Ticket || gone[0].Verdict != Refused {
		t.Fatalf("got %+v, %+v", urgent, gone)
	}
	next := l.Done(start(), running.Ticket, 0)
	if len(next) != 1 || next[0].Ticket != urgent.Ticket || next[0].Verdict != Admitted || l.Running() != 1 {
		t.Fatalf("got %+v", next)
	}
	if l.Done(start(), running.Ticket, 0) != nil || l.Running() != 1 {
		t.Fatal("a ticket ended twice")
	}
	if d := l.Tick(start().Add(time.Second)); len(d) != 1 || d[0].Ticket != late.Ticket || d[0].Verdict != Refused {
		t.Fatalf("got %+v", d)
	}
	l.Done(start(), urgent.Ticket, 0)
	if a := l.accounts["a"]; a.present != 0 || l.Cancel(late.Ticket) {
		t.Fatalf("account keeps %d requests", a.present)
	}
}

// fifo is the naive admission: one queue for all accounts, first come, first served.
type fifo struct {
	running, slots, bound int
	queue                 []job
}

type job struct {
	account int
	at      time.Time
	ticket  Ticket
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

// flood offers 60 s of work to 20 slots of 100 ms: account 0 sends 2,000 requests/s, the nine others 10 each.
// The callbacks admit a job and end one; both return the jobs that start now, and admit whether the job was refused.
func flood(admit func(job) ([]job, []job), done func(completion) ([]job, []job)) (hog, others tally) {
	const seed = 11
	random := rand.New(rand.NewPCG(seed, 0))
	var running []completion
	apply := func(now time.Time, started, refused []job) {
		for _, j := range started {
			t := &others
			if j.account == 0 {
				t = &hog
			}
			t.waits = append(t.waits, now.Sub(j.at))
			c := completion{at: now.Add(time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))), ticket: j.ticket}
			at, _ := slices.BinarySearchFunc(running, c, func(a, b completion) int { return a.at.Compare(b.at) })
			running = slices.Insert(running, at, c)
		}
		for _, j := range refused {
			if j.account == 0 {
				hog.refused++
			} else {
				others.refused++
			}
		}
	}
	now := start()
	for now.Before(start().Add(time.Minute)) {
		now = now.Add(time.Duration(random.ExpFloat64() / 2090 * float64(time.Second)))
		for len(running) > 0 && running[0].at.Before(now) {
			c := running[0]
			running = running[1:]
			s, r := done(c)
			apply(c.at, s, r)
		}
		j := job{at: now}
		if n := random.IntN(209); n < 9 {
			j.account = n + 1
			others.offered++
		} else {
			hog.offered++
		}
		s, r := admit(j)
		apply(now, s, r)
	}
	return hog, others
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

// Guards against one flooding account that delays the others or gets them refused.
func TestFloodLeavesOthersAlone(t *testing.T) {
	naive := &fifo{slots: 20, bound: 100}
	_, before := flood(naive.admit, naive.done)

	l := New(laceconfig.Limits{Concurrent: 20, Waiting: 100, Wait: 2 * time.Second})
	jobs := map[Ticket]job{}
	split := func(decisions []Decision) (started, refused []job) {
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
	hog, after := flood(func(j job) ([]job, []job) {
		d, more := l.Admit(j.at, Request{Account: laceunit.AccountID(rune('a' + j.account))})
		jobs[d.Ticket] = j
		return split(append(more, d))
	}, func(c completion) ([]job, []job) { return split(l.Done(c.at, c.ticket, 0)) })

	t.Logf("others, first come first served: %d of %d refused, wait p99 %v", before.refused, before.offered, before.p99())
	t.Logf("others, fair queue: %d of %d refused, wait p99 %v", after.refused, after.offered, after.p99())
	t.Logf("flooding account, fair queue: %d of %d refused", hog.refused, hog.offered)
	// The target for false refusals is 0.1%; the others ask for less than half of the capacity. A turn of ten accounts
	// takes 50 ms at 20 slots of 100 ms, and a wait is to end within two turns.
	if after.refused*1000 >= after.offered || after.p99() > 100*time.Millisecond {
		t.Fatalf("others: %d of %d refused, wait p99 %v", after.refused, after.offered, after.p99())
	}
	if len(hog.waits) < 60*100 {
		t.Fatalf("the flooding account got %d requests through, capacity was left unused", len(hog.waits))
	}
}
