package lacemirror

import (
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Intervals and ages that bound how late a change reaches an instance that does not watch the store. Their sum is the
// budget in docs/platform.md: the loss of the store by a peer is detected within extraPeersAge, one round and one
// query, then the store is called.
const (
	// PollInterval is the interval at which peers are polled for updates.
	PollInterval = 300 * time.Millisecond
	// QueryTimeout bounds one query to a peer.
	QueryTimeout = 500 * time.Millisecond
	// extraPeersAge is the age of the updates of a peer from which other peers are queried as well. A healthy peer's
	// are younger: its watch polls the store again 0.4 s after each event, and a round later its updates are up to
	// 1.2 s old.
	extraPeersAge = 1300 * time.Millisecond
	// staleAge is the age from which updates of peers are stale, and the store itself is called.
	staleAge = 1700 * time.Millisecond
	// maxReachableAge is the maximum age of the last response of the store at which it counts as reachable.
	maxReachableAge = 300 * time.Millisecond
	// recoveryDelay is how long peers have after the recovery of the store until they are current again. Without it
	// the whole fleet would call the store after each outage.
	recoveryDelay = time.Second
	// storeLostAge is the age of the last response from which the store counts as lost even without a failed call.
	storeLostAge = 2600 * time.Millisecond
	// minFreshRounds is for how many rounds in a row a peer has to be fresh until it replaces the store.
	minFreshRounds = 3
	// extraPeers is how many peers are queried besides the usual one when its updates are old.
	extraPeers = 2
	// storeCallsPerSwitch is how many calls an instance sends when it switches to the store, one for each copy.
	storeCallsPerSwitch = 3
	// fleetCallRate is how many of these calls per second the whole fleet may send; the smallest stores handle 2,000
	// reads.
	fleetCallRate = 1500
)

// View is the input of a decision: what an instance that does not watch the store currently observes.
type View struct {
	Now laceunit.Uptime
	// SyncedAt is the latest time at which all copies are known to have been current.
	SyncedAt laceunit.Uptime
	// Peers are the instances that watch the store, the near ones first; NearPeers is how many of them are near.
	Peers        []laceunit.Address
	NearPeers    int
	FleetSize    int
	StoreContact laceplatform.Connectivity
}

// Decision is where an instance gets its updates from.
type Decision struct {
	// ViaPeers is true when peers supply updates and the store is not watched.
	ViaPeers bool
	Peer     laceunit.Address
	// ProbeStore is true when a call is needed that shows whether the store is reachable; the decision is repeated
	// after it.
	ProbeStore bool
	// Wait is how long to wait until the decision is repeated, without a call to the store.
	Wait time.Duration
}

// SourceSelector decides where an instance that does not watch the store gets its updates from: a peer that watches
// it, or in its absence the store itself. Peers are judged only by the age of their updates, not by whether they
// respond. The zero value starts with the store.
type SourceSelector struct {
	peer     laceunit.Address
	viaPeers bool
	// freshRounds counts the consecutive rounds in which the peer was fresh.
	freshRounds int
	// peerMissed is true when the peer did not respond in the last round.
	peerMissed bool
	// switchAt is when to switch to the store, which was found reachable; zero when no switch is due.
	switchAt laceunit.Uptime
	// answers are the peers that responded in this round, with the latest time at which each was current.
	answers map[laceunit.Address]laceunit.Uptime
}

// SelectPeers begins a round and returns the peers to query.
func (s *SourceSelector) SelectPeers(v View, random func(n int) int) []laceunit.Address {
	s.answers = map[laceunit.Address]laceunit.Uptime{}
	if !slices.Contains(v.Peers, s.peer) {
		s.peer = ""
	}
	if s.peer == "" {
		s.peer = pickPeer(v.Peers, v.NearPeers, nil, random)
	}
	if s.peer == "" {
		return nil
	}
	selected := []laceunit.Address{s.peer}
	if !s.viaPeers || !s.peerMissed && v.Now.Sub(v.SyncedAt) <= extraPeersAge {
		return selected
	}
	extra := extraPeers
	if v.StoreContact.Failing {
		// During an outage no peer has newer data.
		extra = 1
	}
	for i := range extra {
		near := len(v.Peers)
		if i == 0 {
			near = v.NearPeers
		}
		if a := pickPeer(v.Peers, near, selected, random); a != "" {
			selected = append(selected, a)
		}
	}
	return selected
}

// pickPeer returns a random peer that is not excluded, one of the near ones if possible.
func pickPeer(
	peers []laceunit.Address, nearPeers int, excluded []laceunit.Address, random func(n int) int,
) laceunit.Address {
	for _, group := range [][]laceunit.Address{peers[:nearPeers], peers} {
		eligible := slices.DeleteFunc(slices.Clone(group), func(a laceunit.Address) bool {
			return slices.Contains(excluded, a)
		})
		if len(eligible) > 0 {
			return eligible[random(len(eligible))]
		}
	}
	return ""
}

// RecordAnswer records that a peer has responded, and the latest time at which it was current.
func (s *SourceSelector) RecordAnswer(peer laceunit.Address, syncedAt laceunit.Uptime) {
	s.answers[peer] = syncedAt
}

// Decide ends a round.
func (s *SourceSelector) Decide(v View, random func(n int) int) Decision {
	_, peerAnswered := s.answers[s.peer]
	s.peerMissed = !peerAnswered
	best, found := s.freshestPeer()
	if found && v.Now.Sub(s.answers[best]) <= staleAge {
		s.peer, s.switchAt = best, 0
		s.freshRounds++
		s.viaPeers = s.viaPeers || s.freshRounds >= minFreshRounds
		return s.decision()
	}
	s.freshRounds = 0
	if !s.viaPeers {
		s.peer = ""
		// Nothing is lost by not watching a store that does not respond; lease renewals detect its recovery.
		s.viaPeers = found && (v.StoreContact.Failing || v.Now.Sub(v.StoreContact.LastReachable) > storeLostAge)
		return s.decision()
	}
	if v.Now.Sub(v.SyncedAt) <= staleAge {
		return s.decision()
	}
	s.peer = ""
	return s.switchToStore(v, random)
}

// switchToStore decides when to switch to the store because the updates of peers are stale.
func (s *SourceSelector) switchToStore(v View, random func(n int) int) Decision {
	d := s.decision()
	if v.StoreContact.Failing {
		s.switchAt = 0
	}
	if s.switchAt == 0 {
		if v.StoreContact.Failing || v.Now.Sub(v.StoreContact.LastReachable) > maxReachableAge {
			d.ProbeStore = !v.StoreContact.Failing
			return d
		}
		spread := time.Duration(v.FleetSize) * storeCallsPerSwitch * time.Second / fleetCallRate
		s.switchAt = max(v.Now,
			v.StoreContact.ReachableSince.Add(recoveryDelay)).Add(time.Duration(random(int(spread) + 1)))
	}
	if d.Wait = s.switchAt.Sub(v.Now); d.Wait > 0 {
		return d
	}
	s.viaPeers, s.switchAt = false, 0
	return s.decision()
}

// freshestPeer returns the peer with the newest updates in this round; the current peer wins a tie.
func (s *SourceSelector) freshestPeer() (laceunit.Address, bool) {
	best, found := s.peer, false
	for a, at := range s.answers {
		if !found || at > s.answers[best] || at == s.answers[best] && a == s.peer {
			best, found = a, true
		}
	}
	return best, found
}

func (s *SourceSelector) decision() Decision {
	return Decision{
		ViaPeers: s.viaPeers,
		Peer:     s.peer,
	}
}
