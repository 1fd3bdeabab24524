package lacejournal

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

func holder(n int) laceunit.Holder {
	return laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", n)), Incarnation: 1}
}

func entryOf(request string) Entry {
	return Entry{
		Owner:  holder(0),
		Holder: holder(0),
		Record: laceledger.Offline{Request: laceledger.Request{ID: laceunit.RequestID(request)}, Grant: "g", Tokens: 100},
	}
}

// billed is what the simulated ledger has recorded for a request.
type billed struct {
	tokens   laceunit.Tokens
	finished bool
}

// simulation runs one owner, the two witnesses of its grant, and a third copy holder that is no witness.
type simulation struct {
	random    *rand.Rand
	owner     *State
	holders   []*State
	queue     []func()
	ledger    map[laceledger.Request]billed
	sentCalls map[laceledger.Request]bool
	finished  map[laceledger.Request]laceunit.Tokens
	running   map[laceledger.Request]VersionedEntry
	ownerDead bool
}

// copy sends a version of an entry to all copy holders; messages are delivered by deliver.
func (s *simulation) copy(v VersionedEntry, finished bool) {
	request := v.Entry.Record.Request
	for i, h := range s.holders {
		s.owner.MarkSent(request, holder(i+1))
		s.queue = append(s.queue, func() {
			if h.Accept(v.Entry) != nil {
				return
			}
			s.queue = append(s.queue, func() {
				if s.ownerDead || !s.owner.Acknowledge(v, holder(i+1)) {
					return
				}
				s.sentCalls[request] = true
				if finished {
					s.finished[request] = v.Entry.Record.Tokens
				}
			})
		})
	}
}

func (s *simulation) appendToLedger(e Entry) laceledger.Result {
	b, ok := s.ledger[e.Record.Request]
	if ok && b.finished {
		return laceledger.Repeated
	}
	s.ledger[e.Record.Request] = billed{tokens: e.Record.Tokens, finished: e.Record.Finished}
	return laceledger.Accepted
}

// stepOwner starts, abandons, finishes or flushes a random request of the owner.
func (s *simulation) stepOwner() {
	request := entryOf(fmt.Sprint(s.random.IntN(4))).Record.Request
	v, running := s.running[request]
	switch s.random.IntN(5) {
	case 0, 1:
		quorum := Quorum{Copies: 1 + s.random.IntN(2), Witnesses: []laceunit.Holder{holder(1), holder(2)}}
		if _, ok := s.ledger[request]; ok || running {
			return
		}
		if started, err := s.owner.Start(entryOf(string(request.ID)), quorum); err == nil {
			s.running[request] = started
			s.copy(started, false)
		}
	case 2:
		if running && !s.sentCalls[request] {
			e, holders := s.owner.Abandon(request)
			delete(s.running, request)
			s.notifyDrop(e, holders)
		}
	case 3:
		if running && s.sentCalls[request] && !v.Entry.Record.Finished {
			r := v.Entry.Record
			r.Finished, r.Tokens = true, 7
			updated, _ := s.owner.Update(r)
			s.running[request] = updated
			s.copy(updated, true)
		}
	case 4:
		for _, u := range s.owner.Unflushed(1) {
			_, holders := s.owner.ApplyVerdict(u, s.appendToLedger(u.Entry))
			s.notifyDrop(u.Entry, holders)
		}
	}
}

func (s *simulation) notifyDrop(e Entry, holders []laceunit.Holder) {
	for _, h := range holders {
		for i, o := range s.holders {
			if holder(i+1) == h {
				s.queue = append(s.queue, func() { o.Drop(e.Owner, e.Record.Request, e.Serial) })
			}
		}
	}
}

// deliver delivers one random message; it may be lost, or delivered again later.
func (s *simulation) deliver() {
	if len(s.queue) == 0 {
		return
	}
	i := s.random.IntN(len(s.queue))
	message := s.queue[i]
	if s.random.IntN(5) > 0 {
		s.queue = append(s.queue[:i], s.queue[i+1:]...)
	}
	if s.random.IntN(5) > 0 {
		message()
	}
}

