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

type billed struct {
	tokens   laceunit.Tokens
	finished bool
}

// world is one owner, two witnesses that its grant names, and a third copy holder.
type world struct {
	random *rand.Rand
	owner  *State
	others []*State
	queue  []func()
	ledger map[laceledger.Request]billed
	sent   map[laceledger.Request]bool
	ended  map[laceledger.Request]laceunit.Tokens
	live   map[laceledger.Request]VersionedEntry
	dead   bool
}

func (w *world) copy(p VersionedEntry, ended bool) {
	request := p.Entry.Record.Request
	for i, o := range w.others {
		w.owner.MarkSent(request, holder(i+1))
		w.queue = append(w.queue, func() {
			if o.Accept(p.Entry) != nil {
				return
			}
			w.queue = append(w.queue, func() {
				if w.dead || !w.owner.Acknowledge(p, holder(i+1)) {
					return
				}
				w.sent[request] = true
				if ended {
					w.ended[request] = p.Entry.Record.Tokens
				}
			})
		})
	}
}

func (w *world) take(e Entry) laceledger.Result {
	b, ok := w.ledger[e.Record.Request]
	if ok && b.finished {
		return laceledger.Repeated
	}
	w.ledger[e.Record.Request] = billed{tokens: e.Record.Tokens, finished: e.Record.Finished}
	return laceledger.Accepted
}

func (w *world) own() {
	request := entryOf(fmt.Sprint(w.random.IntN(4))).Record.Request
	p, live := w.live[request]
	switch w.random.IntN(5) {
	case 0, 1:
		quorum := Quorum{Copies: 1 + w.random.IntN(2), Witnesses: []laceunit.Holder{holder(1), holder(2)}}
		if _, ok := w.ledger[request]; ok || live {
			return
		}
		if started, err := w.owner.Start(entryOf(string(request.ID)), quorum); err == nil {
			w.live[request] = started
			w.copy(started, false)
		}
	case 2:
		if live && !w.sent[request] {
			e, holders := w.owner.Abandon(request)
			delete(w.live, request)
			w.drop(e, holders)
		}
	case 3:
		if live && w.sent[request] && !p.Entry.Record.Finished {
			r := p.Entry.Record
			r.Finished, r.Tokens = true, 7
			updated, _ := w.owner.Update(r)
			w.live[request] = updated
			w.copy(updated, true)
		}
	case 4:
		for _, f := range w.owner.Unflushed(1) {
			_, holders := w.owner.ApplyVerdict(f, w.take(f.Entry))
			w.drop(f.Entry, holders)
		}
	}
}

func (w *world) drop(e Entry, holders []laceunit.Holder) {
	for _, h := range holders {
		for i, o := range w.others {
			if holder(i+1) == h {
				w.queue = append(w.queue, func() { o.Drop(e.Owner, e.Record.Request, e.Serial) })
			}
		}
	}
}

// deliver carries out one message; it may be lost, or arrive again later.
func (w *world) deliver() {
	if len(w.queue) == 0 {
		return
	}
	i := w.random.IntN(len(w.queue))
	f := w.queue[i]
	if w.random.IntN(5) > 0 {
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
	}
	if w.random.IntN(5) > 0 {
		f()
	}
}

// report seals a witness and submits its copies.
func (w *world) report(i int) {
	w.others[i].Seal(holder(0))
	for !w.others[i].CopiesFlushed(holder(0)) {
		for _, p := range w.others[i].UnflushedCopies(holder(0), 2) {
			w.others[i].ApplyVerdict(p, w.take(p.Entry))
		}
	}
}

func play(seed uint64) string {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 2)),
		owner:  NewState(Limits{}),
		others: []*State{NewState(Limits{}), NewState(Limits{}), NewState(Limits{})},
		ledger: map[laceledger.Request]billed{},
		sent:   map[laceledger.Request]bool{},
		ended:  map[laceledger.Request]laceunit.Tokens{},
		live:   map[laceledger.Request]VersionedEntry{},
	}
	for range 30 + w.random.IntN(120) {
		if w.random.IntN(3) == 0 {
			w.own()
		} else {
			w.deliver()
		}
	}
	w.report(0)
	for range w.random.IntN(40) {
		w.deliver()
	}
	w.report(1)
	w.dead = w.random.IntN(2) == 0
	for range 40 {
		w.deliver()
	}
	for r := range w.sent {
		if _, ok := w.ledger[r]; !ok {
			return fmt.Sprintf("seed %d: request %s was sent and the ledger lacks it", seed, r.ID)
		}
	}
	w.report(0)
	w.report(1)
	for r, tokens := range w.ended {
		if b := w.ledger[r]; !b.finished || b.tokens != tokens {
			return fmt.Sprintf("seed %d: request %s ended with %d tokens and the ledger has %+v", seed, r.ID, tokens, b)
		}
	}
	return ""
}

// Guards against a call that was sent and that no witness of a dead owner reports, which would run twice and would let
// the grant's tokens be spent again; and against a whole answer that is not billed with its tokens.
func TestWitnessesReportEveryRun(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20262)
	parameters.MinSuccessfulTests = 5000
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("two sealed witnesses know of every run", prop.ForAll(play, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against a journal that grows without bound, and against room that is lost with each request.
func TestBoundedMemory(t *testing.T) {
	b := NewState(Limits{OwnBytes: 4096, CopyBytes: 1024})
	for i := range 100 {
		if _, err := b.Start(entryOf(fmt.Sprint(i)), Quorum{}); err != nil {
			break
		}
	}
	if n, _ := b.Counts(); n < 5 || n > 16 {
		t.Fatalf("%d entries", n)
	}
	for range 1000 {
		b.Abandon(entryOf("0").Record.Request)
		if _, err := b.Start(entryOf("0"), Quorum{}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 100 {
		if err := b.Accept(entryOf(fmt.Sprint(i))); err != nil {
			if _, n := b.Counts(); n < 2 || n > 4 || !errors.Is(err, ErrFull) {
				t.Fatalf("%d copies, %v", n, err)
			}
			return
		}
	}
	t.Fatal("copies are unbounded")
}

// Guards against a grant that is released while a witness may still report spending.
func TestReleasable(t *testing.T) {
	g := laceledger.Grant{Closed: true, Witnesses: []laceunit.Holder{holder(1), holder(2)}}
	if Releasable(g, map[laceunit.Holder]bool{holder(1): true}) {
		t.Fatal("one witness is enough")
	}
	both := map[laceunit.Holder]bool{holder(1): true, holder(2): true}
	if !Releasable(g, both) {
		t.Fatal("two witnesses are not enough")
	}
	if g.Closed = false; Releasable(g, both) {
		t.Fatal("an open grant is released")
	}
}
