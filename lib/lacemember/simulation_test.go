package lacemember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// simulation is a fleet, its network, its platform and a ledger that stores only request keys.
type simulation struct {
	random          *rand.Rand
	now             time.Duration
	nodes           []*node
	queue           []envelope
	cutLinks        map[[2]laceunit.Holder]bool
	record          Record
	removed         map[laceunit.Holder]laceunit.Epoch
	fenced          map[laceunit.Holder]bool
	ledger          map[Key]bool
	runs            map[Key][]string
	lastIncarnation laceunit.Incarnation
	crashes         int
	iterations      int
	faultRate       int
	stats           map[string]int
	trace           []string
}

type envelope struct {
	from, to laceunit.Holder
	body     any
}

type copyRequest struct {
	key  Key
	call int
}

type copyAck copyRequest

// platformCall is applied by the platform on delivery; its result is delivered like a message.
type platformCall struct{ apply func() any }

type intentResult struct {
	request  laceledger.Request
	accepted bool
}

type journalEntry struct {
	request laceledger.Request
	call    int
	copies  int
	acks    map[laceunit.Holder]bool
	ran     bool
}

type node struct {
	member       Member
	machine      *Machine
	platformUp   bool
	paused       bool
	stopped      bool
	joined       bool
	writePending bool
	lastCall     int
	journal      map[Key]*journalEntry
	copies       map[laceunit.Holder]map[Key]bool
	sealed       map[laceunit.Holder]bool
}

func newSimulation(seed uint64, size int) *simulation {
	s := &simulation{
		random:    rand.New(rand.NewPCG(seed, 1)),
		cutLinks:  map[[2]laceunit.Holder]bool{},
		removed:   map[laceunit.Holder]laceunit.Epoch{},
		fenced:    map[laceunit.Holder]bool{},
		ledger:    map[Key]bool{},
		runs:      map[Key][]string{},
		stats:     map[string]int{},
		faultRate: int(seed>>8) % 4,
	}
	for i := range size {
		s.add(fmt.Sprintf("i%d", i))
	}
	return s
}

func (s *simulation) add(name string) *node {
	s.lastIncarnation++
	n := &node{
		member: Member{
			Holder:  laceunit.Holder{Instance: laceunit.InstanceID(name), Incarnation: s.lastIncarnation},
			Address: laceunit.Address(name),
			Place:   laceunit.Place{Zone: laceunit.ZoneID(fmt.Sprint(s.lastIncarnation % 3))},
		},
		platformUp: true,
		journal:    map[Key]*journalEntry{},
		copies:     map[laceunit.Holder]map[Key]bool{},
		sealed:     map[laceunit.Holder]bool{},
	}
	n.machine = New(n.member.Holder, Settings{Consistency: laceunit.ConsistencyAvailable, Fence: 6 * time.Second})
	s.nodes = append(s.nodes, n)
	return n
}

func (s *simulation) find(h laceunit.Holder) *node {
	for _, n := range s.nodes {
		if n.member.Holder == h && !n.stopped {
			return n
		}
	}
	return nil
}

func (s *simulation) log(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6d ms ", s.now.Milliseconds())+fmt.Sprintf(format, args...))
}

func (s *simulation) enqueue(from, to laceunit.Holder, body any) {
	s.queue = append(s.queue, envelope{from: from, to: to, body: body})
}

func (s *simulation) step(n *node, input Input) {
	enabled, bindings := n.machine.enabled, len(n.machine.bindings)
	for _, e := range n.machine.Step(s.now, input) {
		switch e := e.(type) {
		case Send:
			s.enqueue(n.member.Holder, e.To.Holder, e.Message)
		case FlushJournal:
			s.flush(n)
		case ReadHistory:
			s.readHistory(n, e)
		}
	}
	if r, ok := input.(Received); ok {
		if _, seal := r.Message.(SealReply); seal && len(n.machine.bindings) < bindings {
			s.stats["fenced"]++
		}
		if !enabled && n.machine.enabled {
			s.stats["acknowledged"]++
		}
	}
}

// reachesLedger reports whether a node's records reach the ledger, directly or through a peer.
func (s *simulation) reachesLedger(n *node) bool {
	return n.platformUp || slices.ContainsFunc(s.nodes, func(o *node) bool {
		return o.platformUp && !o.stopped && !o.paused &&
			!s.cutLinks[[2]laceunit.Holder{n.member.Holder, o.member.Holder}]
	})
}

// callPlatform sends a call to the platform; the call or its response may be lost, or the call delayed.
func (s *simulation) callPlatform(n *node, apply func() any) bool {
	if !s.reachesLedger(n) {
		return false
	}
	s.enqueue(n.member.Holder, laceunit.Holder{}, platformCall{apply: apply})
	return true
}

func (s *simulation) flush(n *node) {
	for _, k := range sortedKeys(n.journal) {
		if e := n.journal[k]; e.ran {
			s.callPlatform(n, func() any { s.ledger[k] = true; return e })
		}
	}
}

