package laceconfig

import (
	"math/rand/v2"
	"time"

	"lacewingcove/lib/laceunit"
)

// TickInterval is the interval of Replica.Tick.
const TickInterval = time.Second

// Status is the state of an instance's configuration as reported to peers.
type Status struct {
	Sender  laceunit.Holder
	Version laceunit.Version
	// Confirmed is true once the platform has confirmed a version. Staleness is then the time since the latest moment
	// for which Version is known to contain every accepted change.
	Confirmed bool
	Staleness time.Duration
	// PlatformReachable is false when the instance's last read of the platform failed.
	PlatformReachable bool
}

// Message is a reply to a query, or a notification.
type Message struct {
	Status Status
	Delta  *Delta
}

// Member is another instance in the last agreed membership.
type Member struct {
	Holder laceunit.Holder
	Region laceunit.RegionID
	// Watcher is true for the instances that poll the platform on behalf of their region.
	Watcher bool
}

// View is an instance's view of the membership; Peers does not include the instance itself.
type View struct {
	// Agreed is true once a membership has been agreed on; before that, no conclusion follows from an empty Peers.
	Agreed  bool
	Region  laceunit.RegionID
	Watcher bool
	Peers   []Member
}

// Effect is an action that the caller of a replica has to perform; it is one of the types below.
type Effect interface{ effect() }

// Query sends the replica's status to a peer; the result goes to HandleReply or HandleQueryFailure.
type Query struct {
	To laceunit.Holder
	// StatusOnly queries omit the sender; the replies to them have no delta.
	StatusOnly bool
}

// Read reads the head and, if its version is new, the bodies; the result goes to HandleRead or HandleReadFailure.
type Read struct {
	// HeadOnly reads omit the bodies, even if the version is new.
	HeadOnly bool
}

// Push sends a notification to peers.
type Push struct {
	To      []laceunit.Holder
	Message Message
}

// Install puts a document into force.
type Install struct {
	Document Document
}

// Reject reports a message or content that could not be applied.
type Reject struct {
	Sender laceunit.Holder
	Err    error
}

func (Query) effect()   {}
func (Read) effect()    {}
func (Push) effect()    {}
func (Install) effect() {}
func (Reject) effect()  {}

// ReplicaSettings are the settings of a replica.
type ReplicaSettings struct {
	Self         laceunit.Holder
	Consistency  laceunit.ConsistencyMode
	MaxStaleness time.Duration
}

// lastReply is the last reply of a peer; queriedAt is when its query was sent.
type lastReply struct {
	queriedAt time.Duration
	status    Status
}

// Replica is the state machine of an instance's configuration; its version increases monotonically.
// Times are monotonic, counted from the start of the process.
type Replica struct {
	settings ReplicaSettings
	random   *rand.Rand
	entries  entryTable
	view     View
	// confirmedAt is the latest moment for which the version is known to contain every accepted change.
	confirmedAt         time.Duration
	everConfirmed       bool
	platformUnreachable bool
	readInFlight        bool
	queriesInFlight     map[laceunit.Holder]bool
	// deltaSource is the peer from which a delta is being fetched. There is at most one, since every peer would send
	// the same changes over the same link.
	deltaSource laceunit.Holder
	// deltaFetchFailed is true when the last peer that was queried for a delta had none or didn't reply.
	deltaFetchFailed bool
	lastReplies      map[laceunit.Holder]lastReply
}

// NewReplica returns a replica without a document; random is used only to select peers to query.
func NewReplica(settings ReplicaSettings, random *rand.Rand) *Replica {
	return &Replica{
		settings:        settings,
		random:          random,
		entries:         newEntryTable(),
		queriesInFlight: map[laceunit.Holder]bool{},
		lastReplies:     map[laceunit.Holder]lastReply{},
	}
}

// Document returns the document in force.
func (r *Replica) Document() Document { return r.entries.document }

// Version returns the version in force, or zero before the first document.
func (r *Replica) Version() laceunit.Version { return r.entries.version }

// Status returns the status that the replica reports to peers.
func (r *Replica) Status(now time.Duration) Status {
	return Status{
		Sender:            r.settings.Self,
		Version:           r.entries.version,
		Confirmed:         r.everConfirmed,
		Staleness:         now - r.confirmedAt,
		PlatformReachable: !r.platformUnreachable,
	}
}

func (r *Replica) stalerThan(now, limit time.Duration) bool {
	return !r.everConfirmed || now-r.confirmedAt > limit
}

// Tick advances time; it is called every TickInterval.
func (r *Replica) Tick(now time.Duration, view View) []Effect {
	r.view = view
	current := map[laceunit.Holder]bool{}
	for _, m := range view.Peers {
		current[m.Holder] = true
	}
	for h := range r.lastReplies {
		if !current[h] {
			delete(r.lastReplies, h)
		}
	}
	var effects []Effect
	// Gossip with random peers alone takes a number of seconds logarithmic in the size of the region, so a watcher is
	// queried at half of MaxStaleness. The platform and other peers follow at 70%, before the confirmation expires.
	nearStale := r.stalerThan(now, r.settings.MaxStaleness*7/10)
	// A delta that is not transferred within a tick is large; the bodies on the platform are larger still.
	fetchInProgress := !r.deltaSource.IsZero()
	if view.Watcher {
		effects = r.read(effects, fetchInProgress)
	}
	effects = r.query(effects,
		r.pickPeer(func(m Member) bool { return m.Region == view.Region || r.random.IntN(8) == 0 }))
	if !view.Watcher && r.stalerThan(now, r.settings.MaxStaleness/2) {
		effects = r.query(effects, r.pickPeer(func(m Member) bool { return m.Watcher && m.Region == view.Region }))
	}
	if nearStale {
		effects = r.queryPeers(effects, now)
	}
	if nearStale && !view.Watcher {
		// A peer is queried first; the bodies are read from the platform only if that yields no delta.
		effects = r.read(effects, fetchInProgress || !r.deltaSource.IsZero() && !r.deltaFetchFailed)
	}
	return effects
}

