package lacefleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"lacewingcove/lib/lacemember"
)

// BenchmarkSteady reports what one instance sends and receives while nothing fails, with default settings.
func BenchmarkSteady(b *testing.B) {
	for _, n := range []int{7, 50, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := start(b, n, Settings{RenewInterval: 3 * time.Second})
			settle := time.After(3 * time.Second)
			<-settle
			const window = 12 * time.Second
			calls, bytes, platform := f.network.calls.Load(), f.network.bytes.Load(), f.platform.calls.Load()
			<-time.After(window)
			per := func(v int64) float64 { return float64(v) / float64(n) / window.Seconds() }
			b.ReportMetric(per(f.network.calls.Load()-calls), "calls/s")
			// Each byte is sent by one instance and received by another.
			b.ReportMetric(2*per(f.network.bytes.Load()-bytes), "B/s")
			b.ReportMetric(per(f.platform.calls.Load()-platform), "platform-calls/s")
		})
	}
}

// BenchmarkJoin reports what the join of one instance costs the whole fleet.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{7, 50, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, ctx := start(b, n, Settings{})
			calls, bytes, platform := f.network.calls.Load(), f.network.bytes.Load(), f.platform.calls.Load()
			began := time.Now()
			f.join(ctx, b, "late", nil)
			f.await(ctx, b, func(s *Service) bool { return len(s.Record().Members) == n+1 && s.Enabled() })
			b.ReportMetric(time.Since(began).Seconds()*1000, "ms")
			b.ReportMetric(float64(f.network.calls.Load()-calls), "calls")
			b.ReportMetric(float64(f.network.bytes.Load()-bytes), "B")
			b.ReportMetric(float64(f.platform.calls.Load()-platform), "platform-calls")
		})
	}
}

// slow delays each request by the round trip of links of 1 ms.
type slow struct{ http.RoundTripper }

func (s slow) RoundTrip(r *http.Request) (*http.Response, error) {
	<-time.After(2 * time.Millisecond)
	return s.RoundTripper.RoundTrip(r)
}

// BenchmarkOutage reports the time from the loss of the platform until the last instance is in outage mode, the time
// back, and what both cost one instance. With traffic, failing requests ask for an early check.
func BenchmarkOutage(b *testing.B) {
	b.Run("7/idle", func(b *testing.B) { outage(b, 7, false) })
	for _, n := range []int{7, 50, 340} {
		b.Run(fmt.Sprintf("%d/traffic", n), func(b *testing.B) { outage(b, n, true) })
	}
}

func outage(b *testing.B, n int, traffic bool) {
	f, ctx := start(b, n, Settings{})
	calls, bytes := f.network.calls.Load(), f.network.bytes.Load()
	began := time.Now()
	f.down(true)
	for _, s := range f.order {
		if traffic {
			s.SuspectPlatform()
		}
	}
	f.await(ctx, b, func(s *Service) bool { return s.Mode() == lacemember.ModeOutage })
	b.ReportMetric(time.Since(began).Seconds()*1000, "ms-to-outage")
	began = time.Now()
	f.down(false)
	f.await(ctx, b, func(s *Service) bool {
		_, given := s.promises()
		return s.Mode() == lacemember.ModeOnline && given == 0
	})
	b.ReportMetric(time.Since(began).Seconds()*1000, "ms-to-online")
	b.ReportMetric(float64(f.network.calls.Load()-calls)/float64(n), "calls")
	b.ReportMetric(2*float64(f.network.bytes.Load()-bytes)/float64(n), "B")
}

// BenchmarkDead reports the time from the end of an instance's lease key until the last of 7 members has removed it.
// A crashed instance's key ends up to its time to live, 10 s, after the crash.
func BenchmarkDead(b *testing.B) {
	f, ctx := start(b, 7, Settings{})
	f.doors[6].handler.Store(nil)
	_ = f.order[6].Close()
	f.order = f.order[:6]
	began := time.Now()
	f.platform.expire(aliveKey("i6"))
	f.await(ctx, b, func(s *Service) bool { return len(s.Record().Members) == 6 })
	b.ReportMetric(time.Since(began).Seconds()*1000, "ms-after-expiry")
}
