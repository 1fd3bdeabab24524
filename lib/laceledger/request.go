package laceledger

import "lacewingcove/lib/laceunit"

// verdict returns a verdict with the current state of the request.
func (r *request) verdict(result Result) Verdict {
	v := Verdict{
		Result:   result,
		Existing: r.cloneState(),
	}
	if r.Phase == PhaseSettled {
		v.Granted = r.Tokens
	}
	return v
}

// conflicts reports whether a record reuses the id for a different request.
// A reopened request must keep its retention class, because replicas that restore it from segments rely on it.
func (r *request) conflicts(b *budget, digest laceunit.Digest, idempotent bool) bool {
	return r.Budget != b.id || r.Digest != digest || r.Idempotent != idempotent
}

// internRequest replaces the client account in a request identifier by the budget's copy of the string.
// Each decoded record has its own copy of the string; keeping one for each retained request would waste memory.
func (b *budget) internRequest(r Request) Request {
	r.Account = b.account
	return r
}

func (tx *transaction) applyIntent(b *budget, r Intent) Verdict {
	if r.Request.Account != b.account {
		return Verdict{Result: Invalid}
	}
	if existing := tx.request(r.Request); existing != nil {
		switch {
		case existing.conflicts(b, r.Digest, r.Idempotent):
			return existing.verdict(Conflict)
		case existing.Phase == PhaseOpen && existing.Attempt == r.Attempt:
			return existing.verdict(Repeated)
		case existing.Phase != PhaseVoid:
			return existing.verdict(Duplicate)
		case existing.Attempt == r.Attempt:
			// A delayed duplicate of the intent must not reopen a request whose attempt has ended.
			return existing.verdict(Superseded)
		}
	}
	g := tx.grant(b, r.Grant)
	if g == nil || g.Closed {
		return Verdict{Result: Closed}
	}
	if g.free() < r.Ceiling {
		return Verdict{Result: InsufficientTokens}
	}
	g.Reserved += r.Ceiling
	tx.putRequest(request{RequestState: RequestState{
		Request:    b.internRequest(r.Request),
		Budget:     b.id,
		Digest:     r.Digest,
		Phase:      PhaseOpen,
		Attempt:    r.Attempt,
		Grant:      g.ID,
		Holder:     g.Holder,
		Server:     r.Server,
		Ceiling:    r.Ceiling,
		Idempotent: r.Idempotent,
	}})
	return Verdict{
		Result:  Accepted,
		Offline: g.Offline,
	}
}

func (tx *transaction) applyTakeover(b *budget, r Takeover) Verdict {
	existing := tx.request(r.Request)
	switch {
	case existing == nil || existing.Budget != b.id:
		return Verdict{Result: Missing}
	case existing.Phase == PhaseSettled:
		return existing.verdict(Duplicate)
	case existing.Phase == PhaseVoid:
		return existing.verdict(Superseded)
	case existing.Attempt == r.Attempt:
		return existing.verdict(Repeated)
	case existing.Attempt != r.From:
		return existing.verdict(Superseded)
	case !existing.Idempotent:
		return existing.verdict(Invalid)
	}
	g := tx.grant(b, r.Grant)
	if g == nil || g.Closed {
		return existing.verdict(Closed)
	}
	if r.Grant != existing.Grant && g.free() < existing.Ceiling {
		return existing.verdict(InsufficientTokens)
	}
	tx.unreserve(b, existing)
	g.Reserved += existing.Ceiling
	updated := *existing
	updated.Attempt, updated.Grant, updated.Holder, updated.Server = r.Attempt, g.ID, g.Holder, r.Server
	updated.offline = false
	tx.putRequest(updated)
	return Verdict{
		Result:  Accepted,
		Offline: g.Offline,
	}
}

func (tx *transaction) applySettle(b *budget, r Settle) Verdict {
	existing := tx.request(r.Request)
	switch {
	case existing == nil || existing.Budget != b.id:
		return Verdict{Result: Missing}
	case existing.Attempt != r.Attempt || existing.Phase == PhaseVoid:
		return existing.verdict(Superseded)
	case existing.Phase == PhaseSettled:
		return existing.verdict(Repeated)
	}
	return tx.settle(b, existing, r.Tokens, r.Response)
}

// settle bills an open request from its reservation.
func (tx *transaction) settle(b *budget, existing *request, tokens laceunit.Tokens, response *Response) Verdict {
	billed := min(tokens, existing.Ceiling)
	tx.bill(b, existing, billed)
	updated := *existing
	updated.Phase, updated.Tokens, updated.Response = PhaseSettled, billed,
		storableResponse(response, existing.Idempotent)
	updated.offline = false
	tx.putRequest(updated)
	return Verdict{
		Result:  Accepted,
		Granted: billed,
	}
}

// stripUnstoredResponse removes a response that the ledger doesn't store, to save space in the log.
func stripUnstoredResponse(r Record) Record {
	switch r := r.(type) {
	case Settle:
		r.Response = storableResponse(r.Response, false)
		return r
	case Offline:
		r.Response = storableResponse(r.Response, r.Idempotent)
		return r
	}
	return r
}

// storableResponse returns a copy of the response, or nil if the ledger doesn't store it.
func storableResponse(r *Response, idempotent bool) *Response {
	if r == nil || idempotent || len(r.Body) > MaxResponseBytes || len(r.ContentType) > MaxStringBytes {
		return nil
	}
	return r.clone()
}

func (tx *transaction) applyVoid(b *budget, r Void) Verdict {
	existing := tx.request(r.Request)
	switch {
	case existing == nil && r.Digest != "" && r.Request.Account == b.account:
		return tx.voidBeforeIntent(b, r)
	case existing == nil || existing.Budget != b.id:
		return Verdict{Result: Missing}
	case existing.Attempt != r.Attempt || existing.Phase == PhaseSettled:
		return existing.verdict(Superseded)
	case existing.Phase == PhaseVoid:
		return existing.verdict(Repeated)
	}
	tx.unreserve(b, existing)
	updated := *existing
	updated.Phase = PhaseVoid
	updated.offline = false
	tx.putRequest(updated)
	return Verdict{Result: Accepted}
}

// voidBeforeIntent records the void of a request whose intent has not arrived but may still be in flight.
func (tx *transaction) voidBeforeIntent(b *budget, r Void) Verdict {
	tx.putRequest(request{RequestState: RequestState{
		Request:    r.Request,
		Budget:     b.id,
		Digest:     r.Digest,
		Phase:      PhaseVoid,
		Attempt:    r.Attempt,
		Idempotent: r.Idempotent,
	}})
	return Verdict{Result: Accepted}
}
