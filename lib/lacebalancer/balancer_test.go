package lacebalancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const seed = 5

type fleet = map[laceunit.ServerID]laceconfig.Server

func start() time.Time { return time.Unix(1000, 0) }

func at(d time.Duration) time.Time { return start().Add(d) }

func engines(n, slots int) fleet {
	f := fleet{}
	for i := range n {
		f[laceunit.ServerID(fmt.Sprintf("s%d", i))] = laceconfig.Server{
			Kind:   laceconfig.KindEngine,
			Models: []laceunit.ModelID{"m"},
			Slots:  slots,
		}
	}
	return f
}

func balancer(t testing.TB, routing laceconfig.Routing, f fleet) *Balancer {
	t.Helper()
	b, err := New(routing, rand.New(rand.NewPCG(seed, 0)).IntN)
	if err != nil {
		t.Fatal(err)
	}
	b.Update(start(), f, nil)
	return b
}

func request() Request { return Request{Pool: ModelPool("m"), Account: "a"} }

func pick(b *Balancer, now time.Time, r Request) Decision {
	d, _ := b.Pick(now, r)
	return d
}

// Guards against a leaving server that is picked after Update, under any policy, load, failure or waiting request.
func TestLeavingServerIsNeverPicked(t *testing.T) {
	for _, policy := range []string{PolicyRoundRobin, PolicyLeast, PolicyAffinity} {
		random := rand.New(rand.NewPCG(seed, 1))
		f := engines(6, 4)
		b := balancer(t, laceconfig.Routing{Policy: policy, Eject: 2}, f)
		leaving := map[laceunit.ServerID]bool{}
		now := start()
		var sent []Ticket
		check := func(decisions ...Decision) {
			for _, d := range decisions {
				if d.Verdict != Assigned {
					continue
				}
				if _, ok := f[d.Server]; leaving[d.Server] || !ok {
					t.Fatalf("%s, seed %d: picked %s, which is leaving", policy, seed, d.Server)
				}
				sent = append(sent, d.Ticket)
			}
		}
		for range 5000 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			id := laceunit.ServerID(fmt.Sprintf("s%d", random.IntN(6)))
			switch random.IntN(8) {
			case 0:
				leaving[id] = !leaving[id]
				check(b.Update(now, f, leaving)...)
			case 1:
				check(b.Report(now, id, Load{Running: random.IntN(6)}, time.Second)...)
			case 2, 3:
				if len(sent) > 0 {
					i := random.IntN(len(sent))
					done := sent[i]
					sent = slices.Delete(sent, i, i+1)
					check(b.Done(now, done, Result(1+random.IntN(4)), time.Second)...)
				}
			case 4:
				check(b.Tick(now)...)
			default:
				d, more := b.Pick(now, Request{
					Pool:     ModelPool("m"),
					Priority: laceunit.Priority(random.IntN(4)),
					Prefix:   uint64(random.IntN(5)),
					Exclude:  []laceunit.ServerID{id},
				})
				check(append(more, d)...)
			}
		}
	}
}

