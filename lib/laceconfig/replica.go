package laceconfig

import (
	"math/rand/v2"
	"time"

	"lacewingcove/lib/laceunit"
)

// Period is how often a replica is ticked.
const TickInterval = time.Second

// Status is what an instance says of its configuration.
type Status struct {
	Sender  laceunit.Holder
	Version laceunit.Version
	// Confirmed is true when the platform has ever confirmed the version; Age is then the time since the
	// moment up to which every accepted change is contained in Version.
	Confirmed bool
	Staleness time.Duration
	// Contact is false when the instance's last attempt to read the platform failed.
	PlatformReachable bool
}

// Message is an answer to a question, or a notice.
type Message struct {
	Status Status
	Delta  *Delta
}

// Member is another instance of the last agreed membership.
type Member struct {
	Holder laceunit.Holder
	Region laceunit.RegionID
	// Watcher is true for the instances that follow the platform on behalf of their region.
	Watcher bool
}

// View is the membership as an instance knows it; Others leaves the instance out.
type View struct {
	// Agreed is true once a membership has been agreed on; before that an empty Others proves nothing.
	Agreed  bool
	Region  laceunit.RegionID
	Watcher bool
	Peers   []Member
}

// Effect is something that the shell of a replica has to do; the types below are the closed set.
type Effect interface{ effect() }

// Ask sends the replica's status to a member and feeds the answer back.
type Query struct {
	To laceunit.Holder
	// Brief questions leave out who asks; their answers have no delta.
	StatusOnly bool
}

// Read reads the head and feeds the result back.
type Read struct {
	// Brief reads leave out the bodies of a version that is new.
	HeadOnly bool
}

// Push sends a notice to members.
type Push struct {
	To      []laceunit.Holder
	Message Message
}

// Install puts a document in force.
type Install struct {
	Document Document
}

// Reject reports a message that could not be used.
type Reject struct {
	Sender laceunit.Holder
	Err    error
}

func (Query) effect()   {}
func (Read) effect()    {}
func (Push) effect()    {}
func (Install) effect() {}
func (Reject) effect()  {}

// Rule are the settings of a replica.
type ReplicaSettings struct {
	Self         laceunit.Holder
	Consistency  laceunit.ConsistencyMode
	MaxStaleness time.Duration
}

// heard is the last answer of a member; asked is when the question was sent.
type heard struct {
	asked  time.Duration
	status Status
}

// Replica is the state machine of an instance's configuration: its version only goes up.
// Times are monotonic, counted from the start of the process.
type Replica struct {
	rule    ReplicaSettings
	random  *rand.Rand
	entries entries
	view    View
	// confirmed is the moment up to which every accepted change is contained in the version.
	confirmed time.Duration
	known     bool
	lost      bool
	reading   bool
	asking    map[laceunit.Holder]bool
	// fetching is the member that is asked for a delta. There is one at a time, since each would send the same changes and
	// all of them share the link.
	fetching laceunit.Holder
	// unhelped is true when the last member that was asked for a delta had none or didn't answer.
	unhelped bool
	heard    map[laceunit.Holder]heard
}

// NewReplica returns a replica without a document; random decides only which peers are asked.
func NewReplica(rule ReplicaSettings, random *rand.Rand) *Replica {
	return &Replica{
		rule:    rule,
		random:  random,
		entries: emptyEntries(),
		asking:  map[laceunit.Holder]bool{},
		heard:   map[laceunit.Holder]heard{},
	}
}

// Document returns the document in force.
func (r *Replica) Document() Document { return r.entries.document }

// Version returns the version in force; zero before the first document.
func (r *Replica) Version() laceunit.Version { return r.entries.version }

// Status returns what the replica says of itself.
func (r *Replica) Status(now time.Duration) Status {
	return Status{
		Sender:            r.rule.Self,
		Version:           r.entries.version,
		Confirmed:         r.known,
		Staleness:         now - r.confirmed,
		PlatformReachable: !r.lost,
	}
}

func (r *Replica) older(now, than time.Duration) bool {
	return !r.known || now-r.confirmed > than
}

// Tick advances time; it is called each Period.
func (r *Replica) Tick(now time.Duration, view View) []Effect {
	r.view = view
	current := map[laceunit.Holder]bool{}
	for _, m := range view.Peers {
		current[m.Holder] = true
	}
	for h := range r.heard {
		if !current[h] {
			delete(r.heard, h)
		}
	}
	var effects []Effect
	// Random exchanges alone take about as many seconds as the logarithm of the region's size, so a watcher is
	// asked at half of Rule.Fresh, and the platform and everyone else before the confirmation gets too old.
	nearStale := r.older(now, r.rule.MaxStaleness*7/10)
	// A delta that takes longer than a period is a large one; the bodies on the platform are larger.
	slow := !r.fetching.IsZero()
	if view.Watcher {
		effects = r.read(effects, slow)
	}
	effects = r.ask(effects, r.pick(func(m Member) bool { return m.Region == view.Region || r.random.IntN(8) == 0 }))
	if !view.Watcher && r.older(now, r.rule.MaxStaleness/2) {
		effects = r.ask(effects, r.pick(func(m Member) bool { return m.Watcher && m.Region == view.Region }))
	}
	if nearStale {
		effects = r.askMembers(effects, now)
	}
	if nearStale && !view.Watcher {
		// A member is asked first, and the platform for the bodies when that brings nothing.
		effects = r.read(effects, slow || !r.fetching.IsZero() && !r.unhelped)
	}
	return effects
}

