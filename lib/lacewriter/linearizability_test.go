package lacewriter

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// counterModel is a counter: an input is the tokens of a top-up, or zero for a read, whose output is the total.
func counterModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return laceunit.Tokens(0) },
		Step: func(state, input, output any) (bool, any) {
			paid, tokens := state.(laceunit.Tokens), input.(laceunit.Tokens)
			if tokens > 0 {
				return true, paid + tokens
			}
			return output.(laceunit.Tokens) == paid, paid
		},
	}
}

// runClient tops up and reads through one combiner. It does not retry a top-up with an unknown outcome: the operation
// may take effect at any later time.
func runClient(c *Combiner, n int, seed int64) (history []porcupine.Operation) {
	random := rand.New(rand.NewSource(seed))
	for k := range 20 {
		op := porcupine.Operation{ClientId: n, Input: laceunit.Tokens(0), Call: time.Now().UnixNano()}
		if random.Intn(2) == 0 {
			tokens := laceunit.Tokens(1 + random.Intn(9))
			_, err := c.Append(context.Background(), topUp(fmt.Sprint(n, "-", k), tokens), laceledger.UrgencyImmediate)
			op.Input = tokens
			if errors.Is(err, laceplatform.ErrUnavailable) {
				continue
			}
			if err != nil {
				op.Return = math.MaxInt64
				history = append(history, op)
				continue
			}
		} else {
			if c.Refresh(context.Background()) != nil {
				continue
			}
			c.log.View(func(s *laceledger.State) {
				b, _ := s.Balance("b")
				op.Output = b.Paid
			})
		}
		op.Return = time.Now().UnixNano()
		history = append(history, op)
	}
	return history
}

// Guards against lost and duplicate top-ups and stale reads, under unknown outcomes and delayed writes.
func TestTopUpsAndReadsAreLinearizable(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		synctest.Test(t, func(t *testing.T) {
			store := newMemoryStore()
			store.random, store.faultPercent = rand.New(rand.NewSource(seed)), 20
			store.latency, store.jitter = time.Millisecond, true
			var combiners []*Combiner
			for i := range 3 {
				log := NewLog(store, 0, laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint(i))})
				combiners = append(combiners, NewCombiner(log))
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			var history []porcupine.Operation
			for n := range 5 {
				wg.Go(func() {
					h := runClient(combiners[n%3], n, seed*10+int64(n))
					mu.Lock()
					defer mu.Unlock()
					history = append(history, h...)
				})
			}
			wg.Wait()
			for _, c := range combiners {
				if err := c.Close(); err != nil {
					t.Error(err)
				}
			}
			if r := porcupine.CheckOperationsTimeout(counterModel(), history, 0); r != porcupine.Ok {
				t.Fatalf("seed %d: %d operations: %s", seed, len(history), r)
			}
			if len(history) < 50 {
				t.Fatalf("seed %d: only %d operations", seed, len(history))
			}
		})
	}
}
