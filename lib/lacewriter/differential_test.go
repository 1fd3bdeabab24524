package lacewriter

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// referenceLedger is a simple ledger: each operation is one compare-and-swap of a value with the whole account.
type referenceLedger struct {
	store laceplatform.Store
}

type referenceAccount struct {
	Paid, Settled laceunit.Tokens
	TopUps        map[string]bool
	Open          map[string]laceunit.Tokens
	Done          map[string]bool
}

func (a referenceAccount) available() laceunit.Tokens {
	available := a.Paid - a.Settled
	for _, t := range a.Open {
		available -= t
	}
	return available
}

func (l referenceLedger) update(f func(*referenceAccount) bool) (referenceAccount, bool) {
	for {
		a := referenceAccount{TopUps: map[string]bool{}, Open: map[string]laceunit.Tokens{}, Done: map[string]bool{}}
		kv, err := l.store.Get(context.Background(), "naive/b")
		if err == nil {
			if err = json.Unmarshal(kv.Value, &a); err != nil {
				panic(err)
			}
		}
		if !f(&a) {
			return a, false
		}
		b, err := json.Marshal(a)
		if err != nil {
			panic(err)
		}
		if _, err = l.store.Swap(context.Background(), laceplatform.Swap{
			Key: "naive/b", Value: b, Expect: kv.Revision,
		}); err == nil {
			return a, true
		}
	}
}

func (l referenceLedger) topUp(id string, tokens laceunit.Tokens) (referenceAccount, bool) {
	return l.update(func(a *referenceAccount) bool {
		if a.TopUps[id] {
			return false
		}
		a.TopUps[id] = true
		a.Paid += tokens
		return true
	})
}

func (l referenceLedger) reserve(id string, ceiling laceunit.Tokens) (referenceAccount, bool) {
	return l.update(func(a *referenceAccount) bool {
		_, open := a.Open[id]
		if open || a.Done[id] || a.available() < ceiling {
			return false
		}
		a.Open[id] = ceiling
		return true
	})
}

func (l referenceLedger) finish(id string, tokens laceunit.Tokens, billed bool) (referenceAccount, bool) {
	return l.update(func(a *referenceAccount) bool {
		ceiling, open := a.Open[id]
		if !open {
			return false
		}
		delete(a.Open, id)
		if billed {
			a.Settled += min(tokens, ceiling)
			a.Done[id] = true
		}
		return true
	})
}

// faultyLedger executes the same operations on several logs that share a store with faults.
type faultyLedger struct {
	t        *testing.T
	random   *rand.Rand
	logs     []*Log
	attempts map[string]int
}

// appendUntilKnown appends a record through a random log, and retries until its outcome is known.
func (l *faultyLedger) appendUntilKnown(r laceledger.Record) laceledger.Result {
	for range 200 {
		v, err := l.logs[l.random.Intn(len(l.logs))].Append(context.Background(), []laceledger.Record{r})
		if err == nil {
			return v[0].Result
		}
	}
	l.t.Fatalf("no known outcome for %#v", r)
	return 0
}

func wasApplied(r laceledger.Result) bool {
	return r == laceledger.Accepted || r == laceledger.Repeated
}

func (l *faultyLedger) ids(id string) (laceledger.Request, laceunit.AttemptID, laceunit.GrantID) {
	a := fmt.Sprint(id, "-", l.attempts[id])
	return laceledger.Request{Account: "a", ID: laceunit.RequestID(id)}, laceunit.AttemptID(a), laceunit.GrantID(a)
}

func (l *faultyLedger) reserve(id string, ceiling laceunit.Tokens) bool {
	l.attempts[id]++
	request, attempt, grant := l.ids(id)
	if !wasApplied(l.appendUntilKnown(laceledger.Open{
		Budget: "b", Grant: grant, Holder: laceunit.Holder{Instance: "i"}, Tokens: ceiling, MinTokens: ceiling,
		Serial: 1,
	})) {
		l.attempts[id]--
		return false
	}
	if wasApplied(l.appendUntilKnown(laceledger.Intent{
		Budget: "b", Request: request, Grant: grant, Ceiling: ceiling, Attempt: attempt,
	})) {
		return true
	}
	l.appendUntilKnown(laceledger.Close{Budget: "b", Grant: grant})
	l.attempts[id]--
	return false
}

func (l *faultyLedger) finish(id string, tokens laceunit.Tokens, billed bool) {
	request, attempt, grant := l.ids(id)
	var r laceledger.Record = laceledger.Void{Budget: "b", Request: request, Attempt: attempt}
	if billed {
		r = laceledger.Settle{Budget: "b", Request: request, Attempt: attempt, Tokens: tokens}
	}
	l.appendUntilKnown(r)
	l.appendUntilKnown(laceledger.Close{Budget: "b", Grant: grant})
}

// Guards against balances that differ from those of the reference ledger under faults, and against rejections that are
// based on stale state.
func TestDifferentialAgainstReference(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		random := rand.New(rand.NewSource(seed))
		reference := referenceLedger{store: newMemoryStore()}
		store := newMemoryStore()
		store.random, store.faultPercent = rand.New(rand.NewSource(seed+100)), 20
		l := &faultyLedger{t: t, random: random, attempts: map[string]int{}}
		tag := uint64(0)
		for i := range 3 {
			l.logs = append(l.logs, NewLog(store, 0, laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint(i))},
				WithRandom(func() uint64 { tag++; return tag }), WithClock(func() time.Time { return time.Unix(1, 0) })))
		}
		for step := range 250 {
			id, tokens := fmt.Sprint("r", step/12+random.Intn(5)), laceunit.Tokens(1+random.Intn(40))
			var want referenceAccount
			switch op := random.Intn(6); op {
			case 0:
				t := fmt.Sprint("t", step/10)
				want, _ = reference.topUp(t, 70)
				l.appendUntilKnown(topUp(t, 70))
			case 1, 2, 3:
				var ok bool
				want, ok = reference.reserve(id, tokens)
				if got := l.reserve(id, tokens); got != ok {
					t.Fatalf("seed %d, step %d: reserve %s: %v, reference %v", seed, step, id, got, ok)
				}
			default:
				var ok bool
				if want, ok = reference.finish(id, tokens, op == 4); ok {
					l.finish(id, tokens, op == 4)
				}
			}
			var got laceledger.Balance
			log := l.logs[0]
			for log.Refresh(context.Background()) != nil {
			}
			log.View(func(s *laceledger.State) { got, _ = s.Balance("b") })
			if got.Paid != want.Paid || got.Settled != want.Settled ||
				got.Paid-got.Settled-got.Outstanding != want.available() {
				t.Fatalf("seed %d, step %d: balance %+v, reference %+v", seed, step, got, want)
			}
		}
	}
}
