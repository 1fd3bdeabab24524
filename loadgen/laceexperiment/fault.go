package laceexperiment

import (
	"context"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"time"
)

var portPattern = regexp.MustCompile(`127\.0\.0\.1:([0-9]{1,5})`)

// movePorts adds an offset to every loopback port of a text.
func movePorts(text []byte, offset int) []byte {
	return portPattern.ReplaceAllFunc(text, func(found []byte) []byte {
		m := portPattern.FindSubmatch(found)
		port, _ := strconv.Atoi(string(m[1])) // The pattern has digits only.
		return []byte("127.0.0.1:" + strconv.Itoa(port+offset))
	})
}

// schedule carries the faults of one run out.
type schedule struct {
	fleet    *fleet
	platform *platform
	random   *rand.Rand
	// noted are what happened, in order.
	mu    sync.Mutex
	noted []string
	began time.Time
}

// run carries out all faults until they are over or the context ends, and takes them away.
func (s *schedule) run(ctx context.Context, faults []Fault) {
	s.began = time.Now()
	var all sync.WaitGroup
	for n, f := range faults {
		// Each fault draws from its own generator, because their order in time may differ between runs.
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		all.Add(1)
		go func() {
			defer all.Done()
			if wait(ctx, f.Start) != nil {
				return
			}
			if f.Kind == FaultKill {
				s.kills(ctx, f, random)
				return
			}
			s.disturb(ctx, n, f, random)
		}()
	}
	all.Wait()
}

func (s *schedule) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noted = append(s.noted, strconv.FormatFloat(time.Since(s.began).Seconds(), 'f', 1, 64)+" s: "+text)
}

// disturb sets a fault of the platform for its length.
func (s *schedule) disturb(ctx context.Context, n int, f Fault, random *rand.Rand) {
	var cut []string
	if f.Kind == FaultPartition {
		cut = s.chosen(f.Share, random)
	}
	if err := s.platform.begin(ctx, n, f, cut); err != nil {
		s.note(string(f.Kind) + " not set: " + err.Error())
		return
	}
	text := string(f.Kind)
	for _, name := range cut {
		text += " " + name
	}
	s.note(text + " begins")
	if f.Duration > 0 {
		_ = wait(ctx, f.Duration)
	} else {
		<-ctx.Done()
	}
	// The fault must end although the run is over.
	if err := s.platform.end(context.WithoutCancel(ctx), n); err != nil {
		s.note(text + " not ended: " + err.Error())
		return
	}
	s.note(text + " ends")
}

// chosen returns the names of a share of the instances, at least one.
func (s *schedule) chosen(share float64, random *rand.Rand) []string {
	total := s.fleet.experiment.Instances
	n := max(1, int(share*float64(total)+0.5))
	out := make([]string, 0, n)
	for _, i := range random.Perm(total)[:min(n, total)] {
		out = append(out, s.fleet.name(i))
	}
	return out
}

// kills kills one instance after the other and starts each again.
func (s *schedule) kills(ctx context.Context, f Fault, random *rand.Rand) {
	if f.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.Duration)
		defer cancel()
	}
	ticker := time.NewTicker(f.Interval)
	defer ticker.Stop()
	for {
		i := random.IntN(s.fleet.experiment.Instances)
		s.fleet.kill(i)
		s.note("killed " + s.fleet.name(i))
		stopped := wait(ctx, f.RestartDelay)
		if err := s.fleet.restart(i); err != nil {
			s.note(s.fleet.name(i) + " not started again: " + err.Error())
			return
		}
		if stopped != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