// askMembers asks for what the decision of Fresh needs: everyone under strict, a few under available.
func (r *Replica) askMembers(effects []Effect, now time.Duration) []Effect {
	if r.rule.Consistency != laceunit.ConsistencyStrict {
		for range 3 {
			effects = r.ask(effects, r.pick(func(Member) bool { return true }))
		}
		return effects
	}
	for _, m := range r.view.Peers {
		if h, ok := r.heard[m.Holder]; !ok || now-h.asked > r.rule.MaxStaleness/3 {
			effects = r.ask(effects, m.Holder)
		}
	}
	return effects
}

func (r *Replica) read(effects []Effect, brief bool) []Effect {
	if r.reading {
		return effects
	}
	r.reading = true
	return append(effects, Read{HeadOnly: brief})
}

func (r *Replica) ask(effects []Effect, to laceunit.Holder) []Effect {
	if to.IsZero() || r.asking[to] {
		return effects
	}
	r.asking[to] = true
	brief := !r.fetching.IsZero()
	if !brief {
		r.fetching = to
	}
	return append(effects, Query{
		To:         to,
		StatusOnly: brief,
	})
}

func (r *Replica) pick(ok func(Member) bool) laceunit.Holder {
	var chosen laceunit.Holder
	count := 0
	for _, m := range r.view.Peers {
		if !ok(m) {
			continue
		}
		count++
		if r.random.IntN(count) == 0 {
			chosen = m.Holder
		}
	}
	return chosen
}

// Learned takes the result of a Read whose head was asked for at a time; the content is nil after a brief one.
func (r *Replica) HandleRead(asked time.Duration, version laceunit.Version, content Content) []Effect {
	r.reading, r.lost = false, false
	if version < r.entries.version {
		return nil // a head that went backwards confirms nothing
	}
	var effects []Effect
	if version > r.entries.version {
		if content == nil {
			return nil
		}
		before := r.entries.version
		if err := r.entries.replace(version, content); err != nil {
			return []Effect{Reject{Sender: r.rule.Self, Err: err}}
		}
		effects = append(effects, Install{Document: r.entries.document})
		effects = r.push(effects, before)
	}
	r.confirm(asked)
	return effects
}

// push tells the region of a new version; only watchers do, so that one change is not told by everyone.
func (r *Replica) push(effects []Effect, before laceunit.Version) []Effect {
	var to []laceunit.Holder
	for _, m := range r.view.Peers {
		if m.Region == r.view.Region {
			to = append(to, m.Holder)
		}
	}
	if !r.view.Watcher || len(to) == 0 || before == 0 {
		return effects
	}
	return append(effects, Push{
		To: to,
		Message: Message{
			Status: Status{
				Sender:            r.rule.Self,
				Version:           r.entries.version,
				PlatformReachable: true,
			},
			Delta: r.entries.since(before),
		},
	})
}

func (r *Replica) confirm(moment time.Duration) {
	if !r.known || moment > r.confirmed {
		r.known, r.confirmed = true, moment
	}
}

// Unread reports that a Read failed.
func (r *Replica) HandleReadFailure() { r.reading, r.lost = false, true }

// Unheard reports that an Ask failed.
func (r *Replica) HandleQueryFailure(from laceunit.Holder) {
	if r.answered(from) {
		r.unhelped = true
	}
}

// answered notes the end of a question and reports whether it was one for a delta.
func (r *Replica) answered(from laceunit.Holder) bool {
	delete(r.asking, from)
	if from.IsZero() || from != r.fetching {
		return false
	}
	r.fetching = laceunit.Holder{}
	return true
}

// Answer takes the answer to a question that was sent at a time.
func (r *Replica) HandleReply(asked time.Duration, from laceunit.Holder, m Message) []Effect {
	whole := r.answered(from)
	r.unhelped = r.unhelped || whole
	if m.Status.Sender != from {
		return nil // another incarnation listens at that address now
	}
	effects := r.take(m)
	if whole {
		r.unhelped = len(effects) == 0
	} else if m.Status.Version > r.entries.version && r.fetching.IsZero() {
		effects = r.ask(effects, from)
	}
	r.heard[from] = heard{
		asked:  asked,
		status: m.Status,
	}
	// The peer's age counts from a moment after the question was sent, so the difference is never too late.
	if m.Status.Confirmed && m.Status.Staleness >= 0 && m.Status.Version <= r.entries.version {
		r.confirm(asked - m.Status.Staleness)
	}
	return effects
}

// Notice takes a message that nobody asked for. Its time on the way is not known, so it confirms nothing.
func (r *Replica) HandleNotification(m Message) []Effect {
	effects := r.take(m)
	if m.Status.Version > r.entries.version {
		effects = r.ask(effects, m.Status.Sender)
	}
	return effects
}

// Question answers a member's question; one without a sender is brief.
func (r *Replica) HandleQuery(now time.Duration, q Status) (Message, []Effect) {
	if q.Sender.IsZero() {
		return Message{Status: r.Status(now)}, nil
	}
	var effects []Effect
	if q.Version > r.entries.version {
		effects = r.ask(effects, q.Sender)
	}
	return Message{
		Status: r.Status(now),
		Delta:  r.entries.since(q.Version),
	}, effects
}

func (r *Replica) take(m Message) []Effect {
	moved, err := r.entries.apply(m.Delta)
	if err != nil {
		return []Effect{Reject{Sender: m.Status.Sender, Err: err}}
	}
	if !moved {
		return nil
	}
	return []Effect{Install{Document: r.entries.document}}
}
