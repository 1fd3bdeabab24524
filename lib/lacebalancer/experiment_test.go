package lacebalancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// The engines of the experiment: 400 own and 800 shared prompt tokens, a cache of 40 prefixes, reports that lag by 1 s.
const (
	slots    = 16
	ownPart  = 400
	shared   = 800
	cached   = 40
	prefixes = 200
	perToken = 150 * time.Microsecond
	lag      = 10 // samples of 100 ms
	length   = 2 * time.Minute
	warmUp   = 20 * time.Second
)

type moment struct {
	at  time.Duration
	run func()
}

type box struct {
	running int
	queue   []*job
	cache   []uint64
	samples []int
}

type job struct {
	born     time.Duration
	prefix   uint64
	tokens   float64
	instance int
	ticket   Ticket
}

type trial struct {
	random    *rand.Rand
	now       time.Duration
	moments   []moment
	boxes     map[laceunit.ServerID]*box
	ids       []laceunit.ServerID
	instances []*Balancer
	jobs      []map[Ticket]*job

	first                  []time.Duration
	refused, hits, started int
	imbalance              float64
	samples                int
}

// after keeps the moments in falling order, so that the next one is the last.
func (t *trial) after(d time.Duration, run func()) {
	m := moment{at: t.now + d, run: run}
	i, _ := slices.BinarySearchFunc(t.moments, m, func(a, b moment) int { return cmp.Compare(b.at, a.at) })
	t.moments = slices.Insert(t.moments, i, m)
}

func (t *trial) deliver(instance int, decisions ...Decision) {
	for _, d := range decisions {
		j := t.jobs[instance][d.Ticket]
		switch d.Verdict {
		case Assigned:
			j.ticket = d.Ticket
			b := t.boxes[d.Server]
			b.queue = append(b.queue, j)
			t.start(b)
		case Refused:
			t.refused++
		case Waiting:
		}
	}
}

func (t *trial) start(b *box) {
	for b.running < slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running++
		prefill := ownPart
		i := slices.Index(b.cache, j.prefix)
		if i < 0 {
			prefill += shared
		} else {
			b.cache = slices.Delete(b.cache, i, i+1)
		}
		b.cache = append(b.cache, j.prefix)
		b.cache = b.cache[max(0, len(b.cache)-cached):]
		wait := time.Duration(prefill) * perToken
		if t.now > warmUp {
			t.first = append(t.first, t.now+wait-j.born)
			t.started++
			if i >= 0 {
				t.hits++
			}
		}
		// A token takes 15 ms alone and 25 ms in a full batch.
		decode := time.Duration(j.tokens * float64(15*time.Millisecond+10*time.Millisecond*time.Duration(b.running)/slots))
		t.after(wait+decode, func() {
			b.running--
			t.start(b)
			t.deliver(j.instance, t.instances[j.instance].Done(at(t.now), j.ticket, Success, wait+decode)...)
		})
	}
}

func (t *trial) sample() {
	most, sum := 0, 0
	for _, b := range t.boxes {
		n := b.running + len(b.queue)
		b.samples = append(b.samples, n)
		most, sum = max(most, n), sum+n
	}
	if t.now > warmUp && sum > 0 {
		t.imbalance += float64(most) * float64(len(t.boxes)) / float64(sum)
		t.samples++
	}
	for i, b := range t.instances {
		t.deliver(i, b.Tick(at(t.now))...)
	}
	t.after(100*time.Millisecond, t.sample)
}

// reports sends one period's load reports to an instance: of 12 engines, as lacefeed does.
func (t *trial) reports(instance int) {
	for _, i := range t.random.Perm(len(t.ids))[:min(12, len(t.ids))] {
		b := t.boxes[t.ids[i]]
		if n := len(b.samples); n > lag {
			load := Load{Running: b.samples[n-1-lag], Slots: slots}
			t.deliver(instance, t.instances[instance].Report(at(t.now), t.ids[i], load, time.Second)...)
		}
	}
	t.after(time.Duration(900+t.random.IntN(200))*time.Millisecond, func() { t.reports(instance) })
}

func experiment(t *trial, run uint64, policy string, engineCount, instances int, rate, tokens float64) {
	t.random, t.now, t.moments, t.ids = rand.New(rand.NewPCG(seed, run)), 0, nil, nil
	t.boxes, t.instances, t.jobs = map[laceunit.ServerID]*box{}, nil, nil
	f := engines(engineCount, slots)
	for _, id := range sortedKeys(f) {
		t.ids = append(t.ids, id)
		t.boxes[id] = &box{}
	}
	for i := range instances {
		b, _ := New(laceconfig.Routing{Policy: policy}, t.random.IntN)
		b.Update(start(), f, nil)
		t.instances, t.jobs = append(t.instances, b), append(t.jobs, map[Ticket]*job{})
		t.after(time.Duration(t.random.Int64N(int64(time.Second))), func() { t.reports(i) })
	}
	zipf := rand.NewZipf(t.random, 1.1, 1, prefixes-1)
	var arrive func()
	arrive = func() {
		j := &job{born: t.now, prefix: mix(zipf.Uint64() + 1), tokens: t.random.ExpFloat64() * tokens, instance: t.random.IntN(instances)}
		b := t.instances[j.instance]
		// The ticket is the next number; a decision on it can come within Pick.
		t.jobs[j.instance][b.last+1] = j
		d, others := b.Pick(at(t.now), Request{Pool: ModelPool("m"), Prefix: j.prefix})
		t.deliver(j.instance, append(others, d)...)
		t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	t.after(0, t.sample)
	t.after(0, arrive)
	for t.now < length {
		m := t.moments[len(t.moments)-1]
		t.moments, t.now = t.moments[:len(t.moments)-1], m.at
		m.run()
	}
}

// BenchmarkExperiment prints the table of docs/routing.md; each row is 5 runs.
func BenchmarkExperiment(*testing.B) {
	for _, c := range []struct {
		name               string
		engines, instances int
		rate, tokens       float64
	}{{"chat", 9, 7, 28, 150}, {"chat, busy", 9, 7, 34, 150}, {"drafts", 12, 7, 14, 400}, {"large", 150, 34, 460, 150}} {
		for _, policy := range []string{PolicyRoundRobin, PolicyLeast, PolicyAffinity} {
			t := &trial{}
			for run := range uint64(5) {
				experiment(t, run, policy, c.engines, c.instances, c.rate, c.tokens)
			}
			slices.Sort(t.first)
			q := func(p float64) int64 {
				return t.first[int(math.Min(p*float64(len(t.first)), float64(len(t.first)-1)))].Milliseconds()
			}
			fmt.Printf("| %s | %d/%d | %s | %d | %d | %d | %.2f | %.1f%% | %d of %d |\n", c.name, c.engines, c.instances, policy,
				q(0.5), q(0.95), q(0.99), t.imbalance/float64(t.samples), 100*float64(t.hits)/float64(t.started), t.refused, t.refused+t.started)
		}
	}
}
