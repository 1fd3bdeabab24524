package lacereach

import (
	"math/rand/v2"
	"testing"
	"time"
)

const step = 50 * time.Millisecond

// world is a simulated network with an instance that sends a request in each step.
type world struct {
	detector Detector
	now      time.Time
	// down are the servers that have crashed, cut is true while the instance reaches none.
	down []bool
	cut  bool
	// refusing is true if a cut refuses connections instead of leaving them unanswered.
	refusing bool
	random   *rand.Rand
	probes   int
	changes  int
}

func newWorld(servers int, seed uint64) *world {
	return &world{
		now:    time.Unix(1000, 0),
		down:   make([]bool, servers),
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		switch server := w.random.IntN(len(w.down)); {
		case w.detector.Isolated():
		case w.cut && !w.refusing:
			w.detector.Quiet(w.now)
		case w.cut || w.down[server]:
			w.detector.Failed(w.now)
		default:
			w.detector.Answered(w.now)
		}
		count := w.detector.Begin(w.now, len(w.down))
		if count == 0 {
			continue
		}
		w.probes += count
		if w.detector.Finish(w.now.Add(step), w.probe(count)) {
			w.changes++
		}
	}
}

func (w *world) probe(count int) Round {
	var r Round
	for _, server := range w.random.Perm(len(w.down))[:count] {
		switch {
		case w.cut && !w.refusing:
			r.Silent++
		case w.cut || w.down[server]:
			r.Refused++
		default:
			r.Answered++
		}
	}
	return r
}

// Guards against a cut that is noticed late, or not at all, and against an instance that stays isolated after it.
func TestCutIsNoticed(t *testing.T) {
	for seed := range uint64(50) {
		for _, refusing := range []bool{false, true} {
			w := newWorld(1+int(seed%7), seed)
			w.refusing = refusing
			w.run(2 * time.Second)
			if w.changes != 0 {
				t.Fatalf("seed %d: isolated without a cut", seed)
			}
			w.cut = true
			began := w.now
			w.run(1100 * time.Millisecond)
			if !w.detector.Isolated() || w.detector.Silent() == refusing {
				t.Errorf("seed %d: isolated: %t, silent: %t", seed, w.detector.Isolated(), w.detector.Silent())
			}
			if since := w.detector.Since(); since.Before(began) || since.After(began.Add(step)) {
				t.Errorf("seed %d: the cut of %s is dated %s", seed, began, since)
			}
			w.cut, w.probes = false, 0
			w.run(1200 * time.Millisecond)
			if w.detector.Isolated() || w.probes > 4 {
				t.Errorf("seed %d: isolated after the cut: %t, %d probes", seed, w.detector.Isolated(), w.probes)
			}
		}
	}
}

// Guards against an instance that counts as isolated because some of the servers have crashed, and against a storm of
// probes while they are down.
func TestCrashedServersDoNotIsolate(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(8, seed)
		w.down[0], w.down[5] = true, true
		w.run(10 * time.Second)
		if w.changes != 0 || w.probes > (firstProbes+confirmProbes)*21 {
			t.Errorf("seed %d: %d changes, %d probes in 10 s", seed, w.changes, w.probes)
		}
	}
}

// Guards against an instance that changes its state with each beat of a flapping network.
func TestFlappingIsDamped(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(5, seed)
		for range 20 {
			w.cut = true
			w.run(1500 * time.Millisecond)
			w.cut = false
			w.run(1500 * time.Millisecond)
		}
		if w.changes > 10 {
			t.Errorf("seed %d: %d changes in 60 s", seed, w.changes)
		}
		w.run(5 * time.Second)
		if w.detector.Isolated() {
			t.Errorf("seed %d: still isolated after the end", seed)
		}
	}
}

// Guards against instances that stay isolated for ever, or for long, after most servers have crashed at once, each because
// the others are.
func TestMassCrashPasses(t *testing.T) {
	for seed := range uint64(50) {
		var fleet []*world
		for i := range uint64(3) {
			fleet = append(fleet, newWorld(6, seed*3+i))
		}
		crash := func(down int, d time.Duration) {
			for end := fleet[0].now.Add(d); fleet[0].now.Before(end); {
				for i, w := range fleet {
					alone := true
					for k, other := range fleet {
						alone = alone && (k == i || other.detector.Isolated())
					}
					w.detector.SetAlone(alone)
					for s := range w.down {
						w.down[s] = s < down
					}
					w.run(step)
				}
			}
		}
		crash(0, time.Second)
		crash(5, 3*time.Second)
		for i, w := range fleet {
			if w.changes != 0 {
				t.Errorf("seed %d: instance %d is isolated although a server is up", seed, i)
			}
		}
		crash(6, 3*time.Second)
		crash(3, 6*time.Second)
		for i, w := range fleet {
			if w.detector.Isolated() {
				t.Errorf("seed %d: instance %d is isolated after the servers are back", seed, i)
			}
		}
	}
}

// Guards against a result of probes that outweighs an answer which arrived in the meantime.
func TestAnswerDuringProbesCounts(t *testing.T) {
	var d Detector
	now := time.Unix(1000, 0)
	d.Failed(now)
	d.Begin(now, 4)
	d.Finish(now, Round{Silent: 2})
	d.Begin(now, 4)
	d.Answered(now.Add(step))
	if d.Finish(now.Add(2*step), Round{Silent: 4}) || d.Suspected() {
		t.Error("isolated although a server answered")
	}
}
