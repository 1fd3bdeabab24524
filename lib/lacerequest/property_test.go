package lacerequest

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// streamChunks is the number of chunks of a whole stream.
const streamChunks = 4

// world answers a machine's effects at random and keeps what must be true of the answers.
type world struct {
	random    *rand.Rand
	machine   *Machine
	spec      Spec
	pending   []Input
	attempt   laceunit.AttemptID
	next      int
	durable   bool
	billed    bool
	dispatch  int
	emits     int
	finals    int
	ownedEnds int
	refused   *lacefault.Fault
	ran       bool
	fault     string
}

func (w *world) failf(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *world) run(effects []Effect) {
	for _, e := range effects {
		w.apply(e)
	}
}

func (w *world) apply(e Effect) {
	switch e := e.(type) {
	case Pick:
		if w.random.Intn(8) == 0 {
			w.push(Unpicked{Fault: &lacefault.Fault{Outcome: lacefault.NotRun, Code: lacefault.NoServer}})
			return
		}
		w.push(Picked{Server: laceunit.ServerID(fmt.Sprint("s", w.random.Intn(3)))})
	case Dispatch:
		w.dispatched(e)
	case Append:
		w.append(e.Record)
	case Copy:
		ok := w.random.Intn(4) > 0
		if ok && e.Entry.Finished {
			w.billed = true
		}
		w.push(Copied{OK: ok})
		w.durable = w.durable || ok
	case Regrant:
		w.push(Regranted{Grant: "g2"})
	case Lookup:
		w.push(Found{Ran: w.ran && w.random.Intn(2) == 0})
	case Emit:
		w.emits++
		if !w.durable {
			w.failf("a chunk left before the intent was durable")
		}
	case Reply, Finish:
		w.finals++
		if _, stream := e.(Finish); stream && w.emits != streamChunks {
			w.failf("a part of the answer ended as the whole one")
		}
		if !w.billed {
			w.failf("an answer ended before it was billed")
		}
	case Refuse:
		w.finals++
		w.refused = e.Fault
	case Resolve:
		w.ownedEnds++
		if w.undecided() {
			w.failf("a record was given to the background before its intent was decided")
		}
	case Release:
		w.ownedEnds++
		if w.undecided() {
			w.failf("the reservation was released before its intent was decided")
		}
	}
}

// undecided reports whether the verdict on an intent or takeover is still to come.
func (w *world) undecided() bool {
	for _, in := range w.pending {
		if _, ok := in.(Durable); ok {
			return true
		}
	}
	return false
}

func (w *world) dispatched(e Dispatch) {
	w.dispatch++
	if !w.spec.Idempotent && !w.durable {
		w.failf("a call that is not idempotent was sent before its intent was durable")
	}
	if !w.spec.Idempotent && w.ran {
		w.failf("a call that is not idempotent ran twice")
	}
	w.attempt, w.next = e.Attempt, e.FirstChunk
	if w.random.Intn(5) == 0 {
		w.push(Failed{Attempt: e.Attempt, Class: NotRun})
		return
	}
	w.ran = true
	if w.random.Intn(5) == 0 {
		w.push(Failed{Attempt: e.Attempt, Class: MayHaveRun})
		return
	}
	if !w.spec.Idempotent {
		w.push(Replied{Attempt: e.Attempt, Response: laceledger.Response{Status: 201}})
		return
	}
	for i := e.FirstChunk; i < streamChunks; i++ {
		w.push(Chunk{Attempt: e.Attempt, Index: i, Text: "x"})
	}
	w.push(Chunk{Attempt: "other", Index: streamChunks, Text: "crossed"})
	w.push(Ended{Attempt: e.Attempt, Prompt: 3, Output: streamChunks})
}

