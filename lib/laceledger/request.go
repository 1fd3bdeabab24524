package laceledger

import "lacewingcove/lib/laceunit"

// refuse returns a verdict that shows the request as it stands.
func (r *request) refuse(result Result) Verdict {
	v := Verdict{
		Result:   result,
		Existing: r.existing(),
	}
	if r.Phase == PhaseSettled {
		v.Granted = r.Tokens
	}
	return v
}

// other reports whether a record reuses the id of another request.
// A request keeps its retention class when it is opened again, because replicas that restore it from segments rely on it.
func (r *request) other(b *budget, digest laceunit.Digest, idempotent bool) bool {
	return r.Budget != b.id || r.Digest != digest || r.Idempotent != idempotent
}

// request returns a request's name with the budget's own string for the client account.
// Decoded records have strings of their own, which would add up over the remembered requests.
func (b *budget) request(r Request) Request {
	r.Account = b.account
	return r
}

func (d *draft) applyIntent(b *budget, r Intent) Verdict {
	if r.Request.Account != b.account {
		return Verdict{Result: Invalid}
	}
	if q := d.request(r.Request); q != nil {
		switch {
		case q.other(b, r.Digest, r.Idempotent):
			return q.refuse(Conflict)
		case q.Phase == PhaseOpen && q.Attempt == r.Attempt:
			return q.refuse(Repeated)
		case q.Phase != PhaseVoid:
			return q.refuse(Duplicate)
		case q.Attempt == r.Attempt:
			// A delayed copy of an intent must not reopen a request that nobody runs any more.
			return q.refuse(Superseded)
		}
	}
	g := d.grant(b, r.Grant)
	if g == nil || g.Closed {
		return Verdict{Result: Closed}
	}
	if g.free() < r.Ceiling {
		return Verdict{Result: InsufficientTokens}
	}
	g.Reserved += r.Ceiling
	d.put(request{RequestState: RequestState{
		Request:    b.request(r.Request),
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

func (d *draft) applyTakeover(b *budget, r Takeover) Verdict {
	q := d.request(r.Request)
	switch {
	case q == nil || q.Budget != b.id:
		return Verdict{Result: Missing}
	case q.Phase == PhaseSettled:
		return q.refuse(Duplicate)
	case q.Phase == PhaseVoid:
		return q.refuse(Superseded)
	case q.Attempt == r.Attempt:
		return q.refuse(Repeated)
	case q.Attempt != r.From:
		return q.refuse(Superseded)
	case !q.Idempotent:
		return q.refuse(Invalid)
	}
	g := d.grant(b, r.Grant)
	if g == nil || g.Closed {
		return q.refuse(Closed)
	}
	if r.Grant != q.Grant && g.free() < q.Ceiling {
		return q.refuse(InsufficientTokens)
	}
	d.unreserve(b, q)
	g.Reserved += q.Ceiling
	n := *q
	n.Attempt, n.Grant, n.Holder, n.Server = r.Attempt, g.ID, g.Holder, r.Server
	n.offline = false
	d.put(n)
	return Verdict{
		Result:  Accepted,
		Offline: g.Offline,
	}
}

func (d *draft) applySettle(b *budget, r Settle) Verdict {
	q := d.request(r.Request)
	switch {
	case q == nil || q.Budget != b.id:
		return Verdict{Result: Missing}
	case q.Attempt != r.Attempt || q.Phase == PhaseVoid:
		return q.refuse(Superseded)
	case q.Phase == PhaseSettled:
		return q.refuse(Repeated)
	}
	return d.settle(b, q, r.Tokens, r.Response)
}

// settle bills an open request against its reservation.
func (d *draft) settle(b *budget, q *request, tokens laceunit.Tokens, answer *Response) Verdict {
	billed := min(tokens, q.Ceiling)
	d.bill(b, q, billed)
	n := *q
	n.Phase, n.Tokens, n.Response = PhaseSettled, billed, storedAnswer(answer, q.Idempotent)
	n.offline = false
	d.put(n)
	return Verdict{
		Result:  Accepted,
		Granted: billed,
	}
}

// stripAnswer drops an answer that the ledger doesn't store, so that it takes no space in the log.
func stripAnswer(r Record) Record {
	switch r := r.(type) {
	case Settle:
		r.Response = storedAnswer(r.Response, false)
		return r
	case Offline:
		r.Response = storedAnswer(r.Response, r.Idempotent)
		return r
	}
	return r
}

// storedAnswer returns the answer if it is one that the ledger stores.
func storedAnswer(a *Response, idempotent bool) *Response {
	if a == nil || idempotent || len(a.Body) > MaxResponseBytes || len(a.ContentType) > MaxStringBytes {
		return nil
	}
	return a.clone()
}

func (d *draft) applyVoid(b *budget, r Void) Verdict {
	q := d.request(r.Request)
	switch {
	case q == nil && r.Digest != "" && r.Request.Account == b.account:
		return d.preempt(b, r)
	case q == nil || q.Budget != b.id:
		return Verdict{Result: Missing}
	case q.Attempt != r.Attempt || q.Phase == PhaseSettled:
		return q.refuse(Superseded)
	case q.Phase == PhaseVoid:
		return q.refuse(Repeated)
	}
	d.unreserve(b, q)
	n := *q
	n.Phase = PhaseVoid
	n.offline = false
	d.put(n)
	return Verdict{Result: Accepted}
}

// preempt remembers the void of a request whose intent has not arrived and may still be on its way.
func (d *draft) preempt(b *budget, r Void) Verdict {
	d.put(request{RequestState: RequestState{
		Request:    r.Request,
		Budget:     b.id,
		Digest:     r.Digest,
		Phase:      PhaseVoid,
		Attempt:    r.Attempt,
		Idempotent: r.Idempotent,
	}})
	return Verdict{Result: Accepted}
}
