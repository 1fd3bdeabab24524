package lacemember

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// resendInterval is the interval at which unanswered messages are sent again.
	resendInterval = time.Second
	// livenessTTL is how long a message from a peer counts as a sign of life; a shorter time would flap with one lost
	// probe a second.
	livenessTTL = 1500 * time.Millisecond
	// initialAsks is how many members are asked for promises at first. If only this instance has lost the platform, any
	// one of them replies that the platform is reachable, so there is no need to ask the whole fleet.
	initialAsks = 4
	// maxPendingAsks bounds the unanswered asks for promises, and so the number that is resent each second.
	maxPendingAsks = 64
	// maxStarted bounds the recorded starts of requests. After a start that could not be recorded, a member can't
	// promise until the ledger no longer retains that request.
	maxStarted = 1 << 20
)

// Mode says how requests may run, depending on the reachability of the platform and the peers.
type Mode uint8

// The modes.
const (
	// ModeOnline means that requests run with a durable intent.
	ModeOnline Mode = iota
	// ModeLost means that neither the platform nor a peer that reaches it is reachable.
	ModeLost
	// ModeOutage means that this instance has outage authority: every other member has promised.
	ModeOutage
	// ModeFlushing means that the ledger is reachable again and the journal is being submitted.
	ModeFlushing
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"online", "lost", "outage", "flushing"}[m]
}

// Settings are the machine's parameters; zero durations take the defaults.
type Settings struct {
	Consistency laceunit.ConsistencyMode
	// Fence is how long a home may be silent before its witnesses are sealed if Consistency is available, 10 minutes by
	// default.
	Fence time.Duration
	// Retain is how long the ledger keeps non-idempotent requests, 24 hours by default.
	Retain time.Duration
}

// liveness is the last sign of life of a peer.
type liveness struct {
	at                time.Duration
	platformReachable bool
}

// startedRequest counts the starts of a non-idempotent request on this instance.
type startedRequest struct {
	lastStartAt time.Duration
	starts      int
}

// Machine is the membership state machine of one process. Its methods must not be called concurrently.
type Machine struct {
	settings Settings
	self     laceunit.Holder
	record   Record
	// minPromiseEpoch is the oldest epoch that promises are made for; it excludes epochs that a removal proposed by
	// this member ends.
	minPromiseEpoch laceunit.Epoch
	enabled         bool
	expelled        bool
	draining        bool
	platformLost    bool
	// restoredAt is when this instance last reached the platform again.
	restoredAt   time.Duration
	peerLiveness map[laceunit.Holder]liveness
	// relayLiveness is the last report of relay, the peer that last reported that it reaches the platform.
	relayLiveness     liveness
	relay             laceunit.Holder
	bindingsCheckedAt time.Duration
	lastResendAt      time.Duration
	ackCursor         int

	phase         phase
	round         uint64
	releasedRound uint64
	// roundRecord is the record under which the round was started.
	roundRecord Record
	window      int
	promises    map[laceunit.Holder]map[Key]struct{}
	asked       map[laceunit.Holder]bool
	needsRecord map[laceunit.Holder]bool
	// offlineFlushed has the offline runs of the round; the value is true once the ledger has the record of the run.
	offlineFlushed map[Key]bool
	lastFlushAt    time.Duration

	started       map[Key]startedRequest
	overflowUntil time.Duration
	// ledgerKeys are the requests in the last complete read of the ledger, historyEpoch the epoch in which it began.
	ledgerKeys     map[Key]struct{}
	historyEpoch   laceunit.Epoch
	readID         uint64
	lastReadAt     time.Duration
	readEpoch      laceunit.Epoch
	lastPurgeAt    time.Duration
	bindings       map[laceunit.Holder]*bindingState
	releasedRounds map[laceunit.Holder]uint64

	effects []Effect
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseAsking
	phaseOutage
	phaseFlushing
)

// New returns the machine of a process that has not joined yet; the platform counts as reachable at first.
func New(self laceunit.Holder, settings Settings) *Machine {
	if settings.Fence <= 0 {
		settings.Fence = 10 * time.Minute
	}
	if settings.Retain <= 0 {
		settings.Retain = 24 * time.Hour
	}
	return &Machine{
		settings:       settings,
		self:           self,
		peerLiveness:   map[laceunit.Holder]liveness{},
		promises:       map[laceunit.Holder]map[Key]struct{}{},
		asked:          map[laceunit.Holder]bool{},
		needsRecord:    map[laceunit.Holder]bool{},
		offlineFlushed: map[Key]bool{},
		started:        map[Key]startedRequest{},
		ledgerKeys:     map[Key]struct{}{},
		bindings:       map[laceunit.Holder]*bindingState{},
		releasedRounds: map[laceunit.Holder]uint64{},
	}
}

