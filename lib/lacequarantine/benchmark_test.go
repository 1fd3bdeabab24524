package lacequarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

func benchmarkService(b *testing.B) *Service {
	log := lacelog.Discard()
	b.Cleanup(func() { log.Close() })
	return New(Options{
		Self: "i1",
		Keys: testKeys(),
		Log:  log,
	})
}

// BenchmarkRequest measures what a request costs that is served, with no verdict in force.
func BenchmarkRequest(b *testing.B) {
	s := benchmarkService(b)
	prompt := []Part{part("base"), part("caller"), part("session")}
	b.ReportAllocs()
	for b.Loop() {
		s.Blocked(prompt)
		stop := s.Track(prompt, func() {})
		s.Blocked(prompt)
		stop()
		s.ReportSuccess(prompt)
	}
}

// BenchmarkRequestWithVerdicts measures the same with as many verdicts as there may be.
func BenchmarkRequestWithVerdicts(b *testing.B) {
	s := benchmarkService(b)
	for i := range maxVerdicts {
		s.apply(newVerdict(time.Now(), []Part{part("base"), part("bad-%d", i)}, nil))
	}
	prompt := []Part{part("base"), part("caller"), part("session")}
	b.ReportAllocs()
	for b.Loop() {
		s.Blocked(prompt)
	}
}

// BenchmarkMemory reports the memory of a tracker whose state is at its bounds.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tracker := &Tracker{}
		now := time.Now()
		for i := range 2 * maxGeneration {
			tracker.RecordSuccess(now, []Part{part("%060d", i)})
		}
		for i := range maxCrashes {
			for reporter := range 2 * maxCrashPrompts / maxPrompts {
				c := Crash{
					Server: laceunit.ServerID(fmt.Sprint("server-", i)),
					At:     now,
				}
				for range maxPrompts {
					var prompt []Part
					for k := range maxReportParts / maxPrompts {
						prompt = append(prompt, part("%050d-%d", i, k))
					}
					c.Prompts = append(c.Prompts, prompt)
				}
				tracker.RecordCrash(now, laceunit.InstanceID(fmt.Sprint("instance-", reporter)), c)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(tracker)
	}
}
