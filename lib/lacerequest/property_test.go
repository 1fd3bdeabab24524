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

// streamChunks is the number of chunks in a complete stream.
const streamChunks = 4

// simulation performs the effects of a machine with random results and checks the invariants.
type simulation struct {
	random          *rand.Rand
	machine         *Machine
	spec            Spec
	pending         []Input
	attempt         laceunit.AttemptID
	nextChunk       int
	durable         bool
	billed          bool
	dispatches      int
	emitted         int
	finalCount      int
	reservationEnds int
	refused         *lacefault.Fault
	ran             bool
	violation       string
}

func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) run(effects []Effect) {
	for _, e := range effects {
		s.apply(e)
	}
}

func (s *simulation) apply(e Effect) {
	switch e := e.(type) {
	case Pick:
		if s.random.Intn(8) == 0 {
			s.enqueue(Unpicked{Fault: &lacefault.Fault{Outcome: lacefault.NotRun, Code: lacefault.NoBackendServer}})
			return
		}
		s.enqueue(Picked{Server: laceunit.ServerID(fmt.Sprint("s", s.random.Intn(3)))})
	case Dispatch:
		s.dispatch(e)
	case Append:
		s.append(e.Record)
	case Copy:
		ok := s.random.Intn(4) > 0
		if ok && e.Entry.Finished {
			s.billed = true
		}
		s.enqueue(Copied{OK: ok})
		s.durable = s.durable || ok
	case Regrant:
		s.enqueue(Regranted{Grant: "g2"})
	case Lookup:
		s.enqueue(Found{Ran: s.ran && s.random.Intn(2) == 0})
	case Emit:
		s.emitted++
		if !s.durable {
			s.reportViolation("a chunk was emitted before the intent was durable")
		}
	case Reply, Finish:
		s.finalCount++
		if _, stream := e.(Finish); stream && s.emitted != streamChunks {
			s.reportViolation("a truncated response was ended as complete")
		}
		if !s.billed {
			s.reportViolation("a response was ended before it was billed")
		}
	case Refuse:
		s.finalCount++
		s.refused = e.Fault
	case Resolve:
		s.reservationEnds++
		if s.verdictPending() {
			s.reportViolation("a record was passed to the background resolver before the verdict on its intent")
		}
	case Release:
		s.reservationEnds++
		if s.verdictPending() {
			s.reportViolation("the reservation was released before the verdict on its intent")
		}
	}
}

// verdictPending reports whether the verdict on an intent or takeover is still pending.
func (s *simulation) verdictPending() bool {
	for _, in := range s.pending {
		if _, ok := in.(Durable); ok {
			return true
		}
	}
	return false
}

func (s *simulation) dispatch(e Dispatch) {
	s.dispatches++
	if !s.spec.Idempotent && !s.durable {
		s.reportViolation("a non-idempotent request was dispatched before its intent was durable")
	}
	if !s.spec.Idempotent && s.ran {
		s.reportViolation("a non-idempotent request ran twice")
	}
	s.attempt, s.nextChunk = e.Attempt, e.FirstChunk
	if s.random.Intn(5) == 0 {
		s.enqueue(Failed{Attempt: e.Attempt, Class: NotRun})
		return
	}
	s.ran = true
	if s.random.Intn(5) == 0 {
		s.enqueue(Failed{Attempt: e.Attempt, Class: MayHaveRun})
		return
	}
	if !s.spec.Idempotent {
		s.enqueue(Replied{Attempt: e.Attempt, Response: laceledger.Response{Status: 201}})
		return
	}
	for i := e.FirstChunk; i < streamChunks; i++ {
		s.enqueue(Chunk{Attempt: e.Attempt, Index: i, Text: "x"})
	}
	s.enqueue(Chunk{Attempt: "other", Index: streamChunks, Text: "crossed"})
	s.enqueue(Ended{Attempt: e.Attempt, Prompt: 3, Output: streamChunks})
}

