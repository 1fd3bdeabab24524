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

// agree swaps the platform's record; the write may be lost, late, or lose its answer.
func (w *world) agree(n *node, next Record) {
	expect := next.Epoch - 1
	do := func() any {
		if w.record.Epoch != expect {
			return nil
		}
		for _, m := range w.record.Members {
			if !next.Has(m.Holder) {
				w.removed[m.Holder] = next.Epoch
			}
		}
		w.record = next
		w.log("epoch %d by %s: %v", next.Epoch, n.member.Holder, next.Holders())
		return RecordCommitted{Record: next}
	}
	if !n.up {
		return
	}
	switch w.random.IntN(4) {
	case 0:
		n.pending = true
		w.post(n.member.Holder, laceunit.Holder{}, platformCall{do: do})
	case 1:
		if !n.pending {
			w.step(n, RemovalFailed{})
		}
	default:
		if a, ok := do().(RecordCommitted); ok {
			w.step(n, a)
		}
	}
}

func (w *world) join(n *node) {
	if !n.up || n.joined {
		return
	}
	if w.record.Has(n.member.Holder) {
		n.joined = true
		w.step(n, RecordCommitted{Record: w.record})
		return
	}
	if _, was := w.removed[n.member.Holder]; !was {
		w.agree(n, w.record.Join(n.member))
	} else {
		n.dead = true
	}
}

// remove takes out a member, mostly one that takes no steps, sometimes a healthy one whose lease was lost.
func (w *world) remove(n *node) {
	if !n.up || n.machine.record.Epoch != w.record.Epoch || len(w.record.Members) < 2 {
		return
	}
	victim := w.record.Members[w.random.IntN(len(w.record.Members))].Holder
	if v := w.find(victim); victim == n.member.Holder || (v != nil && !v.paused && w.random.IntN(6) > 0) {
		return
	}
	w.agree(n, n.machine.Remove([]laceunit.Holder{victim}))
}

func (w *world) restart(n *node) {
	graceful := n.machine.expelled && n.machine.Idle() && len(n.journal) == 0 && w.reaches(n)
	if graceful {
		for o := range n.copies {
			w.flushCopies(n, o)
		}
	} else if w.kills++; w.kills > 2 {
		return
	}
	w.log("restart %s graceful %v", n.member.Holder, graceful)
	n.dead = true
	w.add(string(n.member.Holder.Instance))
}

func (w *world) leave(n *node) {
	if !n.up || !n.machine.Idle() || len(n.journal) > 0 || !w.record.Has(n.member.Holder) || len(w.record.Members) < 4 {
		return
	}
	for o := range n.copies {
		w.flushCopies(n, o)
	}
	next := w.record.Leave(n.member.Holder)
	n.dead = true
	w.removed[n.member.Holder] = next.Epoch
	w.record = next
	w.log("leave %s", n.member.Holder)
}

// storm changes the platform's reachability for everyone, for one, or back for everyone.
func (w *world) storm() {
	kind := w.random.IntN(4)
	for _, n := range w.nodes {
		switch kind {
		case 0, 1:
			n.up = false
		case 2:
			n.up = true
		}
	}
	if kind == 3 {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		n.up = !n.up
	}
}

func (w *world) cut() {
	if len(w.cuts) > 3 || w.random.IntN(3) == 0 {
		clear(w.cuts)
		return
	}
	a, b := w.nodes[w.random.IntN(len(w.nodes))], w.nodes[w.random.IntN(len(w.nodes))]
	w.cuts[[2]laceunit.Holder{a.member.Holder, b.member.Holder}] = true
}

func (w *world) turn(calm bool) {
	w.turns++
	w.now += time.Duration(w.random.IntN(60)) * time.Millisecond
	n := w.nodes[w.random.IntN(len(w.nodes))]
	pick := w.random.IntN(1000)
	switch {
	case !calm && w.random.IntN(250) == 0:
		w.storm()
	case w.random.IntN(400) < w.chaos:
		w.cut()
	case w.random.IntN(200) < w.chaos:
		n.paused = !n.paused
	case w.random.IntN(100) == 0:
		for _, o := range w.nodes {
			o.paused = o.paused && w.random.IntN(3) > 0
		}
	}
	for range 4 {
		if len(w.queue) > 0 {
			w.deliver(w.random.IntN(len(w.queue)))
		}
	}
	for _, r := range w.record.Members {
		if _, gone := w.removed[r.Holder]; !gone && w.find(r.Holder) == nil && pick == 999 {
			w.log("operator fences %s", r.Holder)
			w.agree(n, w.record.Fence(r.Holder))
			return
		}
	}
	if pick%50 == 0 {
		for h := range w.removed {
			w.fenced[h] = w.fenced[h] || w.random.IntN(2) == 0
		}
	}
	if n.dead || n.paused {
		return
	}
	w.act(n, calm, pick)
}

func (w *world) act(n *node, calm bool, pick int) {
	switch {
	case !n.joined:
		w.join(n)
	case !calm && pick < 2, n.machine.expelled && pick < 300:
		w.restart(n)
	case !calm && pick < 4:
		w.leave(n)
	case !calm && pick < 4+4*w.chaos:
		w.remove(n)
	case pick < 160:
		w.request(n)
	case pick < 360:
		w.work(n)
	case pick < 560 && n.up:
		w.step(n, PlatformRestored{})
		w.step(n, RecordCommitted{Record: w.record})
	case pick < 560:
		w.step(n, PlatformLost{})
	default:
		w.step(n, Tick{})
	}
}

// play runs one schedule and returns the violation, if any.
func play(seed uint64, stats map[string]int) string {
	w := newWorld(seed, 3+int(seed%3))
	for i := range 4000 {
		w.turn(i < 200)
		if i%1000 == 999 {
			w.add(fmt.Sprintf("late%d", i))
		}
	}
	for k, v := range w.stats {
		stats[k] += v
	}
	for k, r := range w.runs {
		if len(r) > 1 {
			return fmt.Sprintf("seed %d: request %x ran %d times: %s\n%s", seed, uint64(k), len(r), strings.Join(r, ", "),
				strings.Join(w.trace, "\n"))
		}
	}
	return ""
}

// Guards against a non-idempotent request that two instances run.
func TestNoRequestRunsTwice(t *testing.T) {
	stats := map[string]int{}
	parameters := gopter.DefaultTestParametersWithSeed(20261)
	parameters.MinSuccessfulTests = 1000
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("a non-idempotent request runs at most once", prop.ForAll(func(seed uint64) string {
		return play(seed, stats)
	}, gen.UInt64()))
	properties.TestingRun(t)
	t.Log(stats)
	for _, kind := range []string{"online", "offline", "fenced", "acknowledged"} {
		if stats[kind] < 50 {
			t.Errorf("only %d events of kind %s: the schedules don't reach what they guard", stats[kind], kind)
		}
	}
}
