package laceledger

import "lacewingcove/lib/laceunit"

// validRecord reports whether a record is well-formed, regardless of the state.
func validRecord(r Record) bool {
	if r == nil || !validIDs(r.BudgetID()) {
		return false
	}
	switch r := r.(type) {
	case TopUp:
		return validIDs(r.Account) && validIDs(r.ID) && r.Tokens > 0 && withinMaxLength(r.Actor)
	case Open:
		return validIDs(r.Grant) && validHolder(r.Holder) &&
			nonNegative(r.Tokens, r.MinTokens, r.Offline) && validWitnesses(r.Witnesses)
	case Return:
		return validIDs(r.Grant) && nonNegative(r.Tokens, r.Offline)
	case Close:
		return validIDs(r.Grant)
	case Release:
		return validIDs(r.Grant) && withinMaxLength(r.Actor)
	case Intent:
		return r.Request.valid() && validIDs(r.Grant) && validIDs(r.Attempt) &&
			withinMaxLength(r.Digest) && withinMaxLength(r.Server) && nonNegative(r.Ceiling)
	case Takeover:
		return r.Request.valid() && validIDs(r.Grant) && validIDs(r.From, r.Attempt) && withinMaxLength(r.Server)
	case Settle:
		return r.Request.valid() && validIDs(r.Attempt) && nonNegative(r.Tokens)
	case Void:
		return r.Request.valid() && validIDs(r.Attempt) && withinMaxLength(r.Digest)
	case Offline:
		return r.Request.valid() && validIDs(r.Grant) && validIDs(r.Attempt) &&
			withinMaxLength(r.Digest) && withinMaxLength(r.Server) && nonNegative(r.Tokens)
	}
	return false
}

func (r Request) valid() bool { return validIDs(r.Account) && validIDs(r.ID) }

func withinMaxLength[T ~string](s T) bool { return len(s) <= MaxStringBytes }

func validHolder(h laceunit.Holder) bool { return validIDs(h.Instance) }

func validWitnesses(holders []laceunit.Holder) bool {
	for _, h := range holders {
		if !validHolder(h) {
			return false
		}
	}
	return len(holders) <= MaxWitnesses
}
