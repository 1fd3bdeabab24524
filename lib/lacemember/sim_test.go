package lacemember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// world is a fleet, its network, its platform and a ledger that knows request ids only.
type world struct {
	random  *rand.Rand
	now     time.Duration
	nodes   []*node
	queue   []envelope
	cuts    map[[2]laceunit.Holder]bool
	record  Record
	removed map[laceunit.Holder]laceunit.Epoch
	fenced  map[laceunit.Holder]bool
	ledger  map[Key]bool
	runs    map[Key][]string
	drawn   laceunit.Incarnation
	kills   int
	turns   int
	chaos   int
	stats   map[string]int
	trace   []string
}

type envelope struct {
	from, to laceunit.Holder
	body     any
}

type copyAsk struct {
	key  Key
	call int
}

type copyAck copyAsk

// platformCall runs at the platform when it is delivered; its answer is delivered like a message.
type platformCall struct{ do func() any }

type intentAnswer struct {
	request  laceledger.Request
	accepted bool
}

type entry struct {
	request laceledger.Request
	call    int
	copies  int
	acks    map[laceunit.Holder]bool
	ran     bool
}

type node struct {
	member  Member
	machine *Machine
	up      bool
	paused  bool
	dead    bool
	joined  bool
	pending bool
	calls   int
	journal map[Key]*entry
	copies  map[laceunit.Holder]map[Key]bool
	sealed  map[laceunit.Holder]bool
}

func newWorld(seed uint64, size int) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		cuts:    map[[2]laceunit.Holder]bool{},
		removed: map[laceunit.Holder]laceunit.Epoch{},
		fenced:  map[laceunit.Holder]bool{},
		ledger:  map[Key]bool{},
		runs:    map[Key][]string{},
		stats:   map[string]int{},
		chaos:   int(seed>>8) % 4,
	}
	for i := range size {
		w.add(fmt.Sprintf("i%d", i))
	}
	return w
}

func (w *world) add(name string) *node {
	w.drawn++
	n := &node{
		member: Member{
			Holder:  laceunit.Holder{Instance: laceunit.InstanceID(name), Incarnation: w.drawn},
			Address: laceunit.Address(name),
			Place:   laceunit.Place{Zone: laceunit.ZoneID(fmt.Sprint(w.drawn % 3))},
		},
		up:      true,
		journal: map[Key]*entry{},
		copies:  map[laceunit.Holder]map[Key]bool{},
		sealed:  map[laceunit.Holder]bool{},
	}
	n.machine = New(n.member.Holder, Settings{Lean: laceunit.ConsistencyAvailable, Fence: 6 * time.Second})
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) find(h laceunit.Holder) *node {
	for _, n := range w.nodes {
		if n.member.Holder == h && !n.dead {
			return n
		}
	}
	return nil
}

func (w *world) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%6d ms ", w.now.Milliseconds())+fmt.Sprintf(format, args...))
}

func (w *world) post(from, to laceunit.Holder, body any) {
	w.queue = append(w.queue, envelope{from: from, to: to, body: body})
}

func (w *world) step(n *node, input Input) {
	enabled, bindings := n.machine.enabled, len(n.machine.bindings)
	for _, e := range n.machine.Step(w.now, input) {
		switch e := e.(type) {
		case Send:
			w.post(n.member.Holder, e.To.Holder, e.Message)
		case FlushJournal:
			w.flush(n)
		case ReadHistory:
			w.history(n, e)
		}
	}
	if r, ok := input.(Received); ok {
		if _, seal := r.Message.(SealReply); seal && len(n.machine.bindings) < bindings {
			w.stats["fenced"]++
		}
		if !enabled && n.machine.enabled {
			w.stats["acknowledged"]++
		}
	}
}

// reaches reports whether a node's records get to the ledger, directly or through a peer.
func (w *world) reaches(n *node) bool {
	return n.up || slices.ContainsFunc(w.nodes, func(o *node) bool {
		return o.up && !o.dead && !o.paused && !w.cuts[[2]laceunit.Holder{n.member.Holder, o.member.Holder}]
	})
}

// call sends work to the platform; it may be lost, take effect late, or lose its answer.
func (w *world) call(n *node, do func() any) bool {
	if !w.reaches(n) {
		return false
	}
	w.post(n.member.Holder, laceunit.Holder{}, platformCall{do: do})
	return true
}

func (w *world) flush(n *node) {
	for _, k := range sortedKeys(n.journal) {
		if e := n.journal[k]; e.ran {
			w.call(n, func() any { w.ledger[k] = true; return e })
		}
	}
}

