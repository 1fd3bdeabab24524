package lacequarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// scenario is the size and the traffic of a simulation.
type scenario struct {
	instances int
	servers   int
	run       func(s *simulation)
}

// soundTraffic is that of callers that share the first part, each with a part of its own.
func soundTraffic(s *simulation, rate float64, until time.Duration) {
	s.traffic("sound", rate, 0, until, false, func() []Part {
		return []Part{part("base"), part("caller-%d", s.random.IntN(20))}
	})
}

// scenarios are loads with a part that crashes servers.
func scenarios() map[string]scenario {
	crashingUntil := func(until time.Duration, rate float64, prompt func(s *simulation) []Part) func(*simulation) {
		return func(s *simulation) {
			soundTraffic(s, 20+rate, until)
			s.traffic("sibling", 2, 0, until, false, func() []Part { return []Part{part("base"), part("caller-x")} })
			s.traffic("crashing", rate, 5*time.Second, until-5*time.Second, true, func() []Part { return prompt(s) })
			s.run(until)
		}
	}
	crashing := func(rate float64, prompt func(s *simulation) []Part) func(*simulation) {
		return crashingUntil(40*time.Second, rate, prompt)
	}
	// Every prompt has a number of documents that only one crashing and one sound request have.
	documents := func(count int) func(*simulation) {
		return func(s *simulation) {
			var last []Part
			soundTraffic(s, 20, 40*time.Second)
			s.traffic("crashing", 1, 5*time.Second, 35*time.Second, true, func() []Part {
				last = []Part{part("base")}
				for i := range count {
					last = append(last, part("document-%d-%d", s.serial, i))
				}
				return append(last[:len(last):len(last)], part("bad"))
			})
			s.traffic("sibling", 1, 6*time.Second, 40*time.Second, false, func() []Part { return last })
			s.run(40 * time.Second)
		}
	}
	// One instance has many requests with parts of their own at each server.
	busy := func(s *simulation) {
		s.traffic("sound", 300, 0, 40*time.Second, false, func() []Part {
			return []Part{part("base"), part("session-%d", s.serial)}
		})
		s.traffic("sibling", 2, 0, 40*time.Second, false, func() []Part { return []Part{part("base"), part("caller-x")} })
		s.traffic("crashing", 1, 5*time.Second, 35*time.Second, true, func() []Part {
			return []Part{part("base"), part("session-%d", s.serial), part("bad")}
		})
		s.run(40 * time.Second)
	}
	// Servers answer on the part until a point in time, after which it crashes them.
	changing := func(s *simulation) {
		soundTraffic(s, 20, 40*time.Second)
		s.traffic("before", 10, 0, 2500*time.Millisecond, false, func() []Part { return []Part{part("base"), part("bad")} })
		s.traffic("sibling", 2, 0, 40*time.Second, false, func() []Part { return []Part{part("base"), part("caller-x")} })
		s.traffic("crashing", 1, 6*time.Second, 35*time.Second, true, func() []Part {
			return []Part{part("base"), part("caller-%d", s.random.IntN(20)), part("bad")}
		})
		s.run(40 * time.Second)
	}
	oneCaller := func(*simulation) []Part { return []Part{part("base"), part("caller-x"), part("bad")} }
	anyCaller := func(s *simulation) []Part {
		return []Part{part("base"), part("caller-%d", s.random.IntN(20)), part("bad"), part("session-%d", s.serial)}
	}
	forged := func(s *simulation) []Part {
		return []Part{part("base"), part("caller-x"), part("victim"), part("bad"), part("junk-%d", s.serial)}
	}
	return map[string]scenario{
		"one caller":       {instances: 7, servers: 9, run: crashing(0.7, oneCaller)},
		"any caller":       {instances: 7, servers: 12, run: crashing(1, anyCaller)},
		"forged parts":     {instances: 7, servers: 12, run: crashing(1, forged)},
		"large fleet":      {instances: 86, servers: 60, run: crashing(5, anyCaller)},
		"large, high rate": {instances: 86, servers: 60, run: crashing(20, oneCaller)},
		"new documents":    {instances: 3, servers: 9, run: documents(12)},
		"long prompts":     {instances: 3, servers: 9, run: documents(300)},
		"busy servers":     {instances: 1, servers: 9, run: busy},
		"sound before":     {instances: 7, servers: 9, run: changing},
		"one server":       {instances: 2, servers: 1, run: crashingUntil(80*time.Second, 2, anyCaller)},
	}
}

