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

// load makes records with ids of the size that instances use.
type load struct {
	random *rand.Rand
	n      int
}

func (l *load) id() string {
	l.n++
	return ulid.MustNew(uint64(l.n), l.random).String()
}

func (l *load) budget(n int) laceunit.BudgetID {
	return laceunit.BudgetID(fmt.Sprintf("budget-%06d", n))
}

func (l *load) open(budget int) []laceledger.Record {
	b := l.budget(budget)
	return []laceledger.Record{
		laceledger.TopUp{Budget: b, Account: "account-1", ID: laceunit.TopUpID(l.id()), Tokens: 1 << 40, Who: "operator"},
		laceledger.Open{Budget: b, Grant: l.grant(budget), Holder: laceunit.Holder{Instance: "instance-1", Incarnation: 1 << 60}, Tokens: 1 << 39, Offline: 1 << 38, Serial: 1},
	}
}

func (l *load) grant(budget int) laceunit.GrantID {
	return laceunit.GrantID(fmt.Sprintf("%026d", budget))
}

func (l *load) request(budget int) (laceledger.Intent, laceledger.Settle) {
	d := sha256.Sum256([]byte(l.id()))
	i := laceledger.Intent{
		Budget: l.budget(budget), Request: laceledger.Request{Account: "account-1", ID: laceunit.RequestID(l.id())}, Digest: laceunit.Digest(hex.EncodeToString(d[:])),
		Grant: l.grant(budget), Ceiling: 2000, Attempt: laceunit.AttemptID(l.id()), Server: "server-1", Idempotent: true, At: 1_800_000_000,
	}
	return i, laceledger.Settle{Budget: i.Budget, Request: i.Request, Attempt: i.Attempt, Tokens: 700, At: i.At}
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// counts is an observer that adds up.
type counts struct {
	Nop
	mu                                       sync.Mutex
	writes, records, bytes, snaps, snapBytes int
}

func (c *counts) Write(_ laceunit.ShardID, records, bytes int, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes, c.records, c.bytes = c.writes+1, c.records+records, c.bytes+bytes
}

func (c *counts) Snapshot(_ laceunit.ShardID, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snaps, c.snapBytes = c.snaps+1, c.snapBytes+bytes
}

// TestMeasureThroughput runs clients in a closed loop against one shard at 2 ms of platform latency, in real time.
func TestMeasureThroughput(*testing.T) {
	fmt.Println("| clients | records/s | records per write | CPU per record | entry bytes per record | snapshot bytes per record |\n|---|---|---|---|---|---|")
	for _, clients := range []int{1, 16, 64, 256, 1024} {
		m, o := newMemory(), &counts{}
		m.latency = 2 * time.Millisecond
		c := NewCombiner(NewLog(m, 0, laceunit.Holder{Instance: "i"}, WithObserver(o)), WithWrites(1e6))
		l := &load{random: rand.New(rand.NewSource(1))}
		for _, r := range l.open(0) {
			_, _ = c.Append(context.Background(), r, laceledger.Now)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		start, used := time.Now(), cpu()
		for range clients {
			wg.Go(func() {
				for time.Since(start) < 3*time.Second {
					mu.Lock()
					i, s := l.request(0)
					mu.Unlock()
					_, _ = c.Append(context.Background(), i, laceledger.Now)
					_, _ = c.Append(context.Background(), s, laceledger.Now)
				}
			})
		}
		wg.Wait()
		took, used := time.Since(start), cpu()-used
		_ = c.Close()
		n := float64(o.records)
		fmt.Printf("| %d | %.0f | %.1f | %.1f µs | %.0f | %.0f |\n", clients, n/took.Seconds(), n/float64(o.writes), float64(used.Microseconds())/n, float64(o.bytes)/n, float64(o.snapBytes)/n)
	}
}

// TestMeasureRemote runs clients in a closed loop at an instance that is not the writer, over loopback.
func TestMeasureRemote(t *testing.T) {
	f := newFleet(t, 2, 1, WithWrites(1e6))
	for _, i := range f.list {
		f.serve(i)
		i.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	}
	w := f.writer(0, laceunit.Holder{})
	f.store.latency = 2 * time.Millisecond
	l := &load{random: rand.New(rand.NewSource(1))}
	for _, r := range l.open(0) {
		w.must(t, r, laceledger.Accepted)
	}
	for _, i := range f.list {
		for _, clients := range []int{1, 16, 128} {
			var mu sync.Mutex
			var wg sync.WaitGroup
			n, start, used := 0, time.Now(), cpu()
			for range clients {
				wg.Go(func() {
					for time.Since(start) < 2*time.Second {
						mu.Lock()
						r, s := l.request(0)
						n += 2
						mu.Unlock()
						i.must(t, r, laceledger.Accepted)
						i.must(t, s, laceledger.Accepted)
					}
				})
			}
			wg.Wait()
			took, used := time.Since(start), cpu()-used
			fmt.Printf("| at the writer: %v | %d clients | %.0f records/s | CPU %.1f µs per record |\n", i == w, clients, float64(n)/took.Seconds(), float64(used.Microseconds())/float64(n))
		}
	}
}

// TestMeasureWrites runs an open loop of requests in simulated time.
func TestMeasureWrites(t *testing.T) {
	fmt.Println("| requests/s | shards | not idempotent | linger | writes/s | writes per request | with snapshots | now p50/p99 | soon p50/p99 | lazy p50/p99 |\n|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct{ rate, shards, once, linger int }{
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
			measureWrites(t, c.rate, c.shards, c.once, time.Duration(c.linger)*time.Millisecond)
		})
	}
}