func (w *world) history(n *node, read ReadHistory) {
	w.call(n, func() any {
		h := HistoryRead{ReadID: read.ReadID, Complete: true}
		for holder, epoch := range w.removed {
			h.Complete = h.Complete && (epoch > read.Epoch || w.fenced[holder])
		}
		for k := range w.ledger {
			h.Keys = append(h.Keys, k)
		}
		return h
	})
}

func (w *world) request(n *node) {
	r := laceledger.Request{ID: laceunit.RequestID(fmt.Sprint(w.turns/100 + w.random.IntN(6)))}
	key := KeyOf(r)
	switch d := n.machine.Authorize(w.now, r, false); d.Verdict {
	case Online:
		holder := n.member.Holder
		sent := w.call(n, func() any {
			ok := !w.ledger[key] && !w.fenced[holder]
			if ok {
				w.ledger[key] = true
				w.run(key, "online", holder)
			}
			return intentAnswer{request: r, accepted: ok}
		})
		if !sent {
			n.machine.Abandon(r)
		}
	case Offline:
		n.calls++
		n.journal[key] = &entry{request: r, call: n.calls, copies: d.RequiredCopies, acks: map[laceunit.Holder]bool{}}
		for _, x := range d.Witnesses {
			w.post(n.member.Holder, x.Holder, copyAsk{key: key, call: n.calls})
		}
	case AlreadyStarted, Refuse:
	}
}

func (w *world) run(key Key, kind string, holder laceunit.Holder) {
	w.stats[kind]++
	w.runs[key] = append(w.runs[key], kind+" "+holder.String())
	w.log("run %x %s at %s", uint64(key), kind, holder)
}

// work ends one started offline run: it is sent once enough witnesses have copies, or given up.
func (w *world) work(n *node) {
	for _, k := range sortedKeys(n.journal) {
		e := n.journal[k]
		if e.ran {
			continue
		}
		if len(e.acks) >= e.copies {
			e.ran = true
			w.run(k, "offline", n.member.Holder)
		} else if w.random.IntN(4) == 0 {
			delete(n.journal, k)
			n.machine.Abandon(e.request)
		}
		return
	}
}

func (w *world) deliver(i int) {
	e := w.queue[i]
	if c, ok := e.body.(platformCall); ok {
		w.queue = slices.Delete(w.queue, i, i+1)
		if answer := c.do(); answer != nil && w.random.IntN(8) > 0 {
			w.post(e.to, e.from, answer)
		}
		return
	}
	n := w.find(e.to)
	if n != nil && n.paused {
		return
	}
	// A process takes the answer to one call once; messages may arrive again.
	if _, once := e.body.(intentAnswer); once || w.random.IntN(12) > 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	if _, c := e.body.(copyAsk); c && w.random.IntN(3) == 0 {
		return
	}
	if n == nil || w.random.IntN(40) < w.chaos || w.cuts[[2]laceunit.Holder{e.from, e.to}] {
		return
	}
	w.take(n, e)
}

func (w *world) take(n *node, e envelope) {
	switch b := e.body.(type) {
	case SealAsk:
		w.seal(n, b)
	case Message:
		w.step(n, Received{Message: b})
	case HistoryRead:
		w.step(n, b)
	case RecordCommitted:
		w.step(n, b)
	case copyAsk:
		if !n.sealed[e.from] {
			if n.copies[e.from] == nil {
				n.copies[e.from] = map[Key]bool{}
			}
			n.copies[e.from][b.key] = true
			w.post(e.to, e.from, copyAck(b))
		}
	case copyAck:
		if j := n.journal[b.key]; j != nil && j.call == b.call {
			j.acks[e.from] = true
		}
	case intentAnswer:
		if !b.accepted {
			n.machine.Abandon(b.request)
		}
	case *entry:
		if n.journal[KeyOf(b.request)] == b {
			delete(n.journal, KeyOf(b.request))
			n.machine.MarkFlushed(b.request)
		}
	}
}

func (w *world) seal(n *node, ask SealAsk) {
	n.sealed[ask.Home] = true
	if !w.reaches(n) {
		return
	}
	w.flushCopies(n, ask.Home)
	w.post(n.member.Holder, ask.From, SealReply{From: n.member.Holder, Home: ask.Home, Flushed: true})
}

func (w *world) flushCopies(n *node, owner laceunit.Holder) {
	for k := range n.copies[owner] {
		w.ledger[k] = true
	}
}

func sortedKeys(journal map[Key]*entry) []Key {
	keys := make([]Key, 0, len(journal))
	for k := range journal {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