// total returns the results of a policy over several seeds.
type total struct {
	late, crashes              int
	sent, refused, crashedSent int
}

func play(sc scenario, newPolicy func(laceunit.InstanceID) policy) total {
	var t total
	for seed := range uint64(4) {
		s := newSimulation(seed, sc.instances, sc.servers, newPolicy)
		sc.run(s)
		t.late += s.late
		t.crashes += len(s.crashTimes)
		for _, kind := range []string{"sound", "sibling"} {
			t.sent += s.sent[kind]
			t.refused += s.refused[kind]
		}
		if s.late > maxLate {
			t.crashedSent++
		}
	}
	return t
}

// maxLate is how many requests with the crashing part may be sent later than detectionWindow after the fifth crash.
const maxLate = 3

// Guards against requests with a crashing part being sent after the detection window, and against sound requests that
// share all parts but that one being refused, also with delayed news and with parts that a caller names without need.
func TestCrashingPartsAreBlockedAndOthersAreNot(t *testing.T) {
	for name, sc := range scenarios() {
		t.Run(name, func(t *testing.T) {
			result := play(sc, newTrackerPolicy)
			if result.crashedSent > 0 {
				t.Errorf("%d requests are late in 4 runs, in %d of them more than %d", result.late, result.crashedSent, maxLate)
			}
			if result.refused*200 > result.sent {
				t.Errorf("%d of %d sound requests are refused", result.refused, result.sent)
			}
			none, counting := play(sc, newCountingPolicy(0)), play(sc, newCountingPolicy(5))
			t.Logf("late/crashes/sound refused: tracker %d/%d/%d, none %d/%d/%d, five crashes %d/%d/%d, of %d sound requests",
				result.late, result.crashes, result.refused, none.late, none.crashes, none.refused,
				counting.late, counting.crashes, counting.refused, result.sent)
			if none.crashedSent == 0 {
				t.Error("the load breaks no bound without a policy")
			}
			if counting.refused <= result.refused {
				t.Error("the plain rule refuses no more sound requests")
			}
		})
	}
}

// Guards against a crashing part that is in no report since many requests run on each server that crashes, or many
// instances report each crash: the request with it is reported last.
func TestEveryRequestOnACrashCounts(t *testing.T) {
	for _, c := range []struct{ reporters, requests int }{{1, 1}, {1, 64}, {40, 16}} {
		var tracker Tracker
		now := time.Unix(1_700_000_000, 0)
		for crash := range minCrashes {
			server := laceunit.ServerID(fmt.Sprint("server-", crash))
			for reporter := range c.reporters {
				report := Crash{
					Server: server,
					At:     now,
				}
				for request := range c.requests {
					prompt := []Part{part("document-%d-%d-%d", crash, reporter, request)}
					if reporter == c.reporters-1 && request == c.requests-1 {
						prompt = append(prompt, part("bad"))
					}
					tracker.AddRequest(&report, prompt)
				}
				tracker.RecordCrash(now, laceunit.InstanceID(fmt.Sprint("instance-", reporter)), report)
			}
			now = now.Add(time.Second)
			tracker.RecordSuccess(now, []Part{part("sound")})
		}
		if verdicts := tracker.Judge(now); len(verdicts) != 1 || !slices.Equal(verdicts[0].Parts, []Part{part("bad")}) {
			t.Errorf("%d requests at each of %d instances: verdicts %+v", c.requests, c.reporters, verdicts)
		}
	}
}

