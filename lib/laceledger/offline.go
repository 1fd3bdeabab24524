package laceledger

func (tx *transaction) applyOffline(b *budget, r Offline) Verdict {
	if r.Request.Account != b.account {
		return Verdict{Result: Invalid}
	}
	existing := tx.request(r.Request)
	if existing == nil {
		return tx.addOffline(b, r, nil)
	}
	sameAttempt := existing.Attempt == r.Attempt
	switch {
	case existing.conflicts(b, r.Digest, r.Idempotent):
		return existing.verdict(Conflict)
	case existing.Phase == PhaseSettled && sameAttempt:
		return existing.verdict(Repeated)
	case existing.Phase == PhaseSettled:
		return existing.verdict(Duplicate)
	case existing.Phase == PhaseVoid && sameAttempt && !r.Finished:
		return existing.verdict(Superseded)
	case existing.Phase == PhaseVoid:
		// The response of a finished run was delivered, so it is billed even though the request was voided.
		return tx.addOffline(b, r, nil)
	case sameAttempt && r.Finished:
		return tx.settle(b, existing, r.Tokens, r.Response)
	case sameAttempt:
		return existing.verdict(Repeated)
	case !r.Finished:
		return existing.verdict(Duplicate)
	}
	return tx.addOffline(b, r, existing)
}

// addOffline reserves or bills tokens of the grant that the record names. A non-nil otherAttempt is the open request of
// another attempt, whose reservation is released.
func (tx *transaction) addOffline(b *budget, r Offline, otherAttempt *request) Verdict {
	g := tx.grant(b, r.Grant)
	switch {
	case g == nil && r.Idempotent:
		return Verdict{Result: Closed}
	case g == nil:
		// The grant was released too early, or the request costs nothing. Nothing can be billed any more, but the request
		// id must still be recorded, because the request has run.
		g = &grant{}
	case g.free() < r.Tokens && r.Idempotent:
		return Verdict{
			Result:  InsufficientTokens,
			Offline: g.Offline,
		}
	}
	r.Tokens = min(r.Tokens, g.free())
	added := request{RequestState: RequestState{
		Request:    b.internRequest(r.Request),
		Budget:     b.id,
		Digest:     r.Digest,
		Phase:      PhaseOpen,
		Attempt:    r.Attempt,
		Grant:      g.ID,
		Holder:     g.Holder,
		Server:     r.Server,
		Ceiling:    r.Tokens,
		Idempotent: r.Idempotent,
	}}
	v := Verdict{Result: Accepted}
	g.Offline = max(0, g.Offline-r.Tokens)
	if r.Finished {
		added.Phase, added.Tokens, added.Response = PhaseSettled, r.Tokens, storableResponse(r.Response, r.Idempotent)
		v.Granted = r.Tokens
		tx.charge(b, g, r.Tokens)
	} else {
		added.offline = true
		g.Reserved += r.Tokens
	}
	v.Offline = g.Offline
	if otherAttempt != nil {
		tx.unreserve(b, otherAttempt)
	}
	tx.putRequest(added)
	return v
}
