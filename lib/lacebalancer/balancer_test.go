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

// Guards against requests to a leaving server after Update, whatever the policy, load, failures and queued requests.
func TestLeavingServerIsNeverPicked(t *testing.T) {
	for _, policy := range []string{PolicyRoundRobin, PolicyLeast, PolicyAffinity} {
		random := rand.New(rand.NewPCG(seed, 1))
		f := engines(6, 4)
		b := balancer(t, laceconfig.Routing{Policy: policy, EjectAfter: 2}, f)
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

// Guards against a failing server that keeps getting requests, an ejected server that is never probed, concurrent
// probes of a server, and non-idempotent requests used as probes.
func TestEjectionAndProbing(t *testing.T) {
	b := balancer(t, laceconfig.Routing{EjectAfter: 3, EjectionTime: time.Second}, engines(2, 0))
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
	nonIdempotent := request()
	nonIdempotent.NonIdempotent = true
	if d := pick(b, now, nonIdempotent); d.Server != "s1" {
		t.Fatalf("a non-idempotent request probed %s", d.Server)
	}
	probe := pick(b, now, request())
	if probe.Server != "s0" {
		t.Fatalf("the ejected server was not probed, got %+v", probe)
	}
	for range 50 {
		if d := pick(b, now, request()); d.Server != "s1" {
			t.Fatal("two concurrent probes")
		}
	}
	b.Done(now, probe.Ticket, Success, time.Millisecond)
	if d := pick(b, now, request()); d.Server != "s0" {
		t.Fatalf("the server was not reinstated: %+v", d)
	}
}

// Guards against an ejected server of a service without idempotent requests that is never tried again.
func TestNonIdempotentRequestsProbeAfterLongEjection(t *testing.T) {
	b := balancer(t, laceconfig.Routing{EjectAfter: 1, EjectionTime: time.Second}, engines(2, 0))
	b.Done(start(), pick(b, start(), request()).Ticket, Failure, 0)
	r := request()
	r.NonIdempotent = true
	healthy := pick(b, at(time.Second), r).Server
	for after, probe := range map[time.Duration]bool{time.Second + maxUnprobed - 1: false, time.Second + maxUnprobed: true} {
		d := pick(b, at(after), r)
		if (d.Server != healthy) != probe {
			t.Errorf("%v after the ejection: got %s, while %s is healthy", after, d.Server, healthy)
		}
		b.Done(at(after), d.Ticket, Neutral, 0)
	}
}

// Guards against a pool that refuses all requests because all its servers are ejected.
func TestPoolWithAllServersEjectedIsProbedImmediately(t *testing.T) {
	b := balancer(t, laceconfig.Routing{EjectAfter: 1, EjectionTime: time.Minute}, engines(2, 4))
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

// Guards against retry storms: retries that multiply the load of a failing fleet.
func TestRetryBudget(t *testing.T) {
	b := balancer(t, laceconfig.Routing{RetryRatio: 0.1, EjectAfter: 1 << 30}, engines(3, 0))
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
	if retries < 100 || retries > 100+initialRetryBudget {
		t.Fatalf("%d retries for 1000 requests", retries)
	}
}

// Guards against more requests to a full server, priority inversion, an unbounded queue, queued requests that outlive
// their deadline, and queued requests that are not assigned when capacity becomes free.
func TestQueueing(t *testing.T) {
	b := balancer(t, laceconfig.Routing{MaxQueued: 3, QueueTimeout: time.Second}, engines(1, 4))
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
	d, displaced := b.Pick(start(), urgent)
	if d.Verdict != Waiting || len(displaced) != 1 ||
		displaced[0].Ticket != waiting[2].Ticket || displaced[0].Reason != Displaced {
		t.Fatalf("got %+v, %+v", d, displaced)
	}
	granted := b.Done(start(), sent[0], Success, time.Second)
	if len(granted) != 1 || granted[0].Ticket != d.Ticket || granted[0].Verdict != Assigned {
		t.Fatalf("got %+v", granted)
	}
	next, _ := b.Next()
	expired := b.Tick(next)
	if len(expired) != 1 || expired[0].Ticket != waiting[0].Ticket || expired[0].Reason != DeadlineExceeded ||
		!next.Equal(at(500*time.Millisecond)) {
		t.Fatalf("at %v got %+v", next, expired)
	}
	if resized := b.Update(start(), engines(1, 40), nil); len(resized) != 1 || resized[0].Ticket != waiting[1].Ticket {
		t.Fatalf("got %+v", resized)
	}
	if len(b.waiting) != 0 {
		t.Fatalf("%d tickets are still queued", len(b.waiting))
	}
}

// Guards against starvation of a draft request while chat requests keep the pool full.
func TestLowPriorityIsNotStarved(t *testing.T) {
	b := balancer(t, laceconfig.Routing{QueueTimeout: time.Hour}, engines(1, 1))
	first := pick(b, start(), Request{Pool: ModelPool("m"), Priority: laceunit.PriorityChat})
	second := pick(b, start(), Request{Pool: ModelPool("m"), Priority: laceunit.PriorityChat})
	draft := pick(b, start(), Request{Pool: ModelPool("m"), Account: "draft"})
	running := []Ticket{first.Ticket, second.Ticket}
	for n := 0; draft.Verdict != Assigned; n++ {
		if n > 20 {
			t.Fatalf("the draft is still queued after %d chats", n)
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

// Guards against a load estimate that counts local requests twice, ignores requests sent since the last report, or
// never discounts an old report.
func TestLoadEstimate(t *testing.T) {
	b := balancer(t, laceconfig.Routing{}, engines(2, 100))
	s := b.servers["s0"]
	s.addInFlight(at(0), 1)
	s.addInFlight(at(2*time.Second), 1)
	s.addInFlight(at(3*time.Second), 1)
	// The report was made at second 1: 1 of its 8 requests is local, and 2 local requests were sent later.
	b.Report(at(4*time.Second), "s0", Load{Running: 6, Waiting: 2}, 3*time.Second)
	for _, c := range []struct {
		now  time.Duration
		want float64
	}{{time.Second, 3 + 8}, {6 * time.Second, 3 + 8*0.5 + 3.0625*0.5}, {time.Hour, 3 + 3.0625}} {
		// Mean remote and local load are equal, so half of the 2 new local requests are added to the remote load of 7.
		s.updateLoadEstimate(at(c.now), meanLoad{localLoad: 3.5, remoteLoad: 3.5})
		if s.loadEstimate != c.want {
			t.Errorf("at %v: estimate %v, want %v", c.now, s.loadEstimate, c.want)
		}
	}
	b.Report(at(5*time.Second), "s0", Load{Running: 50}, 4500*time.Millisecond)
	if s.remoteLoad != 7 {
		t.Errorf("an older report replaced a newer one: %v", s.remoteLoad)
	}
}