func (s *simulation) readHistory(n *node, read ReadHistory) {
	s.callPlatform(n, func() any {
		h := HistoryRead{ReadID: read.ReadID, Complete: true}
		for holder, epoch := range s.removed {
			h.Complete = h.Complete && (epoch > read.Epoch || s.fenced[holder])
		}
		for k := range s.ledger {
			h.Keys = append(h.Keys, k)
		}
		return h
	})
}

func (s *simulation) sendRequest(n *node) {
	r := laceledger.Request{ID: laceunit.RequestID(fmt.Sprint(s.iterations/100 + s.random.IntN(6)))}
	key := KeyOf(r)
	switch d := n.machine.Authorize(s.now, r, false); d.Verdict {
	case Online:
		holder := n.member.Holder
		sent := s.callPlatform(n, func() any {
			accepted := !s.ledger[key] && !s.fenced[holder]
			if accepted {
				s.ledger[key] = true
				s.recordRun(key, "online", holder)
			}
			return intentResult{request: r, accepted: accepted}
		})
		if !sent {
			n.machine.Abandon(r)
		}
	case Offline:
		n.lastCall++
		n.journal[key] = &journalEntry{
			request: r,
			call:    n.lastCall,
			copies:  d.RequiredCopies,
			acks:    map[laceunit.Holder]bool{},
		}
		for _, x := range d.Witnesses {
			s.enqueue(n.member.Holder, x.Holder, copyRequest{key: key, call: n.lastCall})
		}
	case AlreadyStarted, Refuse:
	}
}

func (s *simulation) recordRun(key Key, kind string, holder laceunit.Holder) {
	s.stats[kind]++
	s.runs[key] = append(s.runs[key], kind+" "+holder.String())
	s.log("run %x %s at %s", uint64(key), kind, holder)
}

// finishOfflineRun handles one started offline run: it runs if enough witnesses have copies, otherwise it may be
// abandoned.
func (s *simulation) finishOfflineRun(n *node) {
	for _, k := range sortedKeys(n.journal) {
		e := n.journal[k]
		if e.ran {
			continue
		}
		if len(e.acks) >= e.copies {
			e.ran = true
			s.recordRun(k, "offline", n.member.Holder)
		} else if s.random.IntN(4) == 0 {
			delete(n.journal, k)
			n.machine.Abandon(e.request)
		}
		return
	}
}

func (s *simulation) deliver(i int) {
	e := s.queue[i]
	if c, ok := e.body.(platformCall); ok {
		s.queue = slices.Delete(s.queue, i, i+1)
		if result := c.apply(); result != nil && s.random.IntN(8) > 0 {
			s.enqueue(e.to, e.from, result)
		}
		return
	}
	n := s.find(e.to)
	if n != nil && n.paused {
		return
	}
	// The result of an intent is delivered at most once; other messages may be duplicated.
	if _, once := e.body.(intentResult); once || s.random.IntN(12) > 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	if _, c := e.body.(copyRequest); c && s.random.IntN(3) == 0 {
		return
	}
	if n == nil || s.random.IntN(40) < s.faultRate || s.cutLinks[[2]laceunit.Holder{e.from, e.to}] {
		return
	}
	s.receive(n, e)
}

func (s *simulation) receive(n *node, e envelope) {
	switch b := e.body.(type) {
	case SealAsk:
		s.seal(n, b)
	case Message:
		s.step(n, Received{Message: b})
	case HistoryRead:
		s.step(n, b)
	case RecordCommitted:
		s.step(n, b)
	case copyRequest:
		if !n.sealed[e.from] {
			if n.copies[e.from] == nil {
				n.copies[e.from] = map[Key]bool{}
			}
			n.copies[e.from][b.key] = true
			s.enqueue(e.to, e.from, copyAck(b))
		}
	case copyAck:
		if j := n.journal[b.key]; j != nil && j.call == b.call {
			j.acks[e.from] = true
		}
	case intentResult:
		if !b.accepted {
			n.machine.Abandon(b.request)
		}
	case *journalEntry:
		if n.journal[KeyOf(b.request)] == b {
			delete(n.journal, KeyOf(b.request))
			n.machine.MarkFlushed(b.request)
		}
	}
}

func (s *simulation) seal(n *node, ask SealAsk) {
	n.sealed[ask.Home] = true
	if !s.reachesLedger(n) {
		return
	}
	s.flushCopies(n, ask.Home)
	s.enqueue(n.member.Holder, ask.From, SealReply{From: n.member.Holder, Home: ask.Home, Flushed: true})
}

func (s *simulation) flushCopies(n *node, owner laceunit.Holder) {
	for k := range n.copies[owner] {
		s.ledger[k] = true
	}
}

func sortedKeys(journal map[Key]*journalEntry) []Key {
	keys := make([]Key, 0, len(journal))
	for k := range journal {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