// sealAndFlush seals the owner at a witness and submits the copies of the witness.
func (s *simulation) sealAndFlush(i int) {
	s.holders[i].Seal(holder(0))
	for !s.holders[i].CopiesFlushed(holder(0)) {
		for _, v := range s.holders[i].UnflushedCopies(holder(0), 2) {
			s.holders[i].ApplyVerdict(v, s.appendToLedger(v.Entry))
		}
	}
}

func simulate(seed uint64) string {
	s := &simulation{
		random:    rand.New(rand.NewPCG(seed, 2)),
		owner:     NewState(Limits{}),
		holders:   []*State{NewState(Limits{}), NewState(Limits{}), NewState(Limits{})},
		ledger:    map[laceledger.Request]billed{},
		sentCalls: map[laceledger.Request]bool{},
		finished:  map[laceledger.Request]laceunit.Tokens{},
		running:   map[laceledger.Request]VersionedEntry{},
	}
	for range 30 + s.random.IntN(120) {
		if s.random.IntN(3) == 0 {
			s.stepOwner()
		} else {
			s.deliver()
		}
	}
	s.sealAndFlush(0)
	for range s.random.IntN(40) {
		s.deliver()
	}
	s.sealAndFlush(1)
	s.ownerDead = s.random.IntN(2) == 0
	for range 40 {
		s.deliver()
	}
	for r := range s.sentCalls {
		if _, ok := s.ledger[r]; !ok {
			return fmt.Sprintf("seed %d: request %s was sent but is not in the ledger", seed, r.ID)
		}
	}
	s.sealAndFlush(0)
	s.sealAndFlush(1)
	for r, tokens := range s.finished {
		if b := s.ledger[r]; !b.finished || b.tokens != tokens {
			return fmt.Sprintf("seed %d: request %s finished with %d tokens but the ledger has %+v", seed, r.ID,
				tokens, b)
		}
	}
	return ""
}

// Guards against a sent call that no witness of a dead owner submits to the ledger: it could run twice, and the grant's
// tokens could be spent again. Also guards against a complete response that is not billed with its tokens.
func TestWitnessesFlushEverySentCall(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20262)
	parameters.MinSuccessfulTests = 5000
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("two sealed witnesses flush every sent call", prop.ForAll(simulate, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against unbounded growth of the journal, and against abandoned requests that still count toward its limit.
func TestBoundedMemory(t *testing.T) {
	s := NewState(Limits{OwnBytes: 4096, CopyBytes: 1024})
	for i := range 100 {
		if _, err := s.Start(entryOf(fmt.Sprint(i)), Quorum{}); err != nil {
			break
		}
	}
	if n, _ := s.Counts(); n < 5 || n > 16 {
		t.Fatalf("%d entries", n)
	}
	for range 1000 {
		s.Abandon(entryOf("0").Record.Request)
		if _, err := s.Start(entryOf("0"), Quorum{}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 100 {
		if err := s.Accept(entryOf(fmt.Sprint(i))); err != nil {
			if _, n := s.Counts(); n < 2 || n > 4 || !errors.Is(err, ErrFull) {
				t.Fatalf("%d copies, %v", n, err)
			}
			return
		}
	}
	t.Fatal("the copies have no limit")
}

// Guards against a grant that is released while a witness may still submit spend.
func TestReleasable(t *testing.T) {
	g := laceledger.Grant{Closed: true, Witnesses: []laceunit.Holder{holder(1), holder(2)}}
	if Releasable(g, map[laceunit.Holder]bool{holder(1): true}) {
		t.Fatal("the grant is releasable after one of two witnesses has flushed")
	}
	both := map[laceunit.Holder]bool{holder(1): true, holder(2): true}
	if !Releasable(g, both) {
		t.Fatal("the grant is not releasable after both witnesses have flushed")
	}
	if g.Closed = false; Releasable(g, both) {
		t.Fatal("an open grant is releasable")
	}
}
