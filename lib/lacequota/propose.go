package lacequota

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// urgentDelay is how long the write of a proposal may be delayed while requests wait for it: long enough that the
	// requests of one burst at several instances share a write, short beside the 240 ms that a request waits.
	urgentDelay = 20 * time.Millisecond
	// lowDelay is the same when the limit is nearly used up, or tokens are returned that other instances lack.
	lowDelay = 300 * time.Millisecond
	// reportDelay is the same for reports, which ride along with other writes of the group. Together with reportInterval
	// it is well below CeilingTTL, since a report that is older at a restart reclaims nothing.
	reportDelay = time.Second
	// reportInterval is the time between two reports of an account that is used.
	reportInterval = time.Second
	// idleInterval is the time between two checks whether an account without requests has tokens to return.
	idleInterval = 2 * time.Second
	// unavailableDelay is how long after an answer that the tokens of waiting requests are not available they are asked
	// for again.
	unavailableDelay = 200 * time.Millisecond
	// shortageDuration is how long after the last notice an instance holds nothing idle of an account that others lack.
	shortageDuration = 2 * time.Second
)

// MayAsk reports whether a writer may have tokens for requests that are not covered.
func (w *Wallet) MayAsk(now time.Time, account laceunit.AccountID) bool {
	return now.Sub(w.portion(account).unavailableAt) >= unavailableDelay
}

// ProposalDelay returns how long the next proposal of an account may be delayed, and whether one is due.
func (w *Wallet) ProposalDelay(now time.Time, at Instant, account laceunit.AccountID) (time.Duration, bool) {
	p := w.portion(account)
	age := now.Sub(p.updatedAt)
	holds := p.cap > p.used || p.used != p.reported
	switch {
	case !p.prepaid:
		return 0, false
	case w.mustRestate(p):
		return urgentDelay, now.Sub(p.checkedAt) >= lowDelay
	case p.unmet > 0 && w.MayAsk(now, account):
		return urgentDelay, true
	case !holds:
		return 0, false
	case now.Before(p.shortUntil) && now.Sub(p.checkedAt) >= lowDelay, w.isLow(p, at) && age >= lowDelay:
		return lowDelay, true
	case p.updateDue, p.used != p.reported && age >= reportInterval, now.Sub(p.checkedAt) >= idleInterval:
		return reportDelay, true
	}
	return 0, false
}

// isLow reports whether the limit is nearly used up by requests since the last update.
func (w *Wallet) isLow(p *portion, at Instant) bool {
	limit := w.limit(p, at)
	return limit-p.used-p.reserved < (limit-p.reported)/lowDivisor && p.used != p.reported
}

// Propose returns a proposal for an account and whether it changes anything of importance. A lower cap takes effect at
// once; a higher one in Accept.
func (w *Wallet) Propose(
	now time.Time, at Instant, account laceunit.AccountID, fleet Fleet, policy HeadroomPolicy,
) (Proposal, bool) {
	p := w.portion(account)
	st := p.standing
	held := p.cap - p.chargedElsewhere
	minCap := max(p.used+p.reserved-p.chargedElsewhere, 0)
	want := minCap + w.headroom(now, p, st, fleet, policy)
	if st.Committed > p.paid {
		// The total was lowered; the caps follow it.
		want = min(want, max(p.paid-st.Committed+st.Own.Cap, minCap))
	}
	if change := want - held; change < 0 && !isMaterial(change, held-minCap) {
		want = held
	}
	p.checkedAt = now
	if !w.mustRestate(p) && p.used == p.reported && p.need() == 0 && !p.updateDue && !isMaterial(want-held, max(held, want)-minCap) {
		return Proposal{}, false
	}
	soft := max(w.softLimit(now, p, want-minCap, fleet), p.need())
	x := Proposal{
		Account: account,
		Sender:  Sender{Holder: w.self, StartedAt: w.startedAt},
		Least:   minCap,
		Floor:   min(held, want),
		Want:    want,
		Need:    p.need(),
		Used:    max(p.used-p.chargedElsewhere, 0),
		Rate:    p.rate(now),
		Ceiling: min(minCap+soft, want),
		SentAt:  p.sentAt.after(at).stored(),
		Fresh:   !p.allocated,
		Paid:    p.paid,
		Version: p.version,
		Era:     w.era,
		Restate: p.era < w.era,
	}
	// Nothing is left to spend, so the stored budget needs no allocation of this instance.
	x.Close = policy == HeadroomPending && x.Want == x.Used && !x.Restate
	p.cap, p.sentAt = x.Floor+p.chargedElsewhere, x.SentAt
	p.ceilings = p.ceilings.sent(x.SentAt, x.Ceiling+p.chargedElsewhere)
	p.updateDue, p.sentUsed = false, p.used
	return x, true
}

// Accept applies the answer to a proposal. Only the answer to the newest proposal or write changes what may be spent,
// since the store may hold a later, lower cap by the time an older answer arrives.
func (w *Wallet) Accept(now time.Time, x Proposal, answer Answer) {
	p := w.portion(x.Account)
	st := answer.Standing
	if p.sentAt != x.SentAt || x.Era != w.era || answer.Era != 0 && answer.Era != w.era {
		// An answer of an earlier era may be of a write that the store has lost. Older writers send none.
		return
	}
	p.adoptTotal(st.Paid, st.Version)
	p.standing, p.lenders, p.updatedAt = st, answer.Lenders, now
	p.othersSpent, p.lost = st.Spent-st.Own.Used, st.Lost
	p.unallocated, p.usedElsewhere = max(st.Paid-st.Committed, 0), st.OthersRate > 0
	p.unmet = 0
	if answer.Shortage {
		p.shortUntil = now.Add(shortageDuration)
	}
	if answer.Outcome == OutcomeUnavailable {
		p.unavailableAt = now
	}
	stored := answer.Outcome == OutcomeApplied || answer.Outcome == OutcomeUnavailable
	switch {
	case answer.Outcome == OutcomeClosed && st.Found:
		// The stored cap is below the one that this instance keeps to; only the stored one is counted.
		p.adoptCap(now, min(p.cap-p.chargedElsewhere, st.Own.Cap))
	case answer.Outcome == OutcomeClosed, stored && x.Close:
		// Everything that may be spent here is counted as spent in the stored budget.
		p.charge(now, p.cap-p.chargedElsewhere)
		p.ceilings, p.allocated = nil, false
		p.updateDue = p.updateDue || !x.Close
	case stored && st.Found && st.Own.SentAt == x.SentAt:
		p.adoptCap(now, st.Own.Cap)
		p.ceilings = ceilings(nil).sent(x.SentAt, st.Own.Ceiling+p.chargedElsewhere)
		p.allocated = true
		p.reported = p.sentUsed
	default:
		// The answer may come from an outdated copy, whose caps were raised later under a higher total.
		return
	}
	p.era = w.era
	if st.Paid >= st.Committed && stored {
		p.paidBasis = st.Paid
	}
}

// adoptCap sets the cap to a stored one. A stored cap is below what is spent and reserved only if another instance
// counted an earlier allocation as spent and an older proposal or a copy was stored after that. The difference is then
// covered by what was counted; requesting a cap for it again would raise the sum of all caps above what was paid.
func (p *portion) adoptCap(now time.Time, stored laceunit.Tokens) {
	p.charge(now, max(p.used+p.reserved-p.chargedElsewhere-stored, 0))
	p.cap = stored + p.chargedElsewhere
}