func (s *simulation) append(r laceledger.Record) {
	lost := s.random.Intn(6) == 0
	switch r.(type) {
	case laceledger.Intent, laceledger.Takeover:
		results := []laceledger.Result{
			laceledger.Accepted, laceledger.Accepted, laceledger.Duplicate, laceledger.Closed, laceledger.Conflict,
		}
		d := Durable{Unacknowledged: lost, NotAppended: lost && s.random.Intn(2) == 0}
		if !lost {
			d.Verdict.Result = results[s.random.Intn(len(results))]
			phase := laceledger.PhaseOpen
			if s.random.Intn(3) == 0 {
				phase = laceledger.PhaseSettled
			}
			d.Verdict.Existing = &laceledger.RequestState{Phase: phase, Attempt: "old", Server: "s9"}
		}
		if _, takeover := r.(laceledger.Takeover); takeover && d.Verdict.Result == laceledger.Duplicate {
			d.Verdict.Result = laceledger.Superseded
		}
		s.enqueue(d)
	case laceledger.Settle:
		result := laceledger.Accepted
		if s.random.Intn(6) == 0 {
			result = laceledger.Superseded
		}
		s.enqueue(Billed{Verdict: laceledger.Verdict{Result: result}, Unacknowledged: lost})
	case laceledger.Void:
		s.enqueue(Voided{Unacknowledged: lost})
	}
}

// enqueue adds an input. Inputs of a stream keep their order; results of records and copies may overtake them.
func (s *simulation) enqueue(in Input) {
	s.pending = append(s.pending, in)
}

func (s *simulation) dequeue() Input {
	i := 0
	if s.random.Intn(3) == 0 {
		// The first input that is not part of the stream may overtake it.
		for j, in := range s.pending {
			switch in.(type) {
			case Chunk, Ended, Failed, Replied:
				continue
			}
			i = j
			break
		}
	}
	in := s.pending[i]
	s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
	switch in := in.(type) {
	case Durable:
		r := in.Verdict.Result
		s.durable = s.durable || !in.Unacknowledged && r == laceledger.Accepted
		if !in.Unacknowledged && r == laceledger.Duplicate && in.Verdict.Existing.Phase == laceledger.PhaseSettled {
			s.durable, s.billed = true, true
		}
	case Billed:
		s.billed = s.billed || !in.Unacknowledged && in.Verdict.Result == laceledger.Accepted
	case Voided:
		s.durable = s.durable && in.Unacknowledged
	}
	return in
}

// runSchedule runs one seeded schedule and returns the violated invariant, or an empty string.
func runSchedule(seed int64) string {
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
	s := &simulation{
		random:  random,
		machine: m,
		spec:    spec,
		durable: spec.AlreadyBilled,
		billed:  spec.AlreadyBilled,
	}
	s.run(effects)
	for i := 0; len(s.pending) > 0 && i < 200; i++ {
		if random.Intn(40) == 0 {
			s.run(m.Step(Gone{}))
			continue
		}
		s.run(m.Step(s.dequeue()))
	}
	switch {
	case s.violation != "":
	case s.finalCount != 1:
		s.reportViolation("%d final responses", s.finalCount)
	case s.reservationEnds != 1 || m.HoldsReservation():
		s.reportViolation("the reservation ended %d times", s.reservationEnds)
	case s.refused != nil && s.refused.Outcome == lacefault.NotRun && s.ran:
		s.reportViolation("a request that ran was refused with the outcome not run")
	}
	return s.violation
}

// Checks the invariants of the package comment under random verdicts, lost acknowledgements, failures and disconnects.
// Also checks that there is one final response, that the reservation ends once, and that no request that ran is refused
// with the outcome "not run".
func TestMachineInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 20000
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold for every schedule", prop.ForAll(func(seed int64) string {
		if violation := runSchedule(seed); violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, violation)
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}
