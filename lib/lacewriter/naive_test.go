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

// naive is the ledger with one compare-and-swap on the account value per request.
type naive struct {
	store laceplatform.Store
}

type account struct {
	Paid, Settled laceunit.Tokens
	TopUps        map[string]bool
	Open          map[string]laceunit.Tokens
	Done          map[string]bool
}

func (a account) left() laceunit.Tokens {
	left := a.Paid - a.Settled
	for _, t := range a.Open {
		left -= t
	}
	return left
}

func (n naive) update(f func(*account) bool) (account, bool) {
	for {
		a := account{TopUps: map[string]bool{}, Open: map[string]laceunit.Tokens{}, Done: map[string]bool{}}
		kv, err := n.store.Get(context.Background(), "naive/b")
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
		if _, err = n.store.Swap(context.Background(), laceplatform.Swap{Key: "naive/b", Value: b, Expect: kv.Revision}); err == nil {
			return a, true
		}
	}
}

func (n naive) topUp(id string, tokens laceunit.Tokens) (account, bool) {
	return n.update(func(a *account) bool {
		if a.TopUps[id] {
			return false
		}
		a.TopUps[id] = true
		a.Paid += tokens
		return true
	})
}

func (n naive) reserve(id string, ceiling laceunit.Tokens) (account, bool) {
	return n.update(func(a *account) bool {
		_, open := a.Open[id]
		if open || a.Done[id] || a.left() < ceiling {
			return false
		}
		a.Open[id] = ceiling
		return true
	})
}

func (n naive) end(id string, tokens laceunit.Tokens, billed bool) (account, bool) {
	return n.update(func(a *account) bool {
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

// ledgers does the same over several logs that share a faulty platform.
type ledgers struct {
	t        *testing.T
	random   *rand.Rand
	logs     []*Log
	attempts map[string]int
}

// send repeats a record, each time over any log, until its fate is known.
func (l *ledgers) send(r laceledger.Record) laceledger.Result {
	for range 200 {
		v, err := l.logs[l.random.Intn(len(l.logs))].Append(context.Background(), []laceledger.Record{r})
		if err == nil {
			return v[0].Result
		}
	}
	l.t.Fatalf("no answer for %#v", r)
	return 0
}

func took(r laceledger.Result) bool {
	return r == laceledger.Accepted || r == laceledger.Repeated
}

func (l *ledgers) names(id string) (laceledger.Request, laceunit.AttemptID, laceunit.GrantID) {
	a := fmt.Sprint(id, "-", l.attempts[id])
	return laceledger.Request{Account: "a", ID: laceunit.RequestID(id)}, laceunit.AttemptID(a), laceunit.GrantID(a)
}

func (l *ledgers) reserve(id string, ceiling laceunit.Tokens) bool {
	l.attempts[id]++
	request, attempt, grant := l.names(id)
	if !took(l.send(laceledger.Open{Budget: "b", Grant: grant, Holder: laceunit.Holder{Instance: "i"}, Tokens: ceiling, MinTokens: ceiling, Serial: 1})) {
		l.attempts[id]--
		return false
	}
	if took(l.send(laceledger.Intent{Budget: "b", Request: request, Grant: grant, Ceiling: ceiling, Attempt: attempt})) {
		return true
	}
	l.send(laceledger.Close{Budget: "b", Grant: grant})
	l.attempts[id]--
	return false
}

func (l *ledgers) end(id string, tokens laceunit.Tokens, billed bool) {
	request, attempt, grant := l.names(id)
	var r laceledger.Record = laceledger.Void{Budget: "b", Request: request, Attempt: attempt}
	if billed {
		r = laceledger.Settle{Budget: "b", Request: request, Attempt: attempt, Tokens: tokens}
	}
	l.send(r)
	l.send(laceledger.Close{Budget: "b", Grant: grant})
}

// Guards against balances that differ from those of the naive ledger, whatever the faults, and against refusals that
// rest on a stale state.
func TestDifferentialAgainstNaive(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		random := rand.New(rand.NewSource(seed))
		n := naive{store: newMemory()}
		store := newMemory()
		store.random, store.faults = rand.New(rand.NewSource(seed+100)), 20
		l := &ledgers{t: t, random: random, attempts: map[string]int{}}
		tag := uint64(0)
		for i := range 3 {
			l.logs = append(l.logs, NewLog(store, 0, laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint(i))},
				WithRandom(func() uint64 { tag++; return tag }), WithClock(func() time.Time { return time.Unix(1, 0) })))
		}
		for step := range 250 {
			id, tokens := fmt.Sprint("r", step/12+random.Intn(5)), laceunit.Tokens(1+random.Intn(40))
			var want account
			switch op := random.Intn(6); op {
			case 0:
				t := fmt.Sprint("t", step/10)
				want, _ = n.topUp(t, 70)
				l.send(topUp(t, 70))
			case 1, 2, 3:
				var ok bool
				want, ok = n.reserve(id, tokens)
				if got := l.reserve(id, tokens); got != ok {
					t.Fatalf("seed %d, step %d: reserve %s: %v, naive %v", seed, step, id, got, ok)
				}
			default:
				var ok bool
				if want, ok = n.end(id, tokens, op == 4); ok {
					l.end(id, tokens, op == 4)
				}
			}
			var got laceledger.Balance
			log := l.logs[0]
			for log.Refresh(context.Background()) != nil {
			}
			log.View(func(s *laceledger.State) { got, _ = s.Balance("b") })
			if got.Paid != want.Paid || got.Settled != want.Settled || got.Paid-got.Settled-got.Outstanding != want.left() {
				t.Fatalf("seed %d, step %d: balance %+v, naive %+v", seed, step, got, want)
			}
		}
	}
}
