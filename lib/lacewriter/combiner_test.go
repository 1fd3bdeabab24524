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

// bench runs f with a combiner over a platform with 2 ms of latency, in simulated time.
func bench(t *testing.T, f func(m *memory, c *Combiner), options ...Option) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		m.latency = 2 * time.Millisecond
		c := NewCombiner(NewLog(m, 0, laceunit.Holder{Instance: "i"}, options...), options...)
		if err := c.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		f(m, c)
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

// send appends n records at once and returns how long each took.
func send(c *Combiner, n int, urgency laceledger.Urgency, name string) []time.Duration {
	took := make([]time.Duration, n)
	done := make(chan struct{})
	for i := range n {
		go func() {
			start := time.Now()
			_, _ = c.Append(context.Background(), topUp(fmt.Sprint(name, i), 1), urgency)
			took[i] = time.Since(start)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
	return took
}

// Guards against a lone record that waits for company, and against urgencies that linger longer than they may.
func TestLinger(t *testing.T) {
	const call = 2 * time.Millisecond
	bench(t, func(_ *memory, c *Combiner) {
		for i, u := range []laceledger.Urgency{laceledger.UrgencyLow, laceledger.UrgencyNormal, laceledger.UrgencyImmediate} {
			if d := send(c, 1, u, fmt.Sprint("lone", i))[0]; d != call {
				t.Errorf("lone record of urgency %d took %v", u, d)
			}
		}
		send(c, 5, laceledger.UrgencyImmediate, "drain")
		send(c, 5, laceledger.UrgencyImmediate, "short")
		for u, limit := range map[laceledger.Urgency]time.Duration{
			laceledger.UrgencyImmediate: 2 * call, laceledger.UrgencyNormal: lingerSoon + 2*call, laceledger.UrgencyLow: lingerLazy + 2*call,
		} {
			for _, d := range send(c, 10, u, fmt.Sprint("many", u)) {
				if d > limit || (u == laceledger.UrgencyNormal && d < lingerSoon) {
					t.Errorf("record of urgency %d took %v", u, d)
				}
			}
		}
	}, WithWriteRate(1))
}

// Guards against batches that cost more than one write, and against more than one append in flight.
func TestBatchesShareWrites(t *testing.T) {
	bench(t, func(m *memory, c *Combiner) {
		before := m.writes
		send(c, 200, laceledger.UrgencyImmediate, "t")
		if n := m.writes - before; n > 2 {
			t.Errorf("%d writes for 200 records", n)
		}
	})
}

// Guards against a queue without a bound, a given-up record that is appended later, and a Close that drops records.
func TestQueueIsBoundedAndDrained(t *testing.T) {
	bench(t, func(_ *memory, c *Combiner) {
		first := make(chan error, 4)
		add := func(ctx context.Context, id string) {
			go func() {
				_, err := c.Append(ctx, topUp(id, 1), laceledger.UrgencyImmediate)
				first <- err
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(context.Background())
		add(ctx, "flying")
		add(ctx, "queued")
		add(context.Background(), "kept")
		if _, err := c.Append(ctx, topUp("full", 1), laceledger.UrgencyImmediate); !errors.Is(err, laceplatform.ErrUnavailable) {
			t.Errorf("full queue: %v", err)
		}
		cancel()
		for range 2 {
			if err := <-first; !errors.Is(err, laceplatform.ErrUnavailable) && !errors.Is(err, laceplatform.ErrUnknown) {
				t.Errorf("given up: %v", err)
			}
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		if err := <-first; err != nil {
			t.Errorf("queued before Close: %v", err)
		}
		c.log.View(func(s *laceledger.State) {
			if b, _ := s.Balance("b"); b.Paid != 2 {
				t.Errorf("paid %d", b.Paid)
			}
		})
		if _, err := c.Append(context.Background(), topUp("late", 1), laceledger.UrgencyImmediate); !errors.Is(err, laceplatform.ErrUnavailable) {
			t.Errorf("closed: %v", err)
		}
	}, WithQueueLimit(2))
}

// Guards against an entry that is reported as not appended after others have overwritten its slot.
func TestLappedEntryIsUnknown(t *testing.T) {
	m := newMemory()
	log := NewLog(m, 0, laceunit.Holder{Instance: "i"})
	other := NewLog(m, 0, laceunit.Holder{Instance: "j"})
	if err := log.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.store = &lapStore{memory: m, lap: func() {
		for i := range RingSlots + 1 {
			if _, err := other.Append(context.Background(), []laceledger.Record{topUp(fmt.Sprint("o", i), 1)}); err != nil {
				t.Error(err)
			}
		}
	}}
	if _, err := log.Append(t.Context(), []laceledger.Record{topUp("mine", 1)}); !errors.Is(err, laceplatform.ErrUnknown) {
		t.Fatalf("got %v", err)
	}
}

// lapStore loses the answer of its first swap and lets a whole lap of the ring pass before the read-back.
type lapStore struct {
	*memory
	lap func()
}

func (l *lapStore) Swap(ctx context.Context, s laceplatform.Swap) (laceplatform.Revision, error) {
	_, err := l.memory.Swap(ctx, s)
	if err == nil {
		l.lap()
		err = laceplatform.ErrUnknown
	}
	return 0, err
}

// limitedReads fails after some reads until it is given more.
type limitedReads struct {
	*memory
	each, left, tries int
}

func (s *limitedReads) Get(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	if s.left--; s.left < 0 {
		return laceplatform.Entry{}, laceplatform.ErrUnavailable
	}
	return s.memory.Get(ctx, key)
}

// Guards against a snapshot beyond the platform's limit on a value, and against ended requests that a reload forgets.
func TestLargeStateIsSplit(t *testing.T) {
	m := newMemory()
	largest := 0
	m.written = func(e laceplatform.Entry) { largest = max(largest, len(e.Value)) }
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
		t.Fatalf("a value of %d bytes", largest)
	}
	limited := &limitedReads{memory: m, each: 2}
	again := NewLog(limited, 0, laceunit.Holder{Instance: "j"})
	for again.Refresh(t.Context()) != nil {
		limited.left, limited.tries = limited.each, limited.tries+1
		if limited.tries > 20 {
			t.Fatal("a load that is cut short starts from the beginning")
		}
	}
	again.View(func(s *laceledger.State) {
		if b, r := s.Counts(); b != 400 || r != 400 {
			t.Fatalf("%d budgets, %d requests", b, r)
		}
	})
	for k := range m.entries {
		if n := len(again.head.message.GetParts()) + len(again.head.message.GetSegments()); len(m.entries) > 400+1+n {
			t.Fatalf("%d keys with %d parts in use; %s may be left over", len(m.entries), n, k)
		}
	}
}

// Guards against a single caller whose records wait for company that does not come once it has used the allowance up.
func TestLoneCallerDoesNotLinger(t *testing.T) {
	bench(t, func(_ *memory, c *Combiner) {
		for i := range 20 {
			if d := send(c, 1, laceledger.UrgencyNormal, fmt.Sprint("lone", i))[0]; d != 2*time.Millisecond {
				t.Errorf("record %d took %v", i, d)
			}
			// The caller's next record comes after its backend server has answered.
			<-time.After(20 * time.Millisecond)
		}
	}, WithWriteRate(1))
}

// snapshotCount counts snapshots; it is read after Close.
type snapshotCount struct {
	NopObserver
	n int
}

func (s *snapshotCount) Snapshot(laceunit.ShardID, int) { s.n++ }

// Guards against a second snapshot right after the first, which appends during the first one had asked for.
func TestSnapshotsAreNotRepeated(t *testing.T) {
	const laps = 3
	count := &snapshotCount{}
	bench(t, func(_ *memory, c *Combiner) {
		for i := range laps*snapshotEvery + snapshotEvery/2 {
			send(c, 1, laceledger.UrgencyImmediate, fmt.Sprint("t", i))
		}
	}, WithObserver(count))
	if count.n > laps {
		t.Errorf("%d snapshots for %d entries", count.n, laps*snapshotEvery+snapshotEvery/2)
	}
}
