package laceledger

import "lacewingcove/lib/laceunit"

// valid reports whether a record is well formed, whatever the state.
func valid(r Record) bool {
	if r == nil || !named(r.BudgetID()) {
		return false
	}
	switch r := r.(type) {
	case TopUp:
		return named(r.Account) && named(r.ID) && r.Tokens > 0 && short(r.Actor)
	case Open:
		return named(r.Grant) && holder(r.Holder) && sized(r.Tokens, r.MinTokens, r.Offline) && witnesses(r.Witnesses)
	case Return:
		return named(r.Grant) && sized(r.Tokens, r.Offline)
	case Close:
		return named(r.Grant)
	case Release:
		return named(r.Grant) && short(r.Actor)
	case Intent:
		return r.Request.valid() && named(r.Grant) && named(r.Attempt) && short(r.Digest) && short(r.Server) && sized(r.Ceiling)
	case Takeover:
		return r.Request.valid() && named(r.Grant) && named(r.From, r.Attempt) && short(r.Server)
	case Settle:
		return r.Request.valid() && named(r.Attempt) && sized(r.Tokens)
	case Void:
		return r.Request.valid() && named(r.Attempt) && short(r.Digest)
	case Offline:
		return r.Request.valid() && named(r.Grant) && named(r.Attempt) && short(r.Digest) && short(r.Server) && sized(r.Tokens)
	}
	return false
}

func (r Request) valid() bool { return named(r.Account) && named(r.ID) }

func short[T ~string](s T) bool { return len(s) <= MaxStringBytes }

func holder(h laceunit.Holder) bool { return named(h.Instance) }

func witnesses(hs []laceunit.Holder) bool {
	for _, h := range hs {
		if !holder(h) {
			return false
		}
	}
	return len(hs) <= MaxWitnesses
}