func (w *world) append(r laceledger.Record) {
	lost := w.random.Intn(6) == 0
	switch r.(type) {
	case laceledger.Intent, laceledger.Takeover:
		results := []laceledger.Result{laceledger.Accepted, laceledger.Accepted, laceledger.Duplicate, laceledger.Closed, laceledger.Conflict}
		d := Durable{Unacknowledged: lost, NotAppended: lost && w.random.Intn(2) == 0}
		if !lost {
			d.Verdict.Result = results[w.random.Intn(len(results))]
			phase := laceledger.PhaseOpen
			if w.random.Intn(3) == 0 {
				phase = laceledger.PhaseSettled
			}
			d.Verdict.Existing = &laceledger.RequestState{Phase: phase, Attempt: "old", Server: "s9"}
		}
		if _, takeover := r.(laceledger.Takeover); takeover && d.Verdict.Result == laceledger.Duplicate {
			d.Verdict.Result = laceledger.Superseded
		}
		w.push(d)
	case laceledger.Settle:
		result := laceledger.Accepted
		if w.random.Intn(6) == 0 {
			result = laceledger.Superseded
		}
		w.push(Billed{Verdict: laceledger.Verdict{Result: result}, Unacknowledged: lost})
	case laceledger.Void:
		w.push(Voided{Unacknowledged: lost})
	}
}

// push queues an input; the inputs of a stream keep their order, records and copies overtake them at random.
func (w *world) push(in Input) {
	w.pending = append(w.pending, in)
}

func (w *world) pop() Input {
	i := 0
	if w.random.Intn(3) == 0 {
		// The first input that is not part of the stream may overtake it.
		for j, in := range w.pending {
			switch in.(type) {
			case Chunk, Ended, Failed, Replied:
				continue
			}
			i = j
			break
		}
	}
	in := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	switch in := in.(type) {
	case Durable:
		r := in.Verdict.Result
		w.durable = w.durable || !in.Unacknowledged && r == laceledger.Accepted
		if !in.Unacknowledged && r == laceledger.Duplicate && in.Verdict.Existing.Phase == laceledger.PhaseSettled {
			w.durable, w.billed = true, true
		}
	case Billed:
		w.billed = w.billed || !in.Unacknowledged && in.Verdict.Result == laceledger.Accepted
	case Voided:
		w.durable = w.durable && in.Unacknowledged
	}
	return in
}

// play runs one seeded schedule and returns the rule that was broken, or nothing.
func play(seed int64) string {
	random := rand.New(rand.NewSource(seed))
	spec := Spec{
		LedgerAttempt: "c",
		Grant:         "g",
		Ceiling:       20,
		Price:         5,
		Idempotent:    random.Intn(2) == 0,
		Offline:       random.Intn(4) == 0,
		CanResume:     true,
		CanLookup:     random.Intn(2) == 0,
	}
	spec.AlreadyBilled = spec.Idempotent && random.Intn(8) == 0
	m, effects := New(spec)
	w := &world{
		random:  random,
		machine: m,
		spec:    spec,
		durable: spec.AlreadyBilled,
		billed:  spec.AlreadyBilled,
	}
	w.run(effects)
	for i := 0; len(w.pending) > 0 && i < 200; i++ {
		if random.Intn(40) == 0 {
			w.run(m.Step(Gone{}))
			continue
		}
		w.run(m.Step(w.pop()))
	}
	switch {
	case w.fault != "":
	case w.finals != 1:
		w.failf("%d final answers", w.finals)
	case w.ownedEnds != 1 || m.HoldsReservation():
		w.failf("the reservation ended %d times", w.ownedEnds)
	case w.refused != nil && w.refused.Outcome == lacefault.NotRun && w.ran:
		w.failf("a request that ran was refused as not run")
	}
	return w.fault
}

// Guards the rules of the package comment, one final answer, one end of the reservation and honest refusals, under
// random verdicts, losses, failures and disconnects.
func TestMachineKeepsItsRules(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 20000
	properties := gopter.NewProperties(parameters)
	properties.Property("rules hold for every schedule", prop.ForAll(func(seed int64) string {
		if broken := play(seed); broken != "" {
			return fmt.Sprintf("seed %d: %s", seed, broken)
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}
