package laceledger

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// RecoveryPlan lists the actions for holders that were removed from the membership.
type RecoveryPlan struct {
	// Records close the grants of removed holders and void their abandoned idempotent requests.
	Records []Record
	// Unresolved lists the open non-idempotent requests of removed holders. Their outcome can be queried from their
	// backend servers.
	Unresolved []RequestState
}

// PlanRecovery returns the actions for holders that were removed from the membership.
//
// A holder that is in neither list, or in both, is skipped, because the list of instances may be stale.
// Now is in Unix seconds; a request is abandoned if no attempt has taken it over for the duration abandonAfter.
func (s *State) PlanRecovery(live, removed []laceunit.Holder, now int64, abandonAfter time.Duration) RecoveryPlan {
	dead := map[laceunit.Holder]bool{}
	for _, h := range removed {
		dead[h] = true
	}
	for _, h := range live {
		delete(dead, h)
	}
	var plan RecoveryPlan
	for _, b := range s.Balances() {
		for _, g := range b.Grants {
			if dead[g.Holder] && !g.Closed {
				plan.Records = append(plan.Records, Close{
					Budget: b.Budget,
					Grant:  g.ID,
				})
			}
		}
	}
	for _, r := range s.requests {
		if r.Phase != PhaseOpen || !dead[r.Holder] {
			continue
		}
		if !r.Idempotent {
			plan.Unresolved = append(plan.Unresolved, *r.cloneState())
			continue
		}
		if now-r.At >= int64(abandonAfter/time.Second) {
			plan.Records = append(plan.Records, Void{
				Budget:  r.Budget,
				Request: r.Request,
				Attempt: r.Attempt,
				At:      now,
			})
		}
	}
	slices.SortFunc(plan.Unresolved, func(a, b RequestState) int { return a.Request.compare(b.Request) })
	slices.SortStableFunc(plan.Records, compareRecoveryRecords)
	return plan
}

// compareRecoveryRecords orders closes before voids; closes keep their order, and voids are ordered by request.
func compareRecoveryRecords(a, b Record) int {
	voidA, aIsVoid := a.(Void)
	voidB, bIsVoid := b.(Void)
	switch {
	case aIsVoid && bIsVoid:
		return voidA.Request.compare(voidB.Request)
	case aIsVoid:
		return 1
	case bIsVoid:
		return -1
	}
	return 0
}

// NonIdempotentRequests returns the non-idempotent requests in the state, open or retained.
func (s *State) NonIdempotentRequests() []Request {
	var requests []Request
	for id, r := range s.requests {
		if !r.Idempotent {
			requests = append(requests, id)
		}
	}
	return requests
}
