package lacerouter

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// audit replays the logs of all shards from the platform's own changes and checks every budget at every revision.
type audit struct {
	mu      sync.Mutex
	states  map[laceplatform.Key]*laceledger.State
	entries int
	fault   error
	watch   laceplatform.Watch
	done    chan struct{}
}

func (w *world) audit() *audit {
	w.t.Helper()
	watch, err := w.local.Watch(context.Background(), "log/", 0)
	if err != nil {
		w.t.Fatal(err)
	}
	a := &audit{
		states: map[laceplatform.Key]*laceledger.State{},
		watch:  watch,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(a.done)
		for e := range watch.Events() {
			a.take(e)
		}
	}()
	w.t.Cleanup(func() {
		_ = watch.Close()
		<-a.done
		if a.fault != nil {
			w.t.Errorf("after %d entries: %v", a.entries, a.fault)
		}
	})
	return a
}

func (a *audit) take(e laceplatform.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fault != nil {
		return
	}
	var shard, slot int
	if _, a.fault = fmt.Sscanf(string(e.Entry.Key), "log/%d/%d", &shard, &slot); a.fault != nil {
		return
	}
	key := laceplatform.Key(fmt.Sprint(shard))
	if a.states[key] == nil {
		a.states[key] = &laceledger.State{}
	}
	entry, err := lacewire.DecodeEntry(e.Entry.Value)
	if err == nil {
		err = a.states[key].Apply(entry)
	}
	if err == nil {
		err = a.states[key].Check()
	}
	for _, b := range a.states[key].Balances() {
		if b.Settled > b.Paid || b.Settled+b.Outstanding > b.Paid {
			err = fmt.Errorf("revision %d: settled %d and outstanding %d of paid %d", e.Entry.Revision, b.Settled, b.Outstanding, b.Paid)
		}
	}
	a.entries++
	a.fault = err
}

// settle waits until no request is open and returns the balance.
func (w *world) settle() laceledger.Balance {
	w.t.Helper()
	var b laceledger.Balance
	w.until("every intent settled", func() bool {
		b = w.balance()
		for _, g := range b.Grants {
			if g.Reserved > 0 {
				return false
			}
		}
		return true
	})
	return b
}

// Guards against overspend, double or missing bills and tokens that are lost for good, when three routers draw on a
// nearly spent budget while answers of platform writes are lost, the platform fails, one router is cut off from it
// during a top-up and another is killed.
func TestNearlySpentBudgetUnderFaults(t *testing.T) {
	t.Parallel()
	const paid, extra, chats, most = 4000, 2500, 150, 64
	w := newFundedWorld(t, paid)
	w.audit()
	routers, _ := w.fleet(3, "-grant.idle", "1s")
	b := bill{tokens: w.settle().Settled}
	lossy := laceemulator.PlatformFaults{LossRate: 0.2}
	w.platform.SetFaults(lossy)
	set := func(f laceemulator.PlatformFaults) func() { return func() { w.platform.SetFaults(f) } }
	down, alone, deaf := lossy, lossy, lossy
	down.Down = true
	alone.Partitions = map[string]laceemulator.Partition{"router-2": laceemulator.DropRequests}
	deaf.Partitions = map[string]laceemulator.Partition{"router-2": laceemulator.DropResponses}
	ended := play([]step{
		{after: 1200 * time.Millisecond, do: set(down)},
		{after: 4 * time.Second, do: func() { routers[2].signal(syscall.SIGKILL) }},
		{after: time.Second, do: set(lossy)},
		{after: 500 * time.Millisecond, do: set(alone)},
		{after: 500 * time.Millisecond, do: func() { w.pay(extra, routers[1], routers[0]) }},
		{after: time.Second, do: set(deaf)},
		{after: time.Second, do: set(laceemulator.PlatformFaults{})},
	})
	b.load(t, routers, "chat", chats, 12, most)
	<-ended
	w.rest(&b, paid+extra)
	spend(w, &b, routers[:2], paid+extra)
}

// pay tops the budget up through the administration API, twice with the same id.
func (w *world) pay(tokens int64, routers ...*router) {
	w.t.Helper()
	for range 2 {
		w.until("top-up", func() bool {
			_, err := w.operator(routers...).TopUp(context.Background(), "main", laceadmin.TopUp{
				ID:     "extra",
				Tokens: tokens,
			})
			return err == nil
		})
	}
}

// rest waits until nothing is open and compares the ledger with what callers received.
func (w *world) rest(b *bill, paid laceunit.Tokens) {
	w.t.Helper()
	var last laceledger.Balance
	defer func() {
		if w.t.Failed() {
			w.t.Logf("callers: %d whole, %d refused, %d tokens; ledger: %+v", b.whole, b.spent, b.total(), last)
		}
	}()
	last = w.settle()
	w.until("ledger and callers agree", func() bool {
		last = w.balance()
		return last.Settled >= b.total()
	})
	last = w.settle()
	if last.Settled != b.total() || last.Paid != paid {
		w.t.Fatalf("settled %d tokens, callers received %d; paid %d of %d", last.Settled, b.total(), last.Paid, paid)
	}
}

// spend spends what is left until less than one request's ceiling remains.
func spend(w *world, b *bill, routers []*router, paid laceunit.Tokens) {
	w.t.Helper()
	const most = 32
	ceiling := laceemulator.PromptTokens("user: "+testPrompt+" last-000") + most
	i := 0
	w.until("the rest of the budget spent", func() bool {
		b.load(w.t, routers, fmt.Sprint("last-", i), 4, 4, most)
		i++
		return w.t.Failed() || paid-b.total() < 2*ceiling
	})
	w.rest(b, paid)
}