// Guards against a crash that counts as explained by a verdict although no request on the server had all of its parts, so
// that what crashed the server is never blocked by itself.
func TestPartsOfSeveralRequestsExplainNoCrash(t *testing.T) {
	var tracker Tracker
	now := time.Unix(1_700_000_000, 0)
	tracker.Apply(now, newVerdict(now, []Part{part("bad"), part("document")}, nil))
	for crash := range minCrashes {
		tracker.RecordCrash(now, "instance", Crash{
			Server:  laceunit.ServerID(fmt.Sprint("server-", crash)),
			At:      now,
			Prompts: [][]Part{{part("document")}, {part("bad"), part("other-%d", crash)}},
		})
		now = now.Add(time.Second)
		tracker.RecordSuccess(now, []Part{part("sound")})
	}
	if len(tracker.Judge(now)) == 0 {
		t.Error("the crashes count as explained")
	}
}

// Guards against verdicts when servers crash for other reasons: alone, all of a sudden together, and by turns.
func TestCrashesForOtherReasonsBlockNothing(t *testing.T) {
	crashInTurn := func(servers int) func(s *simulation) {
		return func(s *simulation) {
			for i := range 10 {
				s.schedule(time.Duration(i)*3500*time.Millisecond, func() { s.crash(s.servers[i%servers]) })
			}
		}
	}
	for name, crash := range map[string]func(s *simulation){
		"single servers": func(s *simulation) {
			for i := range 30 {
				s.schedule(time.Duration(i)*time.Second, func() { s.crash(s.servers[s.random.IntN(len(s.servers))]) })
			}
		},
		"all together": func(s *simulation) {
			for i := range 4 {
				s.schedule(time.Duration(1+8*i)*time.Second, func() {
					for _, x := range s.servers {
						s.crash(x)
					}
				})
			}
		},
		"two in turn": crashInTurn(2),
		"always one":  crashInTurn(1),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSimulation(seed, 7, 9, newTrackerPolicy)
				soundTraffic(s, 30, 40*time.Second)
				s.traffic("new", 5, 0, 40*time.Second, false, func() []Part {
					return []Part{part("base"), part("caller-%d", s.random.IntN(20)), part("session-%d", s.serial/3)}
				})
				crash(s)
				s.run(40 * time.Second)
				for i, p := range s.instances {
					for _, v := range p.(*trackerPolicy).tracker.Verdicts() {
						if v.State == Blocked {
							t.Errorf("seed %d: verdict on %v at instance %d", seed, v.Parts, i)
						}
					}
				}
				refused, sent := s.refused["sound"]+s.refused["new"], s.sent["sound"]+s.sent["new"]
				if refused > 5+sent/500 {
					t.Errorf("seed %d: %d of %d requests are refused", seed, refused, sent)
				}
			}
		})
	}
}

// Guards against state that grows with the parts that callers name.
func TestStateIsBounded(t *testing.T) {
	var tracker Tracker
	now := time.Unix(1_700_000_000, 0)
	for i := range 40_000 {
		now = now.Add(10 * time.Millisecond)
		prompt := []Part{part("a-%d", i), part("b-%d", i), part("c-%d", i)}
		tracker.RecordSuccess(now, prompt)
		server := laceunit.ServerID(fmt.Sprint("server-", i))
		suspects, _ := tracker.Suspects([]Part{part("x-%d", i/3), part("y-%d", i)}, server, 0)
		tracker.RecordCrash(now, "instance", Crash{
			Server:  server,
			At:      now,
			Prompts: [][]Part{suspects},
		})
		if i%100 == 0 {
			tracker.Judge(now.Add(time.Second))
		}
	}
	if n := tracker.HistorySize(); n > 2*maxGeneration {
		t.Errorf("%d parts are remembered", n)
	}
	if len(tracker.crashes) > maxCrashes || len(tracker.verdicts) > maxVerdicts || len(tracker.former) > maxVerdicts {
		t.Errorf("%d crashes, %d verdicts, %d former ones", len(tracker.crashes), len(tracker.verdicts), len(tracker.former))
	}
}
