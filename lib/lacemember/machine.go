package lacemember

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// repeatEvery is the interval at which unanswered messages are sent again.
	repeatEvery = time.Second
	// heardFresh is how long a probe answer counts; a shorter time would flap with one lost probe a second.
	heardFresh = 1500 * time.Millisecond
	// firstAsks is how many members are asked for promises at first. An instance that is cut off alone learns
	// from any one of them that the platform is up, so it need not ask the whole fleet.
	firstAsks = 4
	// maxAsks bounds the unanswered requests for promises, and so what is sent again each second.
	maxAsks = 64
	// maxSeen bounds the remembered requests; a member that had to forget some can't promise any more.
	maxSeen = 1 << 20
)

// Mode is what an instance may do while the platform is out of reach.
type Mode uint8

// The modes.
const (
	// ModeOnline means that requests run with a durable intent.
	ModeOnline Mode = iota
	// ModeLost means that neither the platform nor a peer with contact is within reach.
	ModeLost
	// ModeOutage means that every other member has promised.
	ModeOutage
	// ModeFlushing means that contact is back and the journal is being submitted.
	ModeFlushing
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"online", "lost", "outage", "flushing"}[m]
}

// Settings are the machine's parameters; zero durations take the defaults.
type Settings struct {
	Lean laceunit.ConsistencyMode
	// Fence is how long a silent home blocks its requests with lean available, 10 minutes by default.
	Fence time.Duration
	// Retain is how long the ledger keeps non-idempotent requests, 24 hours by default.
	Retain time.Duration
}

type sighting struct {
	at       time.Duration
	platform bool
}

type started struct {
	at    time.Duration
	count int
}

// Machine is the membership state of one process. Its methods must not be called concurrently.
type Machine struct {
	settings Settings
	self     laceunit.Holder
	record   Record
	// floor refuses promises for epochs that this member has proposed to end.
	floor    laceunit.Epoch
	enabled  bool
	expelled bool
	draining bool
	lost     bool
	since    time.Duration
	heard    map[laceunit.Holder]sighting
	lately   sighting
	source   laceunit.Holder
	watched  time.Duration
	asked    time.Duration
	ackTurn  int

	phase     phase
	round     uint64
	freed     uint64
	authority Record
	window    int
	promises  map[laceunit.Holder]map[Key]struct{}
	asks      map[laceunit.Holder]bool
	behind    map[laceunit.Holder]bool
	offline   map[Key]bool
	flushAt   time.Duration

	seen     map[Key]started
	overflow time.Duration
	known    map[Key]struct{}
	covered  laceunit.Epoch
	reading  uint64
	readAt   time.Duration
	pending  laceunit.Epoch
	forgot   time.Duration
	bindings map[laceunit.Holder]*bound
	released map[laceunit.Holder]uint64

	effects []Effect
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseAsking
	phaseOutage
	phaseFlushing
)

// New returns the machine of a process that has not joined yet; it counts as having contact with the platform.
func New(self laceunit.Holder, settings Settings) *Machine {
	if settings.Fence <= 0 {
		settings.Fence = 10 * time.Minute
	}
	if settings.Retain <= 0 {
		settings.Retain = 24 * time.Hour
	}
	return &Machine{
		settings: settings,
		self:     self,
		heard:    map[laceunit.Holder]sighting{},
		promises: map[laceunit.Holder]map[Key]struct{}{},
		asks:     map[laceunit.Holder]bool{},
		behind:   map[laceunit.Holder]bool{},
		offline:  map[Key]bool{},
		seen:     map[Key]started{},
		known:    map[Key]struct{}{},
		bindings: map[laceunit.Holder]*bound{},
		released: map[laceunit.Holder]uint64{},
	}
}

// Step takes one input and returns the effects in order; now is monotonic.
func (m *Machine) Step(now time.Duration, input Input) []Effect {
	m.effects = nil
	switch in := input.(type) {
	case RecordCommitted:
		m.adopt(now, in.Record)
	case PlatformLost:
		m.lost = true
	case PlatformRestored:
		if m.lost {
			m.lost, m.since = false, now
		}
	case HistoryRead:
		m.cover(in)
	case RemovalFailed:
		m.floor = m.record.Epoch
	case Received:
		m.receive(now, in.Message)
	case Tick:
		m.tick(now)
	}
	m.advance(now)
	return m.effects
}

