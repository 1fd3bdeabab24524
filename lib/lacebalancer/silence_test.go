package lacebalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const (
	// silenceFrom is when the machines of servers fall silent.
	silenceFrom     = 2 * time.Second
	silenceSimEnd   = 8 * time.Second
	silenceDeadline = 1500 * time.Millisecond
	// maxExclusion is how long after its silence a sound server may get no requests.
	maxExclusion = time.Second
)

// silenceSim is an instance with sound servers, of which the first ones fall silent for a time.
type silenceSim struct {
	*Balancer
	random  *rand.Rand
	elapsed time.Duration
	events  map[time.Duration][]func()
	silent  int
	length  time.Duration
	// assigned are the times of the assignments by server, refused are those of refusals.
	assigned map[laceunit.ServerID][]time.Duration
	refused  []time.Duration
}

func (s *silenceSim) now() time.Time { return start().Add(s.elapsed) }

func (s *silenceSim) end() time.Duration { return silenceFrom + s.length }

// send simulates an attempt: what is sent into the silence is sent again by TCP, after twice the time each time.
func (s *silenceSim) send(d Decision) {
	switch d.Verdict {
	case Refused:
		s.refused = append(s.refused, s.elapsed)
		return
	case Waiting:
		return
	case Assigned:
	}
	s.assigned[d.Server] = append(s.assigned[d.Server], s.elapsed)
	result, took := Success, 30*time.Millisecond
	var index int
	_, _ = fmt.Sscanf(string(d.Server), "s%d", &index)
	if index < s.silent && s.elapsed+took >= silenceFrom && s.elapsed < s.end() {
		switch s.random.IntN(4) {
		case 0:
			result, took = SilentHandshake, 400*time.Millisecond
		case 1, 2:
			result, took = Silent, 300*time.Millisecond
		default:
			wait := 200 * time.Millisecond
			for sent := s.elapsed; sent < s.end() && took < silenceDeadline; wait *= 2 {
				sent += wait
				took += wait
			}
			if took >= silenceDeadline {
				result, took = Silent, silenceDeadline
			}
		}
	}
	at := s.elapsed + took
	s.events[at] = append(s.events[at], func() {
		for _, x := range s.Done(s.now(), d.Ticket, result, took) {
			s.send(x)
		}
	})
}

func (s *silenceSim) run() {
	for ; s.elapsed < silenceSimEnd; s.elapsed += 5 * time.Millisecond {
		for _, f := range s.events[s.elapsed] {
			f()
		}
		for _, d := range s.Tick(s.now()) {
			s.send(d)
		}
		d, others := s.Pick(s.now(), Request{
			Pool:     ModelPool("m"),
			Deadline: s.now().Add(200 * time.Millisecond),
		})
		for _, x := range append(others, d) {
			s.send(x)
		}
	}
}

// longestGap returns the longest time without an assignment to a server from a point in time on.
func (s *silenceSim) longestGap(id laceunit.ServerID, from time.Duration) time.Duration {
	longest, last := time.Duration(0), from
	for _, at := range append(s.assigned[id], silenceSimEnd) {
		if at >= from {
			longest, last = max(longest, at-last), at
		}
	}
	return longest
}

// Guards against a sound server that stays ejected for seconds after its machine was silent for about one, and that is
// ejected again by requests from the time of the silence.
func TestSilentServerIsBackAtOnce(t *testing.T) {
	for _, length := range []time.Duration{800 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond} {
		for _, silent := range []int{1, 3} {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 3))
				s := &silenceSim{
					random:   random,
					events:   map[time.Duration][]func(){},
					silent:   silent,
					length:   length,
					assigned: map[laceunit.ServerID][]time.Duration{},
				}
				var err error
				if s.Balancer, err = New(laceconfig.Routing{}, random.IntN); err != nil {
					t.Fatal(err)
				}
				s.Update(start(), engines(3, 50), nil)
				s.run()
				for i := range silent {
					id := laceunit.ServerID(fmt.Sprintf("s%d", i))
					if gap := s.longestGap(id, s.end()); gap > maxExclusion {
						t.Errorf("seed %d: %d of 3 servers silent for %s: %s got no request for %s afterwards, at most %s expected",
							seed, silent, length, id, gap, maxExclusion)
					}
				}
				if n := len(s.refused); silent < 3 && n > 0 {
					t.Errorf("seed %d: %d requests refused while two servers are sound", seed, n)
				}
			}
		}
	}
}
