package laceledger

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// Recovery is what should be done about holders that are gone.
type RecoveryPlan struct {
	// Records close the grants of gone holders and void their abandoned idempotent requests.
	Records []Record
	// Ask lists the open non-idempotent requests of gone holders, whose backend servers may know what became of them.
	Unresolved []RequestState
}

// Recover decides what should be done about holders that are gone.
//
// A holder that is neither live nor gone, or both, is left alone, because the list of instances lags.
// Now is in Unix seconds; a request counts as abandoned when nobody has taken it over for that long.
func (s *State) PlanRecovery(live, gone []laceunit.Holder, now int64, abandon time.Duration) RecoveryPlan {
	lost := map[laceunit.Holder]bool{}
	for _, h := range gone {
		lost[h] = true
	}
	for _, h := range live {
		delete(lost, h)
	}
	var v RecoveryPlan
	for _, b := range s.Balances() {
		for _, g := range b.Grants {
			if lost[g.Holder] && !g.Closed {
				v.Records = append(v.Records, Close{
					Budget: b.Budget,
					Grant:  g.ID,
				})
			}
		}
	}
	for _, r := range s.requests {
		if r.Phase != PhaseOpen || !lost[r.Holder] {
			continue
		}
		if !r.Idempotent {
			v.Unresolved = append(v.Unresolved, *r.existing())
			continue
		}
		if now-r.At >= int64(abandon/time.Second) {
			v.Records = append(v.Records, Void{
				Budget:  r.Budget,
				Request: r.Request,
				Attempt: r.Attempt,
				At:      now,
			})
		}
	}
	slices.SortFunc(v.Unresolved, func(a, b RequestState) int { return a.Request.compare(b.Request) })
	slices.SortStableFunc(v.Records, compareRecovery)
	return v
}

// compareRecovery puts closes first, in their order, and voids by request.
func compareRecovery(a, b Record) int {
	x, first := a.(Void)
	y, second := b.(Void)
	switch {
	case first && second:
		return x.Request.compare(y.Request)
	case first:
		return 1
	case second:
		return -1
	}
	return 0
}

// Retained returns the non-idempotent requests that the state remembers.
func (s *State) NonIdempotentRequests() []Request {
	var requests []Request
	for id, r := range s.requests {
		if !r.Idempotent {
			requests = append(requests, id)
		}
	}
	return requests
}