// queryPeers queries the peers whose status Freshness needs: all of them in strict mode, a few in available mode.
func (r *Replica) queryPeers(effects []Effect, now time.Duration) []Effect {
	if r.settings.Consistency != laceunit.ConsistencyStrict {
		for range 3 {
			effects = r.query(effects, r.pickPeer(func(Member) bool { return true }))
		}
		return effects
	}
	for _, m := range r.view.Peers {
		if h, ok := r.lastReplies[m.Holder]; !ok || now-h.queriedAt > r.settings.MaxStaleness/3 {
			effects = r.query(effects, m.Holder)
		}
	}
	return effects
}

func (r *Replica) read(effects []Effect, headOnly bool) []Effect {
	if r.readInFlight {
		return effects
	}
	r.readInFlight = true
	return append(effects, Read{HeadOnly: headOnly})
}

func (r *Replica) query(effects []Effect, to laceunit.Holder) []Effect {
	if to.IsZero() || r.queriesInFlight[to] {
		return effects
	}
	r.queriesInFlight[to] = true
	statusOnly := !r.deltaSource.IsZero()
	if !statusOnly {
		r.deltaSource = to
	}
	return append(effects, Query{
		To:         to,
		StatusOnly: statusOnly,
	})
}

func (r *Replica) pickPeer(ok func(Member) bool) laceunit.Holder {
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

// HandleRead handles the result of a Read whose head was requested at sentAt; content is nil after a head-only read.
func (r *Replica) HandleRead(sentAt time.Duration, version laceunit.Version, content Content) []Effect {
	r.readInFlight, r.platformUnreachable = false, false
	if version < r.entries.version {
		return nil // a head older than the installed version confirms nothing
	}
	var effects []Effect
	if version > r.entries.version {
		if content == nil {
			return nil
		}
		before := r.entries.version
		if err := r.entries.replace(version, content); err != nil {
			return []Effect{Reject{Sender: r.settings.Self, Err: err}}
		}
		effects = append(effects, Install{Document: r.entries.document})
		effects = r.push(effects, before)
	}
	r.confirm(sentAt)
	return effects
}

// push notifies the peers in the region of a new version. Only watchers do so, to avoid a notification of the same
// change from every instance.
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
				Sender:            r.settings.Self,
				Version:           r.entries.version,
				PlatformReachable: true,
			},
			Delta: r.entries.deltaSince(before),
		},
	})
}

func (r *Replica) confirm(at time.Duration) {
	if !r.everConfirmed || at > r.confirmedAt {
		r.everConfirmed, r.confirmedAt = true, at
	}
}

// HandleReadFailure handles the failure of a Read.
func (r *Replica) HandleReadFailure() { r.readInFlight, r.platformUnreachable = false, true }

// HandleQueryFailure handles the failure of a Query.
func (r *Replica) HandleQueryFailure(from laceunit.Holder) {
	if r.queryDone(from) {
		r.deltaFetchFailed = true
	}
}

// queryDone removes a query from those in flight and reports whether it was the one for a delta.
func (r *Replica) queryDone(from laceunit.Holder) bool {
	delete(r.queriesInFlight, from)
	if from.IsZero() || from != r.deltaSource {
		return false
	}
	r.deltaSource = laceunit.Holder{}
	return true
}

// HandleReply handles the reply to a query that was sent at sentAt.
func (r *Replica) HandleReply(sentAt time.Duration, from laceunit.Holder, m Message) []Effect {
	deltaExpected := r.queryDone(from)
	r.deltaFetchFailed = r.deltaFetchFailed || deltaExpected
	if m.Status.Sender != from {
		return nil // another incarnation now listens at that address
	}
	effects := r.applyDelta(m)
	if deltaExpected {
		r.deltaFetchFailed = len(effects) == 0
	} else if m.Status.Version > r.entries.version && r.deltaSource.IsZero() {
		effects = r.query(effects, from)
	}
	r.lastReplies[from] = lastReply{
		queriedAt: sentAt,
		status:    m.Status,
	}
	// The peer measured its staleness after the query was sent, so the difference is never later
	// than the moment that is confirmed.
	if m.Status.Confirmed && m.Status.Staleness >= 0 && m.Status.Version <= r.entries.version {
		r.confirm(sentAt - m.Status.Staleness)
	}
	return effects
}

// HandleNotification handles an unsolicited message. Its network delay is unknown, so it confirms nothing.
func (r *Replica) HandleNotification(m Message) []Effect {
	effects := r.applyDelta(m)
	if m.Status.Version > r.entries.version {
		effects = r.query(effects, m.Status.Sender)
	}
	return effects
}

// HandleQuery returns the reply to a peer's query; a query without a sender is status-only.
func (r *Replica) HandleQuery(now time.Duration, q Status) (Message, []Effect) {
	if q.Sender.IsZero() {
		return Message{Status: r.Status(now)}, nil
	}
	var effects []Effect
	if q.Version > r.entries.version {
		effects = r.query(effects, q.Sender)
	}
	return Message{
		Status: r.Status(now),
		Delta:  r.entries.deltaSince(q.Version),
	}, effects
}

func (r *Replica) applyDelta(m Message) []Effect {
	applied, err := r.entries.apply(m.Delta)
	if err != nil {
		return []Effect{Reject{Sender: m.Status.Sender, Err: err}}
	}
	if !applied {
		return nil
	}
	return []Effect{Install{Document: r.entries.document}}
}
