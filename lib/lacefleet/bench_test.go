package lacefleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"lacewingcove/lib/lacemember"
)

// BenchmarkSteadyState reports the calls and bytes per second of one instance while nothing fails, with default
// settings.
func BenchmarkSteadyState(b *testing.B) {
	for _, n := range []int{7, 50, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := startFleet(b, n, Settings{RenewInterval: 3 * time.Second})
			warmUp := time.After(3 * time.Second)
			<-warmUp
			const window = 12 * time.Second
			calls, bytes, storeCalls := f.network.calls.Load(), f.network.bytes.Load(), f.store.calls.Load()
			<-time.After(window)
			per := func(v int64) float64 { return float64(v) / float64(n) / window.Seconds() }
			b.ReportMetric(per(f.network.calls.Load()-calls), "calls/s")
			// Each byte is sent by one instance and received by another.
			b.ReportMetric(2*per(f.network.bytes.Load()-bytes), "B/s")
			b.ReportMetric(per(f.store.calls.Load()-storeCalls), "platform-calls/s")
		})
	}
}

// BenchmarkJoin reports the time, calls and bytes that the join of one instance costs the whole fleet.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{7, 50, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, ctx := startFleet(b, n, Settings{})
			calls, bytes, storeCalls := f.network.calls.Load(), f.network.bytes.Load(), f.store.calls.Load()
			startTime := time.Now()
			f.join(ctx, b, "late", nil)
			f.waitFor(ctx, b, func(s *Service) bool { return len(s.Record().Members) == n+1 && s.Enabled() })
			b.ReportMetric(time.Since(startTime).Seconds()*1000, "ms")
			b.ReportMetric(float64(f.network.calls.Load()-calls), "calls")
			b.ReportMetric(float64(f.network.bytes.Load()-bytes), "B")
			b.ReportMetric(float64(f.store.calls.Load()-storeCalls), "platform-calls")
		})
	}
}

// delayedTransport delays each request by 2 ms, the round trip over a link with a latency of 1 ms.
type delayedTransport struct{ http.RoundTripper }

func (t delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-time.After(2 * time.Millisecond)
	return t.RoundTripper.RoundTrip(r)
}

// BenchmarkOutage reports the time from the loss of the platform until the last instance is in outage mode, the time
// from the platform's recovery until all instances are online, and the calls and bytes of both per instance. With
// traffic, failing requests trigger an early check of the platform.
func BenchmarkOutage(b *testing.B) {
	b.Run("7/idle", func(b *testing.B) { benchmarkOutage(b, 7, false) })
	for _, n := range []int{7, 50, 340} {
		b.Run(fmt.Sprintf("%d/traffic", n), func(b *testing.B) { benchmarkOutage(b, n, true) })
	}
}

func benchmarkOutage(b *testing.B, n int, traffic bool) {
	f, ctx := startFleet(b, n, Settings{})
	calls, bytes := f.network.calls.Load(), f.network.bytes.Load()
	startTime := time.Now()
	f.setPlatformDown(true)
	for _, s := range f.services {
		if traffic {
			s.SuspectPlatform()
		}
	}
	f.waitFor(ctx, b, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	b.ReportMetric(time.Since(startTime).Seconds()*1000, "ms-to-outage")
	startTime = time.Now()
	f.setPlatformDown(false)
	f.waitFor(ctx, b, func(s *Service) bool {
		_, given := s.promises()
		return s.Mode() == lacemember.ModeOnline && given == 0
	})
	b.ReportMetric(time.Since(startTime).Seconds()*1000, "ms-to-online")
	b.ReportMetric(float64(f.network.calls.Load()-calls)/float64(n), "calls")
	b.ReportMetric(2*float64(f.network.bytes.Load()-bytes)/float64(n), "B")
}

// BenchmarkDeadMemberRemoval reports the time from the lease expiry of an instance until the last of 7 members has
// removed it. The lease of a crashed instance expires up to its time to live, 10 s, after the crash.
func BenchmarkDeadMemberRemoval(b *testing.B) {
	f, ctx := startFleet(b, 7, Settings{})
	f.endpoints[6].handler.Store(nil)
	_ = f.services[6].Close()
	f.services = f.services[:6]
	startTime := time.Now()
	f.store.expireLease(aliveKey("i6"))
	f.waitFor(ctx, b, func(s *Service) bool { return len(s.Record().Members) == 6 })
	b.ReportMetric(time.Since(startTime).Seconds()*1000, "ms-after-expiry")
}
