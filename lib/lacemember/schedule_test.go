package lacemember

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceunit"
)

// writeRecord replaces the platform's record by compare-and-swap; the write or its response may be lost, or the write
// delayed.
func (s *simulation) writeRecord(n *node, next Record) {
	expect := next.Epoch - 1
	apply := func() any {
		if s.record.Epoch != expect {
			return nil
		}
		for _, m := range s.record.Members {
			if !next.Has(m.Holder) {
				s.removed[m.Holder] = next.Epoch
			}
		}
		s.record = next
		s.log("epoch %d by %s: %v", next.Epoch, n.member.Holder, next.Holders())
		return RecordCommitted{Record: next}
	}
	if !n.platformUp {
		return
	}
	switch s.random.IntN(4) {
	case 0:
		n.writePending = true
		s.enqueue(n.member.Holder, laceunit.Holder{}, platformCall{apply: apply})
	case 1:
		if !n.writePending {
			s.step(n, RemovalFailed{})
		}
	default:
		if committed, ok := apply().(RecordCommitted); ok {
			s.step(n, committed)
		}
	}
}

func (s *simulation) join(n *node) {
	if !n.platformUp || n.joined {
		return
	}
	if s.record.Has(n.member.Holder) {
		n.joined = true
		s.step(n, RecordCommitted{Record: s.record})
		return
	}
	if _, removed := s.removed[n.member.Holder]; !removed {
		s.writeRecord(n, s.record.Join(n.member))
	} else {
		n.stopped = true
	}
}

// remove removes a member: usually one that is paused or stopped, sometimes a healthy one whose lease was lost.
func (s *simulation) remove(n *node) {
	if !n.platformUp || n.machine.record.Epoch != s.record.Epoch || len(s.record.Members) < 2 {
		return
	}
	victim := s.record.Members[s.random.IntN(len(s.record.Members))].Holder
	if v := s.find(victim); victim == n.member.Holder || (v != nil && !v.paused && s.random.IntN(6) > 0) {
		return
	}
	s.writeRecord(n, n.machine.Remove([]laceunit.Holder{victim}))
}

func (s *simulation) restart(n *node) {
	graceful := n.machine.expelled && n.machine.Idle() && len(n.journal) == 0 && s.reachesLedger(n)
	if graceful {
		for o := range n.copies {
			s.flushCopies(n, o)
		}
	} else if s.crashes++; s.crashes > 2 {
		return
	}
	s.log("restart %s graceful %v", n.member.Holder, graceful)
	n.stopped = true
	s.add(string(n.member.Holder.Instance))
}

func (s *simulation) leave(n *node) {
	if !n.platformUp || !n.machine.Idle() || len(n.journal) > 0 ||
		!s.record.Has(n.member.Holder) || len(s.record.Members) < 4 {
		return
	}
	for o := range n.copies {
		s.flushCopies(n, o)
	}
	next := s.record.Leave(n.member.Holder)
	n.stopped = true
	s.removed[n.member.Holder] = next.Epoch
	s.record = next
	s.log("leave %s", n.member.Holder)
}

// changeReachability makes the platform unreachable for all nodes, reachable for all, or toggles it for one.
func (s *simulation) changeReachability() {
	change := s.random.IntN(4)
	for _, n := range s.nodes {
		switch change {
		case 0, 1:
			n.platformUp = false
		case 2:
			n.platformUp = true
		}
	}
	if change == 3 {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		n.platformUp = !n.platformUp
	}
}

func (s *simulation) changeLinks() {
	if len(s.cutLinks) > 3 || s.random.IntN(3) == 0 {
		clear(s.cutLinks)
		return
	}
	a, b := s.nodes[s.random.IntN(len(s.nodes))], s.nodes[s.random.IntN(len(s.nodes))]
	s.cutLinks[[2]laceunit.Holder{a.member.Holder, b.member.Holder}] = true
}

func (s *simulation) iterate(warmup bool) {
	s.iterations++
	s.now += time.Duration(s.random.IntN(60)) * time.Millisecond
	n := s.nodes[s.random.IntN(len(s.nodes))]
	roll := s.random.IntN(1000)
	switch {
	case !warmup && s.random.IntN(250) == 0:
		s.changeReachability()
	case s.random.IntN(400) < s.faultRate:
		s.changeLinks()
	case s.random.IntN(200) < s.faultRate:
		n.paused = !n.paused
	case s.random.IntN(100) == 0:
		for _, o := range s.nodes {
			o.paused = o.paused && s.random.IntN(3) > 0
		}
	}
	for range 4 {
		if len(s.queue) > 0 {
			s.deliver(s.random.IntN(len(s.queue)))
		}
	}
	for _, r := range s.record.Members {
		if _, removed := s.removed[r.Holder]; !removed && s.find(r.Holder) == nil && roll == 999 {
			s.log("operator fences %s", r.Holder)
			s.writeRecord(n, s.record.Fence(r.Holder))
			return
		}
	}
	if roll%50 == 0 {
		for h := range s.removed {
			s.fenced[h] = s.fenced[h] || s.random.IntN(2) == 0
		}
	}
	if n.stopped || n.paused {
		return
	}
	s.stepNode(n, warmup, roll)
}

func (s *simulation) stepNode(n *node, warmup bool, roll int) {
	switch {
	case !n.joined:
		s.join(n)
	case !warmup && roll < 2, n.machine.expelled && roll < 300:
		s.restart(n)
	case !warmup && roll < 4:
		s.leave(n)
	case !warmup && roll < 4+4*s.faultRate:
		s.remove(n)
	case roll < 160:
		s.sendRequest(n)
	case roll < 360:
		s.finishOfflineRun(n)
	case roll < 560 && n.platformUp:
		s.step(n, PlatformRestored{})
		s.step(n, RecordCommitted{Record: s.record})
	case roll < 560:
		s.step(n, PlatformLost{})
	default:
		s.step(n, Tick{})
	}
}

// runSchedule runs the random schedule of a seed and returns the violation, if any.
func runSchedule(seed uint64, stats map[string]int) string {
	s := newSimulation(seed, 3+int(seed%3))
	for i := range 4000 {
		s.iterate(i < 200)
		if i%1000 == 999 {
			s.add(fmt.Sprintf("late%d", i))
		}
	}
	for k, v := range s.stats {
		stats[k] += v
	}
	for k, r := range s.runs {
		if len(r) > 1 {
			return fmt.Sprintf("seed %d: request %x ran %d times: %s\n%s", seed, uint64(k), len(r), strings.Join(r, ", "),
				strings.Join(s.trace, "\n"))
		}
	}
	return ""
}

// Guards against a non-idempotent request that runs twice.
func TestNoRequestRunsTwice(t *testing.T) {
	stats := map[string]int{}
	parameters := gopter.DefaultTestParametersWithSeed(20261)
	parameters.MinSuccessfulTests = 1000
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("a non-idempotent request runs at most once", prop.ForAll(func(seed uint64) string {
		return runSchedule(seed, stats)
	}, gen.UInt64()))
	properties.TestingRun(t)
	t.Log(stats)
	for _, kind := range []string{"online", "offline", "fenced", "acknowledged"} {
		if stats[kind] < 50 {
			t.Errorf("only %d events of kind %s: the schedules don't cover the guarded case", stats[kind], kind)
		}
	}
}