func measureWrites(t *testing.T, rate, shards, once int, linger time.Duration) {
	const seconds = 30
	m, o := newMemory(), &counts{}
	m.latency, m.jitter = 1300*time.Microsecond, true
	l := &load{random: rand.New(rand.NewSource(int64(rate*10 + shards)))}
	var units []*Combiner
	for i := range shards {
		options := []Option{WithObserver(o), WithWrites(defaultWrites / float64(shards)), WithLinger(linger)}
		c := NewCombiner(NewLog(m, laceunit.ShardID(i), laceunit.Holder{Instance: "i"}, options...), options...)
		for _, r := range l.open(i) {
			_, _ = c.Append(context.Background(), r, laceledger.Now)
		}
		units = append(units, c)
	}
	var mu sync.Mutex
	took := map[laceledger.Urgency]*hdrhistogram.Histogram{}
	for _, u := range []laceledger.Urgency{laceledger.Lazy, laceledger.Soon, laceledger.Now} {
		took[u] = hdrhistogram.New(1, 10_000_000, 3)
	}
	send := func(c *Combiner, r laceledger.Record, u laceledger.Urgency) {
		start := time.Now()
		if v, err := c.Append(context.Background(), r, u); err != nil || v.Result != laceledger.Accepted {
			t.Errorf("%T: %v, %v", r, v.Result, err)
		}
		mu.Lock()
		defer mu.Unlock()
		_ = took[u].RecordValue(time.Since(start).Microseconds())
	}
	writes := m.writes
	*o = counts{}
	var wg sync.WaitGroup
	for n := range rate * seconds {
		k := l.random.Intn(shards)
		intent, settle := l.request(k)
		urgency := laceledger.Soon
		if l.random.Intn(100) < once {
			intent.Idempotent, urgency = false, laceledger.Now
		}
		wg.Go(func() {
			send(units[k], intent, urgency)
			<-time.After(time.Second)
			send(units[k], settle, laceledger.Soon)
		})
		if n%(rate*2) == 0 {
			wg.Go(func() {
				send(units[k], laceledger.Return{Budget: l.budget(k), Grant: l.grant(k), Tokens: 1}, laceledger.Lazy)
			})
		}
		<-time.After(time.Duration(l.random.ExpFloat64() / float64(rate) * float64(time.Second)))
	}
	wg.Wait()
	for _, c := range units {
		_ = c.Close()
	}
	p := func(u laceledger.Urgency) string {
		return fmt.Sprintf("%.1f/%.1f ms", float64(took[u].ValueAtQuantile(50))/1000, float64(took[u].ValueAtQuantile(99))/1000)
	}
	n := float64(rate * seconds)
	fmt.Printf("| %d | %d | %d%% | %v | %.0f | %.3f | %.3f | %s | %s | %s |\n", rate, shards, once, linger, float64(o.writes)/seconds, float64(o.writes)/n, float64(m.writes-writes)/n,
		p(laceledger.Now), p(laceledger.Soon), p(laceledger.Lazy))
}

// TestMeasureSnapshot measures snapshots, memory and loads by the number of budgets and of remembered requests.
func TestMeasureSnapshot(t *testing.T) {
	fmt.Println("| budgets | remembered requests | bytes on the platform | keys | heap | load |\n|---|---|---|---|---|---|")
	for _, c := range [][2]int{{1, 0}, {100, 0}, {1000, 0}, {10000, 0}, {1, 1000}, {1, 10000}, {1, 100000}} {
		m, l := newMemory(), &load{random: rand.New(rand.NewSource(1))}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		log := NewLog(m, 0, laceunit.Holder{Instance: "i"})
		var batch []laceledger.Record
		flush := func(limit int) {
			for len(batch) > limit {
				vs, err := log.Append(context.Background(), batch[:min(len(batch), batchRecords)])
				if err != nil {
					t.Fatal(err)
				}
				batch = batch[len(vs):]
				if log.Due() {
					_ = log.Snapshot(context.Background())
				}
			}
		}
		for n := range c[0] {
			batch = append(batch, l.open(n)...)
			flush(batchRecords)
		}
		for range c[1] {
			i, s := l.request(0)
			batch = append(batch, i, s)
			flush(batchRecords)
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
		// The ring of this fake shares the heap, so only the snapshot's keys stay in it.
		for k := range m.entries {
			if k[:4] == "log/" {
				delete(m.entries, k)
			}
		}
		start := time.Now()
		again := NewLog(m, 0, laceunit.Holder{Instance: "j"})
		if err := again.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		took := time.Since(start)
		log = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		fmt.Printf("| %d | %d | %d | %d | %d | %.1f ms |\n", c[0], c[1], size, keys, int(after.HeapAlloc)-int(before.HeapAlloc)-size, float64(took.Microseconds())/1000)
		runtime.KeepAlive(again)
		runtime.KeepAlive(m)
	}
}

// BenchmarkAppend measures the processor time of the records of one entry, without a platform's latency.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l := &load{random: rand.New(rand.NewSource(1))}
			log := NewLog(newMemory(), 0, laceunit.Holder{Instance: "i"})
			_, _ = log.Append(context.Background(), l.open(0))
			var batches [][]laceledger.Record
			for range b.N {
				var batch []laceledger.Record
				for len(batch) < size {
					i, s := l.request(0)
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
				if log.Due() {
					_ = log.Snapshot(context.Background())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*max(size, 2)), "ns/record")
		})
	}
}
