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

// offsetPorts adds an offset to the port of every loopback address in a text.
func offsetPorts(text []byte, offset int) []byte {
	return portPattern.ReplaceAllFunc(text, func(match []byte) []byte {
		m := portPattern.FindSubmatch(match)
		port, _ := strconv.Atoi(string(m[1])) // The pattern matches only digits.
		return []byte("127.0.0.1:" + strconv.Itoa(port+offset))
	})
}

// faultInjector injects the faults of one run at their scheduled times.
type faultInjector struct {
	fleet    *fleet
	platform *faultClient
	random   *rand.Rand
	// mu guards events, the log of injected faults in chronological order.
	mu        sync.Mutex
	events    []string
	startedAt time.Time
}

// run injects all faults and returns after they have ended or the context is done; it leaves no platform fault active.
func (s *faultInjector) run(ctx context.Context, faults []Fault) {
	s.startedAt = time.Now()
	var workers sync.WaitGroup
	for n, f := range faults {
		// Each fault has its own random generator, since the order in which faults draw may differ between runs.
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		workers.Add(1)
		go func() {
			defer workers.Done()
			if sleep(ctx, f.Start) != nil {
				return
			}
			if f.Kind == FaultKill {
				s.killInstances(ctx, f, random)
				return
			}
			s.injectPlatformFault(ctx, n, f, random)
		}()
	}
	workers.Wait()
}

func (s *faultInjector) recordEvent(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, strconv.FormatFloat(time.Since(s.startedAt).Seconds(), 'f', 1, 64)+" s: "+text)
}

// injectPlatformFault keeps a fault of the platform active for its duration.
func (s *faultInjector) injectPlatformFault(ctx context.Context, n int, f Fault, random *rand.Rand) {
	var partitioned []string
	if f.Kind == FaultPartition {
		partitioned = s.pickInstances(f.Share, random)
	}
	if err := s.platform.addFault(ctx, n, f, partitioned); err != nil {
		s.recordEvent(string(f.Kind) + " not set: " + err.Error())
		return
	}
	text := string(f.Kind)
	for _, name := range partitioned {
		text += " " + name
	}
	s.recordEvent(text + " begins")
	if f.Duration > 0 {
		_ = sleep(ctx, f.Duration)
	} else {
		<-ctx.Done()
	}
	// The fault must be removed even if the run has ended.
	if err := s.platform.removeFault(context.WithoutCancel(ctx), n); err != nil {
		s.recordEvent(text + " not ended: " + err.Error())
		return
	}
	s.recordEvent(text + " ends")
}

// pickInstances returns the names of a random share of the instances, at least one.
func (s *faultInjector) pickInstances(share float64, random *rand.Rand) []string {
	total := s.fleet.experiment.Instances
	n := max(1, int(share*float64(total)+0.5))
	names := make([]string, 0, n)
	for _, i := range random.Perm(total)[:min(n, total)] {
		names = append(names, s.fleet.name(i))
	}
	return names
}

// killInstances kills a random instance at each interval and restarts it after the restart delay.
func (s *faultInjector) killInstances(ctx context.Context, f Fault, random *rand.Rand) {
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
		s.recordEvent("killed " + s.fleet.name(i))
		interrupted := sleep(ctx, f.RestartDelay)
		if err := s.fleet.restart(i); err != nil {
			s.recordEvent(s.fleet.name(i) + " not started again: " + err.Error())
			return
		}
		if interrupted != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
