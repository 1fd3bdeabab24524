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

// Parameters of the simulated engines and their load: prompts of 400 unique tokens after a shared prefix of 800, a
// cache of 40 prefixes per engine, and load reports that lag by 1 s.
const (
	slots           = 16
	uniqueTokens    = 400
	sharedTokens    = 800
	cacheCapacity   = 40
	prefixes        = 200
	prefillPerToken = 150 * time.Microsecond
	reportLag       = 10 // samples of 100 ms
	runDuration     = 2 * time.Minute
	warmUp          = 20 * time.Second
)

type event struct {
	at  time.Duration
	run func()
}

type engine struct {
	running int
	queue   []*job
	cache   []uint64
	samples []int
}

type job struct {
	arrivedAt time.Duration
	prefix    uint64
	tokens    float64
	instance  int
	ticket    Ticket
}

type simulation struct {
	random    *rand.Rand
	now       time.Duration
	events    []event
	engines   map[laceunit.ServerID]*engine
	ids       []laceunit.ServerID
	instances []*Balancer
	jobs      []map[Ticket]*job

	timesToFirstToken           []time.Duration
	refused, cacheHits, started int
	imbalance                   float64
	sampleCount                 int
}

// schedule keeps the events in descending order of time, so that the next one is the last.
func (s *simulation) schedule(delay time.Duration, run func()) {
	e := event{at: s.now + delay, run: run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Compare(b.at, a.at) })
	s.events = slices.Insert(s.events, i, e)
}

func (s *simulation) deliver(instance int, decisions ...Decision) {
	for _, d := range decisions {
		j := s.jobs[instance][d.Ticket]
		switch d.Verdict {
		case Assigned:
			j.ticket = d.Ticket
			e := s.engines[d.Server]
			e.queue = append(e.queue, j)
			s.startJobs(e)
		case Refused:
			s.refused++
		case Waiting:
		}
	}
}

func (s *simulation) startJobs(e *engine) {
	for e.running < slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		prefillTokens := uniqueTokens
		cacheIndex := slices.Index(e.cache, j.prefix)
		if cacheIndex < 0 {
			prefillTokens += sharedTokens
		} else {
			e.cache = slices.Delete(e.cache, cacheIndex, cacheIndex+1)
		}
		e.cache = append(e.cache, j.prefix)
		e.cache = e.cache[max(0, len(e.cache)-cacheCapacity):]
		prefillTime := time.Duration(prefillTokens) * prefillPerToken
		if s.now > warmUp {
			s.timesToFirstToken = append(s.timesToFirstToken, s.now+prefillTime-j.arrivedAt)
			s.started++
			if cacheIndex >= 0 {
				s.cacheHits++
			}
		}
		// Decoding a token takes 15 ms for a single request and 25 ms in a full batch.
		decodeTime := time.Duration(j.tokens *
			float64(15*time.Millisecond+10*time.Millisecond*time.Duration(e.running)/slots))
		s.schedule(prefillTime+decodeTime, func() {
			e.running--
			s.startJobs(e)
			s.deliver(j.instance, s.instances[j.instance].Done(at(s.now), j.ticket, Success, prefillTime+decodeTime)...)
		})
	}
}

func (s *simulation) sampleLoad() {
	most, sum := 0, 0
	for _, e := range s.engines {
		n := e.running + len(e.queue)
		e.samples = append(e.samples, n)
		most, sum = max(most, n), sum+n
	}
	if s.now > warmUp && sum > 0 {
		s.imbalance += float64(most) * float64(len(s.engines)) / float64(sum)
		s.sampleCount++
	}
	for i, b := range s.instances {
		s.deliver(i, b.Tick(at(s.now))...)
	}
	s.schedule(100*time.Millisecond, s.sampleLoad)
}

// sendReports sends load reports of 12 engines to an instance, as lacefeed does in each period.
func (s *simulation) sendReports(instance int) {
	for _, i := range s.random.Perm(len(s.ids))[:min(12, len(s.ids))] {
		e := s.engines[s.ids[i]]
		if n := len(e.samples); n > reportLag {
			load := Load{Running: e.samples[n-1-reportLag], Slots: slots}
			s.deliver(instance, s.instances[instance].Report(at(s.now), s.ids[i], load, time.Second)...)
		}
	}
	s.schedule(time.Duration(900+s.random.IntN(200))*time.Millisecond, func() { s.sendReports(instance) })
}

func simulate(s *simulation, run uint64, policy string, engineCount, instances int, rate, tokens float64) {
	s.random, s.now, s.events, s.ids = rand.New(rand.NewPCG(seed, run)), 0, nil, nil
	s.engines, s.instances, s.jobs = map[laceunit.ServerID]*engine{}, nil, nil
	f := engines(engineCount, slots)
	for _, id := range sortedKeys(f) {
		s.ids = append(s.ids, id)
		s.engines[id] = &engine{}
	}
	for i := range instances {
		b, _ := New(laceconfig.Routing{Policy: policy}, s.random.IntN)
		b.Update(start(), f, nil)
		s.instances, s.jobs = append(s.instances, b), append(s.jobs, map[Ticket]*job{})
		s.schedule(time.Duration(s.random.Int64N(int64(time.Second))), func() { s.sendReports(i) })
	}
	zipf := rand.NewZipf(s.random, 1.1, 1, prefixes-1)
	var arrive func()
	arrive = func() {
		j := &job{
			arrivedAt: s.now,
			prefix:    mix(zipf.Uint64() + 1),
			tokens:    s.random.ExpFloat64() * tokens,
			instance:  s.random.IntN(instances),
		}
		b := s.instances[j.instance]
		// Pick will use the next ticket number, and may already return a decision on it.
		s.jobs[j.instance][b.lastTicket+1] = j
		d, others := b.Pick(at(s.now), Request{Pool: ModelPool("m"), Prefix: j.prefix})
		s.deliver(j.instance, append(others, d)...)
		s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.schedule(0, s.sampleLoad)
	s.schedule(0, arrive)
	for s.now < runDuration {
		e := s.events[len(s.events)-1]
		s.events, s.now = s.events[:len(s.events)-1], e.at
		e.run()
	}
}

// BenchmarkExperiment prints the table of docs/routing.md; each row aggregates 5 runs.
func BenchmarkExperiment(*testing.B) {
	for _, c := range []struct {
		name               string
		engines, instances int
		rate, tokens       float64
	}{{"chat", 9, 7, 28, 150}, {"chat, busy", 9, 7, 34, 150}, {"drafts", 12, 7, 14, 400}, {"large", 150, 34, 460, 150}} {
		for _, policy := range []string{PolicyRoundRobin, PolicyLeast, PolicyAffinity} {
			s := &simulation{}
			for run := range uint64(5) {
				simulate(s, run, policy, c.engines, c.instances, c.rate, c.tokens)
			}
			slices.Sort(s.timesToFirstToken)
			quantile := func(p float64) int64 {
				return s.timesToFirstToken[int(math.Min(
					p*float64(len(s.timesToFirstToken)),
					float64(len(s.timesToFirstToken)-1),
				))].Milliseconds()
			}
			fmt.Printf("| %s | %d/%d | %s | %d | %d | %d | %.2f | %.1f%% | %d of %d |\n",
				c.name, c.engines, c.instances, policy, quantile(0.5), quantile(0.95), quantile(0.99),
				s.imbalance/float64(s.sampleCount), 100*float64(s.cacheHits)/float64(s.started),
				s.refused, s.refused+s.started)
		}
	}
}