func (m *Machine) receive(now time.Duration, message Message) {
	switch in := message.(type) {
	case PromiseAsk:
		m.promise(now, in)
	case PromiseReply:
		m.promised(now, in)
	case ReleaseNote:
		m.release(in.Home, in.Round)
	case ProbeAsk:
		m.probe(in)
	case ProbeReply:
		m.adopt(now, in.Record)
		m.sight(now, in.From, in.PlatformReachable)
		m.release(in.From, in.ReleasedRound)
	case AckAsk:
		m.acknowledge(now, in)
	case AckReply:
		m.enable(now, in)
	case SealReply:
		m.sealed(in)
	case SealAsk:
		// Witnesses seal in the journal, not here.
	}
}

func (m *Machine) probe(ask ProbeAsk) {
	to, ok := m.record.Find(ask.From)
	if !ok {
		return
	}
	reply := ProbeReply{
		From:              m.self,
		Epoch:             m.record.Epoch,
		PlatformReachable: !m.lost,
		ReleasedRound:     m.freed,
	}
	if ask.Epoch < m.record.Epoch {
		reply.Record = m.record
	}
	m.send(to, reply)
}

func (m *Machine) adopt(now time.Duration, record Record) {
	if record.Epoch <= m.record.Epoch {
		return
	}
	old := m.record
	m.record = record
	m.floor = max(m.floor, record.Epoch)
	var gone []laceunit.Holder
	for _, o := range old.Members {
		if !record.Has(o.Holder) {
			gone = append(gone, o.Holder)
			delete(m.heard, o.Holder)
		}
	}
	m.emit(Adopted{Record: record, Removed: gone})
	self, member := record.Find(m.self)
	if !member && old.Has(m.self) {
		m.expelled = true
		m.emit(Expelled{})
	}
	if member && !m.enabled && !record.senior(self) {
		m.enabled = true
	}
	if member && !old.Has(m.self) {
		m.askAcks()
	}
	if m.phase == phaseAsking {
		m.free()
	}
	m.forget(now)
}

// advance moves between the phases; it runs after every input.
func (m *Machine) advance(now time.Duration) {
	contact := m.contact(now)
	switch m.phase {
	case phaseIdle:
		if !contact && m.mayAsk() {
			m.ask(now)
		}
	case phaseAsking:
		if contact {
			m.free()
		} else if len(m.promises) == len(m.authority.Members)-1 {
			m.phase = phaseOutage
		}
	case phaseOutage:
		if contact || m.expelled {
			m.phase = phaseFlushing
			m.flushAt = now
			m.emit(FlushJournal{})
		}
	case phaseFlushing:
		switch {
		case m.flushed():
			m.free()
		case !contact && !m.expelled:
			m.phase = phaseOutage
		}
	}
	m.readHistory(now)
}

func (m *Machine) tick(now time.Duration) {
	if now-m.asked >= repeatEvery {
		m.asked = now
		m.askAcks()
		if m.phase == phaseAsking {
			m.repeatAsks()
		}
	}
	if m.phase == phaseFlushing && now-m.flushAt >= repeatEvery {
		m.flushAt = now
		m.emit(FlushJournal{})
	}
	m.watchBindings(now)
	m.forget(now)
}

// contact reports whether records reach the ledger, directly or through a peer.
func (m *Machine) contact(now time.Duration) bool {
	return !m.lost || (m.lately.platform && now-m.lately.at <= heardFresh)
}

func (m *Machine) sight(now time.Duration, from laceunit.Holder, platform bool) {
	if m.record.Has(from) && from != m.self {
		m.heard[from] = sighting{
			at:       now,
			platform: platform,
		}
		if platform || from == m.source {
			m.lately, m.source = m.heard[from], from
		}
	}
	if b := m.bindings[from]; b != nil {
		b.heard = now
	}
}

func (m *Machine) send(to Member, message Message) {
	m.emit(Send{To: to, Message: message})
}

func (m *Machine) emit(effect Effect) {
	m.effects = append(m.effects, effect)
}