// Step applies one input and returns the effects in order; now must not decrease.
func (m *Machine) Step(now time.Duration, input Input) []Effect {
	m.effects = nil
	switch in := input.(type) {
	case RecordCommitted:
		m.adopt(now, in.Record)
	case PlatformLost:
		m.platformLost = true
	case PlatformRestored:
		if m.platformLost {
			m.platformLost, m.restoredAt = false, now
		}
	case HistoryRead:
		m.handleHistoryRead(in)
	case RemovalFailed:
		m.minPromiseEpoch = m.record.Epoch
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
		m.handlePromiseAsk(now, in)
	case PromiseReply:
		m.handlePromiseReply(now, in)
	case ReleaseNote:
		m.applyRelease(in.Home, in.Round)
	case ProbeAsk:
		m.handleProbeAsk(in)
	case ProbeReply:
		m.adopt(now, in.Record)
		m.recordLiveness(now, in.From, in.PlatformReachable)
		m.applyRelease(in.From, in.ReleasedRound)
	case AckAsk:
		m.handleAckAsk(now, in)
	case AckReply:
		m.handleAckReply(now, in)
	case SealReply:
		m.handleSealReply(in)
	case SealAsk:
		// The journal handles seals, not the machine.
	}
}

func (m *Machine) handleProbeAsk(ask ProbeAsk) {
	to, ok := m.record.Find(ask.From)
	if !ok {
		return
	}
	reply := ProbeReply{
		From:              m.self,
		Epoch:             m.record.Epoch,
		PlatformReachable: !m.platformLost,
		ReleasedRound:     m.releasedRound,
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
	m.minPromiseEpoch = max(m.minPromiseEpoch, record.Epoch)
	var removed []laceunit.Holder
	for _, o := range old.Members {
		if !record.Has(o.Holder) {
			removed = append(removed, o.Holder)
			delete(m.peerLiveness, o.Holder)
		}
	}
	m.emit(Adopted{Record: record, Removed: removed})
	self, member := record.Find(m.self)
	if !member && old.Has(m.self) {
		m.expelled = true
		m.emit(Expelled{})
	}
	if member && !m.enabled && !record.hasEarlierMember(self) {
		m.enabled = true
	}
	if member && !old.Has(m.self) {
		m.sendAckAsks()
	}
	if m.phase == phaseAsking {
		m.endRound()
	}
	m.purgeExpired(now)
}

// advance applies the phase transitions; it runs after every input.
func (m *Machine) advance(now time.Duration) {
	reachable := m.ledgerReachable(now)
	switch m.phase {
	case phaseIdle:
		if !reachable && m.canStartRound() {
			m.startRound(now)
		}
	case phaseAsking:
		if reachable {
			m.endRound()
		} else if len(m.promises) == len(m.roundRecord.Members)-1 {
			m.phase = phaseOutage
		}
	case phaseOutage:
		if reachable || m.expelled {
			m.phase = phaseFlushing
			m.lastFlushAt = now
			m.emit(FlushJournal{})
		}
	case phaseFlushing:
		switch {
		case m.allFlushed():
			m.endRound()
		case !reachable && !m.expelled:
			m.phase = phaseOutage
		}
	}
	m.requestHistory(now)
}

func (m *Machine) tick(now time.Duration) {
	if now-m.lastResendAt >= resendInterval {
		m.lastResendAt = now
		m.sendAckAsks()
		if m.phase == phaseAsking {
			m.resendPromiseAsks()
		}
	}
	if m.phase == phaseFlushing && now-m.lastFlushAt >= resendInterval {
		m.lastFlushAt = now
		m.emit(FlushJournal{})
	}
	m.checkBindings(now)
	m.purgeExpired(now)
}

// ledgerReachable reports whether records reach the ledger, directly or through a peer.
func (m *Machine) ledgerReachable(now time.Duration) bool {
	return !m.platformLost || (m.relayLiveness.platformReachable && now-m.relayLiveness.at <= livenessTTL)
}

func (m *Machine) recordLiveness(now time.Duration, from laceunit.Holder, platformReachable bool) {
	if m.record.Has(from) && from != m.self {
		m.peerLiveness[from] = liveness{
			at:                now,
			platformReachable: platformReachable,
		}
		if platformReachable || from == m.relay {
			m.relayLiveness, m.relay = m.peerLiveness[from], from
		}
	}
	if b := m.bindings[from]; b != nil {
		b.lastSeenAt = now
	}
}

func (m *Machine) send(to Member, message Message) {
	m.emit(Send{To: to, Message: message})
}

func (m *Machine) emit(effect Effect) {
	m.effects = append(m.effects, effect)
}
