package lacebalancer

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// Guards against a hot prefix that overloads its server, a prefix that changes servers without need, and excluded or
// suspect servers that are used while others have capacity.
func TestAffinityIsBounded(t *testing.T) {
	b := balancer(t, laceconfig.Routing{LoadFactor: 1.25}, engines(10, 1000))
	hot, homes := request(), map[laceunit.ServerID]int{}
	hot.Prefix = 42
	for range 400 {
		homes[pick(b, start(), hot).Server]++
	}
	for id, n := range homes {
		if n > 51 {
			t.Errorf("%s got %d of 400 requests", id, n)
		}
	}
	b = balancer(t, laceconfig.Routing{}, engines(10, 1000))
	home := pick(b, start(), hot)
	for range 20 {
		b.Done(start(), home.Ticket, Success, 0)
		if d := pick(b, start(), hot); d.Server != home.Server {
			t.Fatal("a prefix changed servers without need")
		} else {
			home = d
		}
	}
	// s0 comes late in the rendezvous order of the prefix, and other servers follow it in the list.
	b.SetCached("s0", 42, true)
	b.SetCached("s4", 42, true)
	b.SetCached("s4", 42, false)
	if d := pick(b, start(), hot); d.Server != "s0" {
		t.Errorf("got %s instead of the server that has the prefix cached", d.Server)
	}
	b.MarkSuspect(start(), "s0")
	hot.Exclude = []laceunit.ServerID{home.Server}
	for range 20 {
		if d := pick(b, start(), hot); d.Server == "s0" || d.Server == home.Server {
			t.Fatalf("got %s", d.Server)
		}
	}
	b.Update(start(), engines(1, 9), nil)
	hot.Exclude = []laceunit.ServerID{"s0"}
	if d := pick(b, start(), hot); d.Server != "s0" {
		t.Errorf("the only server is not used for a retry: %+v", d)
	}
	if d := pick(b, start(), Request{Pool: ModelPool("other")}); d.Reason != NoServer {
		t.Errorf("got %+v", d)
	}
}

// Guards against a prefix that uses all slots of its server, and against instances without load reports that all
// overload the same server.
func TestAffinityKeepsHeadroomAndSpreadsWithoutReports(t *testing.T) {
	b := balancer(t, laceconfig.Routing{LoadFactor: 100}, engines(2, 10))
	r := request()
	r.Prefix = 42
	homes := map[laceunit.ServerID]int{}
	for range 10 {
		homes[pick(b, start(), r).Server]++
	}
	if homes["s0"] != 9 && homes["s1"] != 9 {
		t.Errorf("got %v, want 9 of 10 slots used", homes)
	}
	for _, c := range []struct {
		reports  bool
		min, max int
	}{{false, 10, 64}, {true, 1, 1}} {
		chosen := map[laceunit.ServerID]bool{}
		for n := range uint64(64) {
			instance, _ := New(laceconfig.Routing{}, rand.New(rand.NewPCG(seed, n)).IntN)
			f := engines(50, 10)
			instance.Update(start(), f, nil)
			for id := range f {
				if c.reports {
					instance.Report(start(), id, Load{}, 0)
				}
			}
			instance.Done(start(), pick(instance, start(), r).Ticket, Success, 0)
			chosen[pick(instance, start(), r).Server] = true
		}
		if len(chosen) < c.min || len(chosen) > c.max {
			t.Errorf("reports %v: 64 instances use %d servers for a prefix", c.reports, len(chosen))
		}
	}
}

// cpu returns the CPU time of the process, which does not include other load on the machine.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPickByTokens measures one Pick, Progress and Done of a request with a prompt.
func BenchmarkPickByTokens(b *testing.B) {
	for _, n := range []int{10, 140, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb := balancer(b, laceconfig.Routing{}, engines(n, 64))
			r := request()
			before := cpu()
			for i := 0; b.Loop(); i++ {
				r.Prompt = prompt(5382, 6610)
				r.Prompt.Parts[1].Hash = mix(uint64(i%100)) | 1
				d, _ := lb.Pick(start(), r)
				lb.Progress(start(), d.Ticket, 1)
				lb.Done(start(), d.Ticket, Success, time.Second)
			}
			b.ReportMetric(float64(cpu()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkPick measures one Pick and Done.
func BenchmarkPick(b *testing.B) {
	for _, policy := range []string{PolicyRoundRobin, PolicyLeast, PolicyAffinity} {
		for _, n := range []int{10, 150, 1500} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				lb := balancer(b, laceconfig.Routing{Policy: policy}, engines(n, 64))
				r := request()
				before := cpu()
				for i := 0; b.Loop(); i++ {
					r.Prefix = mix(uint64(i%1000)) | 1
					d, _ := lb.Pick(start(), r)
					lb.Done(start(), d.Ticket, Success, time.Second)
				}
				b.ReportMetric(float64(cpu()-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}
