package laceplatform_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceplatform"
)

// operation is one Get (without a value) or Swap of a key.
type operation struct {
	key    laceplatform.Key
	value  string
	expect laceplatform.Revision
}

// result is what an operation returned to its caller.
type result struct {
	value    string
	revision laceplatform.Revision
	err      error
}

// register is the state of one key in the model. After a write without a response, the revision is unknown until the
// key is read.
type register struct {
	value    string
	revision laceplatform.Revision
}

const unknownRevision laceplatform.Revision = -1

func registerStep(state, input, output any) []any {
	s, in, out := state.(register), input.(operation), output.(result)
	written := register{
		value:    in.value,
		revision: out.revision,
	}
	switch {
	case in.value == "" && out.err == nil:
		if s.value == out.value && (s.revision == out.revision || s.revision == unknownRevision) {
			return []any{register{
				value:    out.value,
				revision: out.revision,
			}}
		}
	case in.value == "" && errors.Is(out.err, laceplatform.ErrMissing):
		if s.revision == 0 {
			return []any{s}
		}
	case out.err == nil:
		if s.revision == in.expect {
			return []any{written}
		}
	case errors.Is(out.err, laceplatform.ErrConflict):
		if s.revision != in.expect {
			return []any{s}
		}
	case errors.Is(out.err, laceplatform.ErrUnknown):
		written.revision = unknownRevision
		if s.revision == in.expect {
			return []any{s, written}
		}
		return []any{s}
	default: // Not executed.
		return []any{s}
	}
	return nil
}

// runClient runs operations on a few keys and returns their history.
func runClient(store laceplatform.Store, id int, seed uint64, clock func() int64) []porcupine.Operation {
	random := rand.New(rand.NewPCG(seed, uint64(id)))
	known := map[laceplatform.Key]laceplatform.Revision{}
	var history []porcupine.Operation
	for i := range 40 {
		in := operation{
			key: laceplatform.Key([]byte{'a' + byte(random.IntN(3))}),
		}
		if random.IntN(2) == 0 {
			in.value, in.expect = fmt.Sprintf("%d-%d", id, i), known[in.key]
		}
		var out result
		began := clock()
		if in.value == "" {
			var e laceplatform.Entry
			e, out.err = store.Get(context.Background(), in.key)
			out.value, out.revision = string(e.Value), e.Revision
		} else {
			out.revision, out.err = store.Swap(context.Background(), laceplatform.Swap{
				Key:    in.key,
				Value:  []byte(in.value),
				Expect: in.expect,
			})
		}
		ended := clock()
		if out.err == nil {
			known[in.key] = out.revision
		}
		if errors.Is(out.err, laceplatform.ErrUnknown) {
			ended = math.MaxInt64 // It may still take effect.
		}
		history = append(history, porcupine.Operation{
			ClientId: id,
			Input:    in,
			Output:   out,
			Call:     began,
			Return:   ended,
		})
	}
	return history
}

// Guards against errors that are classified wrongly under load and faults. If a write whose response was lost is
// classified as not executed, or a rejected write was executed, the history is not linearizable.
func TestStoreIsLinearizable(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[laceplatform.Key][]porcupine.Operation{}
			for _, o := range history {
				k := o.Input.(operation).key
				parts[k] = append(parts[k], o)
			}
			return [][]porcupine.Operation{parts["a"], parts["b"], parts["c"]}
		},
		Init: func() []any { return []any{register{}} },
		Step: registerStep,
	}
	for seed := uint64(1); seed <= 5; seed++ {
		forEachStore(t, func(f *fixture) {
			f.platform.SetFaults(laceemulator.PlatformFaults{
				Jitter:   time.Millisecond,
				LossRate: 0.2,
			})
			var mu sync.Mutex
			var wait sync.WaitGroup
			var history []porcupine.Operation
			began := time.Now()
			for id := range 6 {
				wait.Go(func() {
					h := runClient(f.store, id, seed, func() int64 { return time.Since(began).Nanoseconds() })
					mu.Lock()
					defer mu.Unlock()
					history = append(history, h...)
				})
			}
			wait.Wait()
			if r := porcupine.CheckOperationsTimeout(model.ToModel(), history, time.Minute); r != porcupine.Ok {
				t.Fatalf("seed %d: the history is not linearizable: %s", seed, r)
			}
			// There are about 120 writes, so that some are executed and some are rate limited.
		}, laceemulator.WithRateLimits(80, 0))
	}
}
