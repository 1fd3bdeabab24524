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

// ledgerAudit replays the logs of all shards from a watch of the platform and checks every budget at every revision.
type ledgerAudit struct {
	mu      sync.Mutex
	states  map[laceplatform.Key]*laceledger.State
	entries int
	failure error
	watch   laceplatform.Watch
	done    chan struct{}
}

func (tc *testCluster) startLedgerAudit() *ledgerAudit {
	tc.t.Helper()
	watch, err := tc.local.Watch(context.Background(), "log/", 0)
	if err != nil {
		tc.t.Fatal(err)
	}
	a := &ledgerAudit{
		states: map[laceplatform.Key]*laceledger.State{},
		watch:  watch,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(a.done)
		for e := range watch.Events() {
			a.apply(e)
		}
	}()
	tc.t.Cleanup(func() {
		_ = watch.Close()
		<-a.done
		if a.failure != nil {
			tc.t.Errorf("after %d entries: %v", a.entries, a.failure)
		}
	})
	return a
}

func (a *ledgerAudit) apply(e laceplatform.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failure != nil {
		return
	}
	var shard, slot int
	if _, a.failure = fmt.Sscanf(string(e.Entry.Key), "log/%d/%d", &shard, &slot); a.failure != nil {
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
	a.failure = err
}

// waitUntilSettled waits until no request is open and returns the balance.
func (tc *testCluster) waitUntilSettled() laceledger.Balance {
	tc.t.Helper()
	var b laceledger.Balance
	tc.waitFor("every intent settled", func() bool {
		b = tc.balance()
		for _, g := range b.Grants {
			if g.Reserved > 0 {
				return false
			}
		}
		return true
	})
	return b
}

// Guards against overspend, double or missing billing and permanently lost tokens when three routers use a nearly
// exhausted budget while responses to platform writes are lost, the platform fails, one router is partitioned from it
// during a top-up and another one is killed.
func TestNearlyExhaustedBudgetUnderFaults(t *testing.T) {
	t.Parallel()
	const paid, extra, chats, maxTokens = 4000, 2500, 150, 64
	tc := newFundedTestCluster(t, paid)
	tc.startLedgerAudit()
	routers, _ := tc.startFleet(3, "-grant.idle", "1s")
	b := billingTotals{tokens: tc.waitUntilSettled().Settled}
	lossy := laceemulator.PlatformFaults{LossRate: 0.2}
	tc.platform.SetFaults(lossy)
	setFaults := func(f laceemulator.PlatformFaults) func() { return func() { tc.platform.SetFaults(f) } }
	down, requestsCut, responsesCut := lossy, lossy, lossy
	down.Down = true
	requestsCut.Partitions = map[string]laceemulator.Partition{"router-2": laceemulator.DropRequests}
	responsesCut.Partitions = map[string]laceemulator.Partition{"router-2": laceemulator.DropResponses}
	ended := runSchedule([]scheduledFault{
		{delay: 1200 * time.Millisecond, apply: setFaults(down)},
		{delay: 4 * time.Second, apply: func() { routers[2].signal(syscall.SIGKILL) }},
		{delay: time.Second, apply: setFaults(lossy)},
		{delay: 500 * time.Millisecond, apply: setFaults(requestsCut)},
		{delay: 500 * time.Millisecond, apply: func() { tc.topUpTwice(extra, routers[1], routers[0]) }},
		{delay: time.Second, apply: setFaults(responsesCut)},
		{delay: time.Second, apply: setFaults(laceemulator.PlatformFaults{})},
	})
	b.runChats(t, routers, "chat", chats, 12, maxTokens)
	<-ended
	tc.checkBilling(&b, paid+extra)
	exhaustBudget(tc, &b, routers[:2], paid+extra)
}

// topUpTwice sends the same top-up twice, with the same id, through the administration API.
func (tc *testCluster) topUpTwice(tokens int64, routers ...*router) {
	tc.t.Helper()
	for range 2 {
		tc.waitFor("top-up", func() bool {
			_, err := tc.adminClient(routers...).TopUp(context.Background(), "main", laceadmin.TopUp{
				ID:     "extra",
				Tokens: tokens,
			})
			return err == nil
		})
	}
}

// checkBilling waits until no request is open and compares the ledger with the tokens that callers received.
func (tc *testCluster) checkBilling(b *billingTotals, paid laceunit.Tokens) {
	tc.t.Helper()
	var last laceledger.Balance
	defer func() {
		if tc.t.Failed() {
			tc.t.Logf("callers: %d complete, %d refused, %d tokens; ledger: %+v", b.completed, b.exhausted,
				b.receivedTokens(), last)
		}
	}()
	last = tc.waitUntilSettled()
	tc.waitFor("ledger and callers agree", func() bool {
		last = tc.balance()
		return last.Settled >= b.receivedTokens()
	})
	last = tc.waitUntilSettled()
	if last.Settled != b.receivedTokens() || last.Paid != paid {
		tc.t.Fatalf("settled %d tokens, callers received %d; paid %d of %d", last.Settled, b.receivedTokens(),
			last.Paid, paid)
	}
}

// exhaustBudget runs chats until less than two ceilings of a request remain in the budget.
func exhaustBudget(tc *testCluster, b *billingTotals, routers []*router, paid laceunit.Tokens) {
	tc.t.Helper()
	const maxTokens = 32
	ceiling := laceemulator.PromptTokens("user: "+testPrompt+" last-000") + maxTokens
	i := 0
	tc.waitFor("budget exhausted", func() bool {
		b.runChats(tc.t, routers, fmt.Sprint("last-", i), 4, 4, maxTokens)
		i++
		return tc.t.Failed() || paid-b.receivedTokens() < 2*ceiling
	})
	tc.checkBilling(b, paid)
}
