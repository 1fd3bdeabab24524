//go:build measure

package lacewriter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// recordGenerator generates records with ids of realistic size.
type recordGenerator struct {
	random *rand.Rand
	n      int
}

func (g *recordGenerator) id() string {
	g.n++
	return ulid.MustNew(uint64(g.n), g.random).String()
}

func (g *recordGenerator) budget(n int) laceunit.BudgetID {
	return laceunit.BudgetID(fmt.Sprintf("budget-%06d", n))
}

func (g *recordGenerator) open(budget int) []laceledger.Record {
	b := g.budget(budget)
	return []laceledger.Record{
		laceledger.TopUp{
			Budget: b, Account: "account-1", ID: laceunit.TopUpID(g.id()), Tokens: 1 << 40, Actor: "operator",
		},
		laceledger.Open{
			Budget: b, Grant: g.grant(budget), Holder: laceunit.Holder{Instance: "instance-1", Incarnation: 1 << 60},
			Tokens: 1 << 39, Offline: 1 << 38, Serial: 1,
		},
	}
}

func (g *recordGenerator) grant(budget int) laceunit.GrantID {
	return laceunit.GrantID(fmt.Sprintf("%026d", budget))
}

func (g *recordGenerator) request(budget int) (laceledger.Intent, laceledger.Settle) {
	d := sha256.Sum256([]byte(g.id()))
	i := laceledger.Intent{
		Budget:     g.budget(budget),
		Request:    laceledger.Request{Account: "account-1", ID: laceunit.RequestID(g.id())},
		Digest:     laceunit.Digest(hex.EncodeToString(d[:])),
		Grant:      g.grant(budget),
		Ceiling:    2000,
		Attempt:    laceunit.AttemptID(g.id()),
		Server:     "server-1",
		Idempotent: true,
		At:         1_800_000_000,
	}
	return i, laceledger.Settle{Budget: i.Budget, Request: i.Request, Attempt: i.Attempt, Tokens: 700, At: i.At}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingObserver is an Observer that adds up the writes and snapshots.
type countingObserver struct {
	NopObserver
	mu                                               sync.Mutex
	writes, records, bytes, snapshots, snapshotBytes int
}

func (c *countingObserver) Write(_ laceunit.ShardID, records, bytes int, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes, c.records, c.bytes = c.writes+1, c.records+records, c.bytes+bytes
}

func (c *countingObserver) Snapshot(_ laceunit.ShardID, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshots, c.snapshotBytes = c.snapshots+1, c.snapshotBytes+bytes
}

// TestMeasureThroughput runs closed-loop clients against one shard with 2 ms of platform latency, in real time.
func TestMeasureThroughput(*testing.T) {
	fmt.Println("| clients | records/s | records per write | CPU per record | entry bytes per record | snapshot bytes per record |\n|---|---|---|---|---|---|")
	for _, clients := range []int{1, 16, 64, 256, 1024} {
		m, o := newMemoryStore(), &countingObserver{}
		m.latency = 2 * time.Millisecond
		c := NewCombiner(NewLog(m, 0, laceunit.Holder{Instance: "i"}, WithObserver(o)), WithWriteRate(1e6))
		g := &recordGenerator{random: rand.New(rand.NewSource(1))}
		for _, r := range g.open(0) {
			_, _ = c.Append(context.Background(), r, laceledger.UrgencyImmediate)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		start, cpuUsed := time.Now(), cpuTime()
		for range clients {
			wg.Go(func() {
				for time.Since(start) < 3*time.Second {
					mu.Lock()
					i, s := g.request(0)
					mu.Unlock()
					_, _ = c.Append(context.Background(), i, laceledger.UrgencyImmediate)
					_, _ = c.Append(context.Background(), s, laceledger.UrgencyImmediate)
				}
			})
		}
		wg.Wait()
		elapsed, cpuUsed := time.Since(start), cpuTime()-cpuUsed
		_ = c.Close()
		n := float64(o.records)
		fmt.Printf("| %d | %.0f | %.1f | %.1f µs | %.0f | %.0f |\n", clients, n/elapsed.Seconds(), n/float64(o.writes),
			float64(cpuUsed.Microseconds())/n, float64(o.bytes)/n, float64(o.snapshotBytes)/n)
	}
}

// TestMeasureRemote runs closed-loop clients on the writer and on an instance that forwards to it over loopback.
func TestMeasureRemote(t *testing.T) {
	f := newFleet(t, 2, 1, WithWriteRate(1e6))
	for _, i := range f.instances {
		f.serve(i)
		i.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	}
	w := f.writer(0, laceunit.Holder{})
	f.store.latency = 2 * time.Millisecond
	g := &recordGenerator{random: rand.New(rand.NewSource(1))}
	for _, r := range g.open(0) {
		w.mustAppend(t, r, laceledger.Accepted)
	}
	for _, i := range f.instances {
		for _, clients := range []int{1, 16, 128} {
			var mu sync.Mutex
			var wg sync.WaitGroup
			n, start, cpuUsed := 0, time.Now(), cpuTime()
			for range clients {
				wg.Go(func() {
					for time.Since(start) < 2*time.Second {
						mu.Lock()
						r, s := g.request(0)
						n += 2
						mu.Unlock()
						i.mustAppend(t, r, laceledger.Accepted)
						i.mustAppend(t, s, laceledger.Accepted)
					}
				})
			}
			wg.Wait()
			elapsed, cpuUsed := time.Since(start), cpuTime()-cpuUsed
			fmt.Printf("| at the writer: %v | %d clients | %.0f records/s | CPU %.1f µs per record |\n",
				i == w, clients, float64(n)/elapsed.Seconds(), float64(cpuUsed.Microseconds())/float64(n))
		}
	}
}

// TestMeasureWrites runs an open-loop load of requests in simulated time.
func TestMeasureWrites(t *testing.T) {
	fmt.Println("| requests/s | shards | not idempotent | linger | writes/s | writes per request | with snapshots | immediate p50/p99 | normal p50/p99 | low p50/p99 |\n|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct{ rate, shards, nonIdempotentPercent, linger int }{
		{30, 1, 10, 20},
		{100, 1, 10, 20},
		{300, 1, 10, 20},
		{600, 1, 10, 20},
		{30, 2, 10, 20},
		{100, 2, 10, 20},
		{300, 2, 10, 20},
		{600, 2, 10, 20},
		{300, 4, 10, 20},
		{300, 1, 0, 20},
		{300, 1, 5, 20},
		{300, 1, 20, 20},
		{300, 2, 0, 20},
		{300, 2, 5, 20},
		{300, 2, 20, 20},
		{300, 1, 10, 30},
		{300, 1, 10, 50},
		{300, 2, 10, 30},
		{300, 2, 10, 50},
		{2100, 1, 5, 30},
		{2100, 4, 5, 30},
		{2100, 8, 5, 30},
		{2100, 16, 5, 30},
		{2100, 64, 5, 30},
		{2100, 1, 100, 30},
		{2100, 8, 100, 30},
	} {
		synctest.Test(t, func(t *testing.T) {
			measureWrites(t, c.rate, c.shards, c.nonIdempotentPercent, time.Duration(c.linger)*time.Millisecond)
		})
	}
}

func measureWrites(t *testing.T, rate, shards, nonIdempotentPercent int, linger time.Duration) {
	const seconds = 30
	m, o := newMemoryStore(), &countingObserver{}
	m.latency, m.jitter = 1300*time.Microsecond, true
	g := &recordGenerator{random: rand.New(rand.NewSource(int64(rate*10 + shards)))}
	var combiners []*Combiner
	for i := range shards {
		opts := []Option{WithObserver(o), WithWriteRate(defaultWriteRate / float64(shards)), WithLinger(linger)}
		c := NewCombiner(NewLog(m, laceunit.ShardID(i), laceunit.Holder{Instance: "i"}, opts...), opts...)
		for _, r := range g.open(i) {
			_, _ = c.Append(context.Background(), r, laceledger.UrgencyImmediate)
		}
		combiners = append(combiners, c)
	}
	var mu sync.Mutex
	latencies := map[laceledger.Urgency]*hdrhistogram.Histogram{}
	for _, u := range []laceledger.Urgency{laceledger.UrgencyLow, laceledger.UrgencyNormal, laceledger.UrgencyImmediate} {
		latencies[u] = hdrhistogram.New(1, 10_000_000, 3)
	}
	measureAppend := func(c *Combiner, r laceledger.Record, u laceledger.Urgency) {
		start := time.Now()
		if v, err := c.Append(context.Background(), r, u); err != nil || v.Result != laceledger.Accepted {
			t.Errorf("%T: %v, %v", r, v.Result, err)
		}
		mu.Lock()
		defer mu.Unlock()
		_ = latencies[u].RecordValue(time.Since(start).Microseconds())
	}
	writes := m.writes
	*o = countingObserver{}
	var wg sync.WaitGroup
	for n := range rate * seconds {
		k := g.random.Intn(shards)
		intent, settle := g.request(k)
		urgency := laceledger.UrgencyNormal
		if g.random.Intn(100) < nonIdempotentPercent {
			intent.Idempotent, urgency = false, laceledger.UrgencyImmediate
		}
		wg.Go(func() {
			measureAppend(combiners[k], intent, urgency)
			<-time.After(time.Second)
			measureAppend(combiners[k], settle, laceledger.UrgencyNormal)
		})
		if n%(rate*2) == 0 {
			wg.Go(func() {
				measureAppend(combiners[k], laceledger.Return{Budget: g.budget(k), Grant: g.grant(k), Tokens: 1},
					laceledger.UrgencyLow)
			})
		}
		<-time.After(time.Duration(g.random.ExpFloat64() / float64(rate) * float64(time.Second)))
	}
	wg.Wait()
	for _, c := range combiners {
		_ = c.Close()
	}
	p := func(u laceledger.Urgency) string {
		return fmt.Sprintf("%.1f/%.1f ms",
			float64(latencies[u].ValueAtQuantile(50))/1000, float64(latencies[u].ValueAtQuantile(99))/1000)
	}
	n := float64(rate * seconds)
	fmt.Printf("| %d | %d | %d%% | %v | %.0f | %.3f | %.3f | %s | %s | %s |\n", rate, shards, nonIdempotentPercent,
		linger, float64(o.writes)/seconds, float64(o.writes)/n, float64(m.writes-writes)/n,
		p(laceledger.UrgencyImmediate), p(laceledger.UrgencyNormal), p(laceledger.UrgencyLow))
}

// TestMeasureSnapshot measures snapshot size, heap size and load time by the number of budgets and retained requests.
func TestMeasureSnapshot(t *testing.T) {
	fmt.Println("| budgets | retained requests | bytes on the platform | keys | heap | load |\n|---|---|---|---|---|---|")
	for _, c := range [][2]int{{1, 0}, {100, 0}, {1000, 0}, {10000, 0}, {1, 1000}, {1, 10000}, {1, 100000}} {
		m, g := newMemoryStore(), &recordGenerator{random: rand.New(rand.NewSource(1))}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		log := NewLog(m, 0, laceunit.Holder{Instance: "i"})
		var batch []laceledger.Record
		flush := func(limit int) {
			for len(batch) > limit {
				vs, err := log.Append(context.Background(), batch[:min(len(batch), maxBatchRecords)])
				if err != nil {
					t.Fatal(err)
				}
				batch = batch[len(vs):]
				if log.SnapshotDue() {
					_ = log.Snapshot(context.Background())
				}
			}
		}
		for n := range c[0] {
			batch = append(batch, g.open(n)...)
			flush(maxBatchRecords)
		}
		for range c[1] {
			i, s := g.request(0)
			batch = append(batch, i, s)
			flush(maxBatchRecords)
		}
		flush(0)
		if err := log.Snapshot(context.Background()); err != nil {
			t.Fatal(err)
		}
		size, keys := 0, 0
		for k, e := range m.entries {
			if k[:4] == "snap" || k[:4] == "part" {
				size, keys = size+len(e.Value), keys+1
			}
		}
		// The in-memory store shares the heap, so the ring is deleted and only the snapshot's size is subtracted.
		for k := range m.entries {
			if k[:4] == "log/" {
				delete(m.entries, k)
			}
		}
		start := time.Now()
		reloaded := NewLog(m, 0, laceunit.Holder{Instance: "j"})
		if err := reloaded.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		took := time.Since(start)
		log = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		fmt.Printf("| %d | %d | %d | %d | %d | %.1f ms |\n", c[0], c[1], size, keys,
			int(after.HeapAlloc)-int(before.HeapAlloc)-size, float64(took.Microseconds())/1000)
		runtime.KeepAlive(reloaded)
		runtime.KeepAlive(m)
	}
}

// BenchmarkAppend measures the CPU time per record by the size of the batch, without platform latency.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := &recordGenerator{random: rand.New(rand.NewSource(1))}
			log := NewLog(newMemoryStore(), 0, laceunit.Holder{Instance: "i"})
			_, _ = log.Append(context.Background(), g.open(0))
			var batches [][]laceledger.Record
			for range b.N {
				var batch []laceledger.Record
				for len(batch) < size {
					i, s := g.request(0)
					batch = append(batch, i, s)
				}
				batches = append(batches, batch)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, batch := range batches {
				if _, err := log.Append(context.Background(), batch); err != nil {
					b.Fatal(err)
				}
				if log.SnapshotDue() {
					_ = log.Snapshot(context.Background())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*max(size, 2)), "ns/record")
		})
	}
}
