package lacemirror

import (
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// The times in which an instance that stands by has a change. Their sum is the budget in docs/platform.md: a partner that has
// lost the store is noticed within freshAge, the round and the question after it, then the store is asked.
const (
	// RoundInterval is how often news is asked for.
	PollInterval = 300 * time.Millisecond
	// QuestionTimeout bounds one question to a partner.
	QueryTimeout = 500 * time.Millisecond
	// freshAge is the age from which news of one partner is not enough and others are asked as well. That of a sound partner
	// is younger: its watch asks the store again 0.4 s after each event, and a round later its news is up to 1.2 s old.
	freshAge = 1300 * time.Millisecond
	// staleAge is the age from which the store itself is asked.
	staleAge = 1700 * time.Millisecond
	// answerAge is how old an answer of the store may be that shows it within reach.
	answerAge = 300 * time.Millisecond
	// returnDelay is how long partners have, after the store's return from an outage, until they are current again. Without
	// it each outage would end with the whole fleet at the store.
	returnDelay = time.Second
	// silentAge is the age of the last answer from which the store counts as lost without a failed call.
	silentAge = 2600 * time.Millisecond
	// steadyRounds is how many rounds in a row a partner has to be fresh until the store is left alone.
	steadyRounds = 3
	// others is how many partners are asked beside the usual one when its news is old.
	others = 2
	// callsPerSwitch is how many calls an instance sends that switches to the store, one for each copy.
	callsPerSwitch = 3
	// switchRate is how many of these calls a second a whole fleet may send; the smallest stores take 2,000 reads.
	switchRate = 1500
)

// View is what an instance that stands by knows when it decides where its news comes from.
type View struct {
	Now laceunit.Uptime
	// Reached is the newest moment at which all copies are known to have been current.
	SyncedAt laceunit.Uptime
	// Partners are the instances that take callers, the near ones first; Near is how many of them are near.
	Peers     []laceunit.Address
	NearPeers int
	// Members is how many instances the fleet has.
	FleetSize    int
	StoreContact laceplatform.Contact
}

// Origin is where the news of an instance comes from.
type Decision struct {
	// Indirect is true when partners tell the news and the store is left alone.
	ViaPeers bool
	Peer     laceunit.Address
	// Renew is true when a call is needed that shows whether the store is within reach; the decision is repeated after it.
	ProbeStore bool
	// Wait is how long the store is left alone before the decision is repeated.
	Wait time.Duration
}

// Freshness decides where the copies of an instance that stands by are kept current from: an instance that takes callers, or
// the store. An answer counts by the age of its news alone. The zero value starts with the store.
type SourceSelector struct {
	partner  laceunit.Address
	indirect bool
	// steady counts the rounds in a row in which the partner was fresh.
	steady int
	// missed is true when the partner did not answer in the last round.
	missed bool
	// due is when the store is asked that was found within reach; zero when it need not be.
	due laceunit.Uptime
	// told are the partners that answered in this round, with the newest moment at which each was current.
	told map[laceunit.Address]laceunit.Uptime
}

// Ask begins a round and returns the partners to ask.
func (f *SourceSelector) SelectPeers(v View, random func(n int) int) []laceunit.Address {
	f.told = map[laceunit.Address]laceunit.Uptime{}
	if !slices.Contains(v.Peers, f.partner) {
		f.partner = ""
	}
	if f.partner == "" {
		f.partner = candidate(v.Peers, v.NearPeers, nil, random)
	}
	if f.partner == "" {
		return nil
	}
	asked := []laceunit.Address{f.partner}
	if !f.indirect || !f.missed && v.Now.Sub(v.SyncedAt) <= freshAge {
		return asked
	}
	more := others
	if v.StoreContact.Failing {
		// In an outage nobody knows more.
		more = 1
	}
	for i := range more {
		near := len(v.Peers)
		if i == 0 {
			near = v.NearPeers
		}
		if a := candidate(v.Peers, near, asked, random); a != "" {
			asked = append(asked, a)
		}
	}
	return asked
}

// candidate returns one of the first partners at random that is not among those asked, or one of all if there is none.
func candidate(partners []laceunit.Address, first int, asked []laceunit.Address, random func(n int) int) laceunit.Address {
	for _, part := range [][]laceunit.Address{partners[:first], partners} {
		open := slices.DeleteFunc(slices.Clone(part), func(a laceunit.Address) bool { return slices.Contains(asked, a) })
		if len(open) > 0 {
			return open[random(len(open))]
		}
	}
	return ""
}

// Hear takes in that a partner answered and since when it may not be current any more.
func (f *SourceSelector) RecordAnswer(partner laceunit.Address, reached laceunit.Uptime) {
	f.told[partner] = reached
}

// Decide ends a round.
func (f *SourceSelector) Decide(v View, random func(n int) int) Decision {
	_, heard := f.told[f.partner]
	f.missed = !heard
	best, answered := f.best()
	if answered && v.Now.Sub(f.told[best]) <= staleAge {
		f.partner, f.due = best, 0
		f.steady++
		f.indirect = f.indirect || f.steady >= steadyRounds
		return f.origin()
	}
	f.steady = 0
	if !f.indirect {
		f.partner = ""
		// Nothing is lost by leaving a store alone that does not answer; renewals of the lease show its return.
		f.indirect = answered && (v.StoreContact.Failing || v.Now.Sub(v.StoreContact.Answered) > silentAge)
		return f.origin()
	}
	if v.Now.Sub(v.SyncedAt) <= staleAge {
		return f.origin()
	}
	f.partner = ""
	return f.leave(v, random)
}

// leave decides when the store is asked in place of partners whose news is old.
func (f *SourceSelector) leave(v View, random func(n int) int) Decision {
	o := f.origin()
	if v.StoreContact.Failing {
		f.due = 0
	}
	if f.due == 0 {
		if v.StoreContact.Failing || v.Now.Sub(v.StoreContact.Answered) > answerAge {
			o.ProbeStore = !v.StoreContact.Failing
			return o
		}
		spread := time.Duration(v.FleetSize) * callsPerSwitch * time.Second / switchRate
		f.due = max(v.Now, v.StoreContact.Since.Add(returnDelay)).Add(time.Duration(random(int(spread) + 1)))
	}
	if o.Wait = f.due.Sub(v.Now); o.Wait > 0 {
		return o
	}
	f.indirect, f.due = false, 0
	return f.origin()
}

// best returns the partner of this round with the newest news.
func (f *SourceSelector) best() (laceunit.Address, bool) {
	best, found := f.partner, false
	for a, at := range f.told {
		if !found || at > f.told[best] || at == f.told[best] && a == f.partner {
			best, found = a, true
		}
	}
	return best, found
}

func (f *SourceSelector) origin() Decision {
	return Decision{
		ViaPeers: f.indirect,
		Peer:     f.partner,
	}
}