// Guards against a failing server that keeps getting requests, one that is never tried again, more than one probe at
// a time, and a non-idempotent request used as a probe.
func TestEjectionAndProbing(t *testing.T) {
	b := balancer(t, laceconfig.Routing{Eject: 3, Probe: time.Second}, engines(2, 0))
	fail := func(now time.Time, id laceunit.ServerID) int {
		n := 0
		for range 200 {
			d := pick(b, now, request())
			r := Success
			if d.Server == id {
				r, n = Failure, n+1
			}
			b.Done(now, d.Ticket, r, time.Millisecond)
		}
		return n
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{
		{0, 3},
		{999 * time.Millisecond, 0},
		{time.Second, 1},
		{2900 * time.Millisecond, 0},
		{3 * time.Second, 1},
	} {
		if n := fail(at(c.after), "s0"); n != c.want {
			t.Fatalf("after %v: %d requests failed at the server, want %d", c.after, n, c.want)
		}
	}
	now := at(time.Minute)
	once := request()
	once.NonIdempotent = true
	if d := pick(b, now, once); d.Server != "s1" {
		t.Fatalf("a non-idempotent request probed %s", d.Server)
	}
	probe := pick(b, now, request())
	if probe.Server != "s0" {
		t.Fatalf("not probed, got %+v", probe)
	}
	for range 50 {
		if d := pick(b, now, request()); d.Server != "s1" {
			t.Fatal("two probes at once")
		}
	}
	b.Done(now, probe.Ticket, Success, time.Millisecond)
	if d := pick(b, now, request()); d.Server != "s0" {
		t.Fatalf("the server is not back: %+v", d)
	}
}

// Guards against a pool that refuses everything because all its servers were ejected together.
func TestAllEjectedIsProbedAtOnce(t *testing.T) {
	b := balancer(t, laceconfig.Routing{Eject: 1, Probe: time.Minute}, engines(2, 4))
	for range 2 {
		b.Done(start(), pick(b, start(), request()).Ticket, Failure, 0)
	}
	probe := pick(b, start(), request())
	if probe.Verdict != Assigned {
		t.Fatalf("got %+v", probe)
	}
	b.Done(start(), probe.Ticket, Success, 0)
	if d := pick(b, start(), request()); d.Server != probe.Server {
		t.Fatalf("got %+v", d)
	}
}

// Guards against retries that multiply the load of a failing fleet.
func TestRetryBudget(t *testing.T) {
	b := balancer(t, laceconfig.Routing{Retries: 0.1, Eject: 1 << 30}, engines(3, 0))
	retries := 0
	for range 1000 {
		d := pick(b, start(), request())
		for n := 0; d.Verdict == Assigned && n < 10; n++ {
			b.Done(start(), d.Ticket, Failure, 0)
			r := request()
			r.Retry = true
			if d = pick(b, start(), r); d.Verdict == Assigned {
				retries++
			} else if d.Reason != RetryBudgetExhausted || d.RetryAfter <= 0 {
				t.Fatalf("got %+v", d)
			}
		}
	}
	if retries < 100 || retries > 100+retryBurst {
		t.Fatalf("%d retries for 1000 requests", retries)
	}
}

// Guards against a full server that gets more, a low priority served first, a queue
// without a bound, a waiter that outlives its deadline, and a waiter that is not told when its place is free.
func TestQueueing(t *testing.T) {
	b := balancer(t, laceconfig.Routing{Queue: 3, Wait: time.Second}, engines(1, 4))
	var sent []Ticket
	for range 5 {
		d := pick(b, start(), request())
		if d.Verdict != Assigned {
			t.Fatalf("got %+v", d)
		}
		sent = append(sent, d.Ticket)
	}
	var waiting []Decision
	for _, deadline := range []time.Duration{500 * time.Millisecond, 0, 0} {
		r := request()
		if deadline > 0 {
			r.Deadline = at(deadline)
		}
		waiting = append(waiting, pick(b, start(), r))
		if waiting[len(waiting)-1].Verdict != Waiting {
			t.Fatalf("got %+v", waiting)
		}
	}
	if d := pick(b, start(), request()); d.Reason != QueueFull || d.RetryAfter <= 0 {
		t.Fatalf("got %+v", d)
	}
	urgent := request()
	urgent.Priority = laceunit.PriorityCritical
	for range 3 {
		if d := pick(b, start(), urgent); d.Verdict != Assigned {
			t.Fatalf("urgent request got %+v", d)
		}
	}
	d, gone := b.Pick(start(), urgent)
	if d.Verdict != Waiting || len(gone) != 1 || gone[0].Ticket != waiting[2].Ticket || gone[0].Reason != Displaced {
		t.Fatalf("got %+v, %+v", d, gone)
	}
	free := b.Done(start(), sent[0], Success, time.Second)
	if len(free) != 1 || free[0].Ticket != d.Ticket || free[0].Verdict != Assigned {
		t.Fatalf("got %+v", free)
	}
	next, _ := b.Next()
	late := b.Tick(next)
	if len(late) != 1 || late[0].Ticket != waiting[0].Ticket || late[0].Reason != DeadlineExceeded || !next.Equal(at(500*time.Millisecond)) {
		t.Fatalf("at %v got %+v", next, late)
	}
	if more := b.Update(start(), engines(1, 40), nil); len(more) != 1 || more[0].Ticket != waiting[1].Ticket {
		t.Fatalf("got %+v", more)
	}
	if len(b.waiting) != 0 {
		t.Fatalf("%d tickets left", len(b.waiting))
	}
}

// Guards against a draft that waits for ever while chats keep its pool full.
func TestNoStarvation(t *testing.T) {
	b := balancer(t, laceconfig.Routing{Wait: time.Hour}, engines(1, 1))
	first := pick(b, start(), Request{Pool: ModelPool("m"), Priority: laceunit.PriorityChat})
	second := pick(b, start(), Request{Pool: ModelPool("m"), Priority: laceunit.PriorityChat})
	draft := pick(b, start(), Request{Pool: ModelPool("m"), Account: "draft"})
	running := []Ticket{first.Ticket, second.Ticket}
	for n := 0; draft.Verdict != Assigned; n++ {
		if n > 20 {
			t.Fatalf("the draft still waits after %d chats", n)
		}
		pick(b, start(), Request{Pool: ModelPool("m"), Priority: laceunit.PriorityChat})
		for _, d := range b.Done(start(), running[0], Success, time.Second) {
			running = append(running, d.Ticket)
			if d.Ticket == draft.Ticket {
				draft = d
			}
		}
		running = running[1:]
	}
}

// Guards against an estimate that counts own requests twice, ignores those sent since the report, or trusts a report
// for ever.
func TestLoadEstimate(t *testing.T) {
	b := balancer(t, laceconfig.Routing{}, engines(2, 100))
	s := b.servers["s0"]
	s.count(at(0), 1)
	s.count(at(2*time.Second), 1)
	s.count(at(3*time.Second), 1)
	// The report is from second 1: of its 8 requests one is ours, and two of ours came later.
	b.Report(at(4*time.Second), "s0", Load{Running: 6, Waiting: 2}, 3*time.Second)
	for _, c := range []struct {
		now  time.Duration
		want float64
	}{{time.Second, 3 + 8}, {6 * time.Second, 3 + 8*0.5 + 3.0625*0.5}, {time.Hour, 3 + 3.0625}} {
		// The others have as much as this instance, so half of its 2 new requests are added to their 7.
		s.weigh(at(c.now), view{local: 3.5, others: 3.5})
		if s.estimate != c.want {
			t.Errorf("at %v: estimate %v, want %v", c.now, s.estimate, c.want)
		}
	}
	b.Report(at(5*time.Second), "s0", Load{Running: 50}, 4500*time.Millisecond)
	if s.others != 7 {
		t.Errorf("an older report replaced a newer one: %v", s.others)
	}
}
