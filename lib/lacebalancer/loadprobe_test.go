package lacebalancer

import (
	"fmt"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// loadedPool simulates a service whose servers process each request in workTime and then report their load.
type loadedPool struct {
	balancer *Balancer
	// slots is the number of requests that a server processes at a time; zero makes every server reject all of them.
	slots   int
	report  func(id laceunit.ServerID, running int) Load
	running map[laceunit.ServerID]int
	open    []loadedRequest
}

type loadedRequest struct {
	ticket Ticket
	server laceunit.ServerID
	end    time.Time
}

const workTime = 30 * time.Millisecond

func newLoadedPool(t *testing.T) *loadedPool {
	t.Helper()
	return &loadedPool{
		balancer: balancer(t, laceconfig.Routing{}, engines(4, 6)),
		slots:    6,
		report:   func(_ laceunit.ServerID, running int) Load { return Load{Running: running, Slots: 6} },
		running:  map[laceunit.ServerID]int{},
	}
}

// run sends 20 requests a second in a period and returns how many were sent and how many were served without waiting
// longer than the queue permits.
func (p *loadedPool) run(from, to time.Time, priority laceunit.Priority) (sent, served int) {
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		served += p.advance(now)
		if now.Sub(from)%(50*time.Millisecond) != 0 {
			continue
		}
		sent++
		d, more := p.balancer.Pick(now, Request{
			Pool:          ModelPool("m"),
			Priority:      priority,
			NonIdempotent: true,
			Deadline:      now.Add(40 * time.Millisecond),
		})
		p.start(now, append(more, d)...)
	}
	return sent, served
}

func (p *loadedPool) start(now time.Time, decisions ...Decision) {
	for _, d := range decisions {
		if d.Verdict != Assigned {
			continue
		}
		if p.running[d.Server] >= p.slots {
			p.start(now, p.balancer.Done(now, d.Ticket, Busy, 0)...)
			continue
		}
		p.running[d.Server]++
		p.open = append(p.open, loadedRequest{
			ticket: d.Ticket,
			server: d.Server,
			end:    now.Add(workTime),
		})
	}
}

// advance ends the requests that are due and returns their number.
func (p *loadedPool) advance(now time.Time) int {
	served := 0
	open := p.open
	p.open = nil
	for _, x := range open {
		if now.Before(x.end) {
			p.open = append(p.open, x)
			continue
		}
		served++
		p.running[x.server]--
		p.start(now, p.balancer.Report(now, x.server, p.report(x.server, p.running[x.server]+1), 0)...)
		p.start(now, p.balancer.Done(now, x.ticket, Success, workTime)...)
	}
	p.start(now, p.balancer.Tick(now)...)
	return served
}

// Guards against a service that is refused permanently because of load reports that only further responses of its servers
// could correct: wrong figures of one server or of all, and servers that were full for a moment.
func TestReportedLoadLapses(t *testing.T) {
	absurd := Load{Running: 100000, Slots: 6}
	for name, c := range map[string]struct {
		priority laceunit.Priority
		trouble  func(p *loadedPool)
	}{
		"one server reports an absurd load": {
			trouble: func(p *loadedPool) { p.balancer.Report(at(time.Second), "s0", absurd, 0) },
		},
		"all servers report an absurd load": {
			trouble: func(p *loadedPool) {
				for i := range 4 {
					p.balancer.Report(at(time.Second), laceunit.ServerID(fmt.Sprintf("s%d", i)), absurd, 0)
				}
			},
		},
		"all servers reject all requests": {
			trouble: func(p *loadedPool) {
				p.slots = 0
				p.run(at(time.Second), at(4*time.Second), laceunit.PriorityDraft)
				p.slots = 6
			},
		},
		"all servers report that they are full": {
			priority: laceunit.PriorityCritical,
			trouble: func(p *loadedPool) {
				normal := p.report
				p.report = func(laceunit.ServerID, int) Load {
					return Load{
						Running: 6,
						Waiting: 24,
						Slots:   6,
					}
				}
				p.run(at(time.Second), at(4*time.Second), laceunit.PriorityCritical)
				p.report = normal
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newLoadedPool(t)
			p.run(start(), at(time.Second), c.priority)
			c.trouble(p)
			p.run(at(4*time.Second), at(5*time.Second), c.priority)
			if sent, served := p.run(at(5*time.Second), at(15*time.Second), c.priority); served < sent*95/100 {
				t.Errorf("%d of %d requests are served by idle servers from 1 s after the trouble on", served, sent)
			}
		})
	}
}

// Guards against a report that never expires while the instance has no requests for the pool.
func TestOldReportsDoNotCountInTheMean(t *testing.T) {
	b := balancer(t, laceconfig.Routing{}, engines(4, 6))
	for i := range 4 {
		b.Report(start(), laceunit.ServerID(fmt.Sprintf("s%d", i)), Load{Running: 12, Slots: 6}, 0)
	}
	for i := range 4 {
		if d := pick(b, at(maxReportAge+reportSweepInterval), request()); d.Verdict != Assigned || d.LoadEstimate > 1 {
			t.Fatalf("request %d after a long pause without reports: %+v", i, d)
		}
	}
}

// Guards against probes that overload full servers: while the servers are full, an instance sends at most one request
// beyond their capacity in an interval.
func TestFullServersAreProbedRarely(t *testing.T) {
	p := newLoadedPool(t)
	p.slots = 0
	p.run(start(), at(time.Second), laceunit.PriorityDraft)
	rejected := 0
	for now := at(time.Second); now.Before(at(11 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if d := pick(p.balancer, now, request()); d.Verdict == Assigned {
			rejected++
			p.start(now, d)
		}
	}
	if limit := int(10 * time.Second / minLoadProbeInterval); rejected > limit {
		t.Errorf("%d requests reach full servers within 10 s, at most %d may", rejected, limit)
	}
}

// Guards against a number of slots in one wrong report that no later report corrects.
func TestReportedSlotsAreUpdated(t *testing.T) {
	b := balancer(t, laceconfig.Routing{}, engines(1, 0))
	b.Report(start(), "s0", Load{Slots: 1}, 0)
	b.Report(at(time.Second), "s0", Load{Slots: 6}, 0)
	if slots := b.servers["s0"].slots; slots != 6 {
		t.Errorf("the server has %d slots after a report of 6", slots)
	}
}
