package lacewire

import (
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// EncodeEntry encodes an entry of a shard's log.
func EncodeEntry(e laceledger.Entry) ([]byte, error) {
	rs, err := FromRecords(e.Records)
	if err != nil {
		return nil, err
	}
	return encode(&LedgerEntry{
		Sequence:         uint64(e.Sequence),
		Appender:         holderToLedger(e.Appender),
		Tag:              e.Tag,
		At:               e.At,
		ForgetIdempotent: e.Cutoff.Idempotent,
		ForgetOther:      e.Cutoff.NonIdempotent,
		Records:          rs,
	})
}

// DecodeEntry decodes an entry of a shard's log; its errors wrap ErrMalformed.
func DecodeEntry(b []byte) (laceledger.Entry, error) {
	var m LedgerEntry
	if err := decode(b, &m); err != nil {
		return laceledger.Entry{}, err
	}
	if m.GetSequence() == 0 {
		return laceledger.Entry{}, errors.Wrap(ErrMalformed, "entry without a sequence number")
	}
	rs, err := ToRecords(m.GetRecords())
	if err != nil {
		return laceledger.Entry{}, err
	}
	return laceledger.Entry{
		Sequence: laceunit.Sequence(m.GetSequence()),
		Appender: holderFromLedger(m.GetAppender()),
		Tag:      m.GetTag(),
		At:       m.GetAt(),
		Cutoff: laceledger.Cutoff{
			Idempotent:    m.GetForgetIdempotent(),
			NonIdempotent: m.GetForgetOther(),
		},
		Records: rs,
	}, nil
}

// FromRecords maps ledger records.
func FromRecords(rs []laceledger.Record) (*LedgerRecords, error) {
	var n nameTable
	m := &LedgerRecords{Records: make([]*LedgerRecord, 0, len(rs))}
	for _, r := range rs {
		if r == nil {
			return nil, errors.New("wire: nil record")
		}
		v, err := fromRecord(&n, r)
		if err != nil {
			return nil, err
		}
		m.Records = append(m.Records, v)
	}
	m.Names = n.list
	return m, nil
}

func fromRecord(n *nameTable, r laceledger.Record) (*LedgerRecord, error) {
	m := &LedgerRecord{Budget: intern(n, r.BudgetID())}
	switch r := r.(type) {
	case laceledger.TopUp:
		m.Kind = &LedgerRecord_TopUp{TopUp: &LedgerTopUp{
			Account: intern(n, r.Account),
			Id:      string(r.ID),
			Tokens:  int64(r.Tokens),
			Who:     r.Actor,
		}}
	case laceledger.Open:
		m.Kind = &LedgerRecord_Open{Open: &LedgerOpen{
			Grant:     intern(n, r.Grant),
			Holder:    holderToLedger(r.Holder),
			Tokens:    int64(r.Tokens),
			Least:     int64(r.MinTokens),
			Offline:   int64(r.Offline),
			Witnesses: holdersToLedger(r.Witnesses),
			Serial:    r.Serial,
		}}
	case laceledger.Return:
		m.Kind = &LedgerRecord_Return{Return: &LedgerReturn{
			Grant:   intern(n, r.Grant),
			Tokens:  int64(r.Tokens),
			Offline: int64(r.Offline),
			Serial:  r.Serial,
		}}
	case laceledger.Close:
		m.Kind = &LedgerRecord_Close{Close: &LedgerClose{Grant: intern(n, r.Grant)}}
	case laceledger.Release:
		m.Kind = &LedgerRecord_Release{Release: &LedgerRelease{
			Grant: intern(n, r.Grant),
			Who:   r.Actor,
		}}
	default:
		return m, fromRequestRecord(m, n, r)
	}
	return m, nil
}

// fromRequestRecord maps the records about requests, and fences.
func fromRequestRecord(m *LedgerRecord, n *nameTable, r laceledger.Record) error {
	switch r := r.(type) {
	case laceledger.Intent:
		m.Kind = &LedgerRecord_Intent{Intent: &LedgerIntent{
			Account:    intern(n, r.Request.Account),
			Request:    string(r.Request.ID),
			Digest:     fromDigest(r.Digest),
			Grant:      intern(n, r.Grant),
			Ceiling:    int64(r.Ceiling),
			Attempt:    string(r.Attempt),
			Server:     intern(n, r.Server),
			Idempotent: r.Idempotent,
			At:         r.At,
		}}
	case laceledger.Takeover:
		m.Kind = &LedgerRecord_Takeover{Takeover: &LedgerTakeover{
			Account: intern(n, r.Request.Account),
			Request: string(r.Request.ID),
			From:    string(r.From),
			Attempt: string(r.Attempt),
			Grant:   intern(n, r.Grant),
			Server:  intern(n, r.Server),
			At:      r.At,
		}}
	case laceledger.Settle:
		m.Kind = &LedgerRecord_Settle{Settle: &LedgerSettle{
			Account: intern(n, r.Request.Account),
			Request: string(r.Request.ID),
			Attempt: string(r.Attempt),
			Tokens:  int64(r.Tokens),
			Answer:  fromResponse(r.Response),
			At:      r.At,
		}}
	case laceledger.Void:
		m.Kind = &LedgerRecord_Void{Void: &LedgerVoid{
			Account:    intern(n, r.Request.Account),
			Request:    string(r.Request.ID),
			Attempt:    string(r.Attempt),
			At:         r.At,
			Digest:     fromDigest(r.Digest),
			Idempotent: r.Idempotent,
		}}
	case laceledger.Offline:
		m.Kind = &LedgerRecord_Offline{Offline: fromOffline(n, r)}
	case laceledger.Fence:
		m.Kind = &LedgerRecord_Fence{Fence: fromFence(r)}
	default:
		return errors.Errorf("wire: unknown record type %T", r)
	}
	return nil
}

func fromOffline(n *nameTable, r laceledger.Offline) *LedgerOffline {
	return &LedgerOffline{
		Account:    intern(n, r.Request.Account),
		Request:    string(r.Request.ID),
		Digest:     fromDigest(r.Digest),
		Grant:      intern(n, r.Grant),
		Attempt:    string(r.Attempt),
		Server:     intern(n, r.Server),
		Tokens:     int64(r.Tokens),
		Idempotent: r.Idempotent,
		Finished:   r.Finished,
		Answer:     fromResponse(r.Response),
		At:         r.At,
	}
}

// ToRecords maps ledger records; its errors wrap ErrMalformed.
func ToRecords(m *LedgerRecords) ([]laceledger.Record, error) {
	n := &nameResolver{list: m.GetNames()}
	var rs []laceledger.Record
	for _, v := range m.GetRecords() {
		r := toRecord(n, v)
		if r == nil {
			n.fail("unknown kind of record")
		}
		if n.err != nil {
			return nil, n.err
		}
		rs = append(rs, r)
	}
	return rs, nil
}

func toRecord(n *nameResolver, m *LedgerRecord) laceledger.Record {
	budget := resolve[laceunit.BudgetID](n, m.GetBudget())
	switch k := m.GetKind().(type) {
	case *LedgerRecord_TopUp:
		return laceledger.TopUp{
			Budget:  budget,
			Account: resolve[laceunit.AccountID](n, k.TopUp.GetAccount()),
			ID:      laceunit.TopUpID(k.TopUp.GetId()),
			Tokens:  laceunit.Tokens(k.TopUp.GetTokens()),
			Actor:   k.TopUp.GetWho(),
		}
	case *LedgerRecord_Open:
		return laceledger.Open{
			Budget:    budget,
			Grant:     resolve[laceunit.GrantID](n, k.Open.GetGrant()),
			Holder:    holderFromLedger(k.Open.GetHolder()),
			Tokens:    laceunit.Tokens(k.Open.GetTokens()),
			MinTokens: laceunit.Tokens(k.Open.GetLeast()),
			Offline:   laceunit.Tokens(k.Open.GetOffline()),
			Witnesses: holdersFromLedger(k.Open.GetWitnesses()),
			Serial:    k.Open.GetSerial(),
		}
	case *LedgerRecord_Return:
		return laceledger.Return{
			Budget:  budget,
			Grant:   resolve[laceunit.GrantID](n, k.Return.GetGrant()),
			Tokens:  laceunit.Tokens(k.Return.GetTokens()),
			Offline: laceunit.Tokens(k.Return.GetOffline()),
			Serial:  k.Return.GetSerial(),
		}
	case *LedgerRecord_Close:
		return laceledger.Close{
			Budget: budget,
			Grant:  resolve[laceunit.GrantID](n, k.Close.GetGrant()),
		}
	case *LedgerRecord_Release:
		return laceledger.Release{
			Budget: budget,
			Grant:  resolve[laceunit.GrantID](n, k.Release.GetGrant()),
			Actor:  k.Release.GetWho(),
		}
	default:
		return toRequestRecord(n, m, budget)
	}
}

// toRequestRecord maps the records about requests, and fences.
func toRequestRecord(n *nameResolver, m *LedgerRecord, budget laceunit.BudgetID) laceledger.Record {
	switch k := m.GetKind().(type) {
	case *LedgerRecord_Intent:
		return laceledger.Intent{
			Budget:     budget,
			Request:    toRequest(n, k.Intent.GetAccount(), k.Intent.GetRequest()),
			Digest:     toDigest(k.Intent.GetDigest()),
			Grant:      resolve[laceunit.GrantID](n, k.Intent.GetGrant()),
			Ceiling:    laceunit.Tokens(k.Intent.GetCeiling()),
			Attempt:    laceunit.AttemptID(k.Intent.GetAttempt()),
			Server:     resolve[laceunit.ServerID](n, k.Intent.GetServer()),
			Idempotent: k.Intent.GetIdempotent(),
			At:         k.Intent.GetAt(),
		}
	case *LedgerRecord_Takeover:
		return laceledger.Takeover{
			Budget:  budget,
			Request: toRequest(n, k.Takeover.GetAccount(), k.Takeover.GetRequest()),
			From:    laceunit.AttemptID(k.Takeover.GetFrom()),
			Attempt: laceunit.AttemptID(k.Takeover.GetAttempt()),
			Grant:   resolve[laceunit.GrantID](n, k.Takeover.GetGrant()),
			Server:  resolve[laceunit.ServerID](n, k.Takeover.GetServer()),
			At:      k.Takeover.GetAt(),
		}
	case *LedgerRecord_Settle:
		return laceledger.Settle{
			Budget:   budget,
			Request:  toRequest(n, k.Settle.GetAccount(), k.Settle.GetRequest()),
			Attempt:  laceunit.AttemptID(k.Settle.GetAttempt()),
			Tokens:   laceunit.Tokens(k.Settle.GetTokens()),
			Response: toResponse(k.Settle.GetAnswer()),
			At:       k.Settle.GetAt(),
		}
	case *LedgerRecord_Void:
		return laceledger.Void{
			Budget:     budget,
			Request:    toRequest(n, k.Void.GetAccount(), k.Void.GetRequest()),
			Attempt:    laceunit.AttemptID(k.Void.GetAttempt()),
			At:         k.Void.GetAt(),
			Digest:     toDigest(k.Void.GetDigest()),
			Idempotent: k.Void.GetIdempotent(),
		}
	case *LedgerRecord_Offline:
		return toOffline(n, k.Offline, budget)
	case *LedgerRecord_Fence:
		return toFence(k.Fence)
	default:
		return nil
	}
}

func toOffline(n *nameResolver, m *LedgerOffline, budget laceunit.BudgetID) laceledger.Offline {
	return laceledger.Offline{
		Budget:     budget,
		Request:    toRequest(n, m.GetAccount(), m.GetRequest()),
		Digest:     toDigest(m.GetDigest()),
		Grant:      resolve[laceunit.GrantID](n, m.GetGrant()),
		Attempt:    laceunit.AttemptID(m.GetAttempt()),
		Server:     resolve[laceunit.ServerID](n, m.GetServer()),
		Tokens:     laceunit.Tokens(m.GetTokens()),
		Idempotent: m.GetIdempotent(),
		Finished:   m.GetFinished(),
		Response:   toResponse(m.GetAnswer()),
		At:         m.GetAt(),
	}
}

func toRequest(n *nameResolver, account uint32, id string) laceledger.Request {
	return laceledger.Request{
		Account: resolve[laceunit.AccountID](n, account),
		ID:      laceunit.RequestID(id),
	}
}
