package lacewriter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// withCombiner runs f with a combiner on a store with 2 ms of latency, in simulated time.
func withCombiner(t *testing.T, f func(m *memoryStore, c *Combiner), opts ...Option) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.latency = 2 * time.Millisecond
		c := NewCombiner(NewLog(m, 0, laceunit.Holder{Instance: "i"}, opts...), opts...)
		if err := c.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		f(m, c)
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

// measureAppends appends n records concurrently and returns the latency of each.
func measureAppends(c *Combiner, n int, urgency laceledger.Urgency, name string) []time.Duration {
	latencies := make([]time.Duration, n)
	done := make(chan struct{})
	for i := range n {
		go func() {
			start := time.Now()
			_, _ = c.Append(context.Background(), topUp(fmt.Sprint(name, i), 1), urgency)
			latencies[i] = time.Since(start)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
	return latencies
}

// Guards against a batching delay for a single record, and against delays beyond the limit of an urgency.
func TestLingerByUrgency(t *testing.T) {
	const latency = 2 * time.Millisecond
	withCombiner(t, func(_ *memoryStore, c *Combiner) {
		for i, u := range []laceledger.Urgency{
			laceledger.UrgencyLow, laceledger.UrgencyNormal, laceledger.UrgencyImmediate,
		} {
			if d := measureAppends(c, 1, u, fmt.Sprint("lone", i))[0]; d != latency {
				t.Errorf("single record of urgency %d took %v", u, d)
			}
		}
		measureAppends(c, 5, laceledger.UrgencyImmediate, "drain")
		measureAppends(c, 5, laceledger.UrgencyImmediate, "short")
		for u, limit := range map[laceledger.Urgency]time.Duration{
			laceledger.UrgencyImmediate: 2 * latency,
			laceledger.UrgencyNormal:    lingerNormal + 2*latency,
			laceledger.UrgencyLow:       lingerLow + 2*latency,
		} {
			for _, d := range measureAppends(c, 10, u, fmt.Sprint("many", u)) {
				if d > limit || (u == laceledger.UrgencyNormal && d < lingerNormal) {
					t.Errorf("record of urgency %d took %v", u, d)
				}
			}
		}
	}, WithWriteRate(1))
}

// Guards against concurrent records that are not batched into one write, and against concurrent appends.
func TestRecordsAreBatched(t *testing.T) {
	withCombiner(t, func(m *memoryStore, c *Combiner) {
		before := m.writes
		measureAppends(c, 200, laceledger.UrgencyImmediate, "t")
		if n := m.writes - before; n > 2 {
			t.Errorf("%d writes for 200 records", n)
		}
	})
}

// Guards against an unbounded queue, a cancelled record that is appended later, and a Close that drops queued records.
func TestQueueIsBoundedAndDrained(t *testing.T) {
	withCombiner(t, func(_ *memoryStore, c *Combiner) {
		results := make(chan error, 4)
		enqueue := func(ctx context.Context, id string) {
			go func() {
				_, err := c.Append(ctx, topUp(id, 1), laceledger.UrgencyImmediate)
				results <- err
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(context.Background())
		enqueue(ctx, "flying")
		enqueue(ctx, "queued")
		enqueue(context.Background(), "kept")
		if _, err := c.Append(ctx, topUp("full", 1), laceledger.UrgencyImmediate); !errors.Is(
			err, laceplatform.ErrUnavailable) {
			t.Errorf("full queue: %v", err)
		}
		cancel()
		for range 2 {
			if err := <-results; !errors.Is(err, laceplatform.ErrUnavailable) && !errors.Is(err, laceplatform.ErrUnknown) {
				t.Errorf("cancelled: %v", err)
			}
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		if err := <-results; err != nil {
			t.Errorf("queued before Close: %v", err)
		}
		c.log.View(func(s *laceledger.State) {
			if b, _ := s.Balance("b"); b.Paid != 2 {
				t.Errorf("paid %d", b.Paid)
			}
		})
		if _, err := c.Append(context.Background(), topUp("late", 1), laceledger.UrgencyImmediate); !errors.Is(
			err, laceplatform.ErrUnavailable) {
			t.Errorf("closed: %v", err)
		}
	}, WithQueueLimit(2))
}

// Guards against an entry that is reported as not appended after its slot was overwritten by later entries.
func TestOverwrittenEntryIsUnknown(t *testing.T) {
	m := newMemoryStore()
	log := NewLog(m, 0, laceunit.Holder{Instance: "i"})
	other := NewLog(m, 0, laceunit.Holder{Instance: "j"})
	if err := log.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.store = &overwritingStore{memoryStore: m, overwrite: func() {
		for i := range RingSlots + 1 {
			if _, err := other.Append(context.Background(), []laceledger.Record{topUp(fmt.Sprint("o", i), 1)}); err != nil {
				t.Error(err)
			}
		}
	}}
	if _, err := log.Append(t.Context(), []laceledger.Record{topUp("mine", 1)}); !errors.Is(
		err, laceplatform.ErrUnknown) {
		t.Fatalf("got %v", err)
	}
}

// overwritingStore returns an unknown outcome for each successful compare-and-swap, after overwriting the whole ring.
type overwritingStore struct {
	*memoryStore
	overwrite func()
}

func (l *overwritingStore) Swap(ctx context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	_, err := l.memoryStore.Swap(ctx, s)
	if err == nil {
		l.overwrite()
		err = laceplatform.ErrUnknown
	}
	return 0, err
}

// limitedReadStore fails reads once its remaining count is used up.
type limitedReadStore struct {
	*memoryStore
	perAttempt, remaining, attempts int
}

func (s *limitedReadStore) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	if s.remaining--; s.remaining < 0 {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	return s.memoryStore.Get(ctx, key)
}

// Guards against a snapshot whose values exceed the platform's size limit, against ended requests that are lost on
// reload, against a load that starts over after each failure, and against parts that are not deleted.
func TestLargeSnapshotIsSplit(t *testing.T) {
	m := newMemoryStore()
	largest := 0
	m.onWrite = func(e laceplatform.Entry) { largest = max(largest, len(e.Value)) }
	log := NewLog(m, 0, laceunit.Holder{Instance: "i"}, WithMaxPartBytes(8<<10))
	for n := range 400 {
		budget := laceunit.BudgetID(fmt.Sprint("b", n))
		request := laceledger.Request{Account: "a", ID: laceunit.RequestID(fmt.Sprint("r", n))}
		batch := []laceledger.Record{
			laceledger.TopUp{Budget: budget, Account: "a", ID: "t", Tokens: 100},
			laceledger.Open{Budget: budget, Grant: "g", Holder: laceunit.Holder{Instance: "i"}, Tokens: 50},
			laceledger.Intent{Budget: budget, Request: request, Grant: "g", Ceiling: 5, Attempt: "1", Idempotent: n%2 == 0},
			laceledger.Settle{Budget: budget, Request: request, Attempt: "1", Tokens: 5},
		}
		if _, err := log.Append(t.Context(), batch); err != nil {
			t.Fatal(err)
		}
		if log.SnapshotDue() {
			if err := log.Snapshot(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	}
	if largest > 16<<10 {
		t.Fatalf("value too large: %d bytes", largest)
	}
	limited := &limitedReadStore{memoryStore: m, perAttempt: 2}
	reloaded := NewLog(limited, 0, laceunit.Holder{Instance: "j"})
	for reloaded.Refresh(t.Context()) != nil {
		limited.remaining, limited.attempts = limited.perAttempt, limited.attempts+1
		if limited.attempts > 20 {
			t.Fatal("an interrupted load starts over")
		}
	}
	reloaded.View(func(s *laceledger.State) {
		if b, r := s.Counts(); b != 400 || r != 400 {
			t.Fatalf("%d budgets, %d requests", b, r)
		}
	})
	for k := range m.entries {
		if n := len(reloaded.head.message.GetParts()) +
			len(reloaded.head.message.GetSegments()); len(m.entries) > 400+1+n {
			t.Fatalf("%d keys with %d parts in use; %s may be orphaned", len(m.entries), n, k)
		}
	}
}

// Guards against batching delays for a single sequential caller that has exhausted the write rate limit.
func TestSequentialCallerDoesNotLinger(t *testing.T) {
	withCombiner(t, func(_ *memoryStore, c *Combiner) {
		for i := range 20 {
			if d := measureAppends(c, 1, laceledger.UrgencyNormal, fmt.Sprint("lone", i))[0]; d != 2*time.Millisecond {
				t.Errorf("record %d took %v", i, d)
			}
			// The caller sends its next record after its backend server has responded.
			<-time.After(20 * time.Millisecond)
		}
	}, WithWriteRate(1))
}

// snapshotCounter counts snapshots. The count is read after Close.
type snapshotCounter struct {
	NopObserver
	count int
}

func (s *snapshotCounter) Snapshot(laceunit.ShardID, int) { s.count++ }

// Guards against a redundant snapshot that is requested by appends while the previous one is being written.
func TestSnapshotsAreNotRepeated(t *testing.T) {
	const intervals = 3
	counter := &snapshotCounter{}
	withCombiner(t, func(_ *memoryStore, c *Combiner) {
		for i := range intervals*snapshotInterval + snapshotInterval/2 {
			measureAppends(c, 1, laceledger.UrgencyImmediate, fmt.Sprint("t", i))
		}
	}, WithObserver(counter))
	if counter.count > intervals {
		t.Errorf("%d snapshots for %d entries", counter.count, intervals*snapshotInterval+snapshotInterval/2)
	}
}
