package laceledger

func (d *draft) applyOffline(b *budget, r Offline) Verdict {
	if r.Request.Account != b.account {
		return Verdict{Result: Invalid}
	}
	q := d.request(r.Request)
	if q == nil {
		return d.addOffline(b, r, nil)
	}
	same := q.Attempt == r.Attempt
	switch {
	case q.other(b, r.Digest, r.Idempotent):
		return q.refuse(Conflict)
	case q.Phase == PhaseSettled && same:
		return q.refuse(Repeated)
	case q.Phase == PhaseSettled:
		return q.refuse(Duplicate)
	case q.Phase == PhaseVoid && same && !r.Finished:
		return q.refuse(Superseded)
	case q.Phase == PhaseVoid:
		// A finished run was delivered, so it is billed even if it had been given up.
		return d.addOffline(b, r, nil)
	case same && r.Finished:
		return d.settle(b, q, r.Tokens, r.Response)
	case same:
		return q.refuse(Repeated)
	case !r.Finished:
		return q.refuse(Duplicate)
	}
	return d.addOffline(b, r, q)
}

// addOffline reserves or bills against the grant that the record names; open is another attempt's reservation, which ends.
func (d *draft) addOffline(b *budget, r Offline, open *request) Verdict {
	g := d.grant(b, r.Grant)
	switch {
	case g == nil && r.Idempotent:
		return Verdict{Result: Closed}
	case g == nil:
		// The grant was released too early, or the call costs nothing. The id must be known all the same, because the
		// call has run; nothing can be billed any more.
		g = &grant{}
	case g.free() < r.Tokens && r.Idempotent:
		return Verdict{
			Result:  InsufficientTokens,
			Offline: g.Offline,
		}
	}
	r.Tokens = min(r.Tokens, g.free())
	n := request{RequestState: RequestState{
		Request:    b.request(r.Request),
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
		n.Phase, n.Tokens, n.Response = PhaseSettled, r.Tokens, storedAnswer(r.Response, r.Idempotent)
		v.Granted = r.Tokens
		d.charge(b, g, r.Tokens)
	} else {
		n.offline = true
		g.Reserved += r.Tokens
	}
	v.Offline = g.Offline
	if open != nil {
		d.unreserve(b, open)
	}
	d.put(n)
	return v
}
