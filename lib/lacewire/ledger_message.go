package lacewire

import (
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// FromVerdict maps a verdict to its message.
func FromVerdict(v laceledger.Verdict) *LedgerVerdict {
	m := &LedgerVerdict{
		Result:  uint32(v.Result),
		Granted: int64(v.Granted),
		Offline: int64(v.Offline),
		Left:    int64(v.Available),
	}
	if v.Existing != nil {
		m.Existing = FromRequestState(*v.Existing)
	}
	return m
}

// ToVerdict maps a message to a verdict; its errors wrap ErrMalformed.
func ToVerdict(m *LedgerVerdict) (laceledger.Verdict, error) {
	r := m.GetResult()
	if r < uint32(laceledger.Accepted) || r > uint32(laceledger.Invalid) {
		return laceledger.Verdict{}, errors.Wrapf(ErrMalformed, "verdict with result %d", r)
	}
	v := laceledger.Verdict{
		Result:    laceledger.Result(r),
		Granted:   laceunit.Tokens(m.GetGranted()),
		Offline:   laceunit.Tokens(m.GetOffline()),
		Available: laceunit.Tokens(m.GetLeft()),
	}
	if m.GetExisting() != nil {
		e, err := ToRequestState(m.GetExisting())
		if err != nil {
			return laceledger.Verdict{}, err
		}
		v.Existing = &e
	}
	return v, nil
}

// FromExisting maps what is known of a request to its message.
func FromRequestState(e laceledger.RequestState) *LedgerExisting {
	var n names
	r := fromExisting(&n, e)
	return &LedgerExisting{
		Names:   n.list,
		Request: r,
	}
}

// ToExisting maps a message to what is known of a request; its errors wrap ErrMalformed.
func ToRequestState(m *LedgerExisting) (laceledger.RequestState, error) {
	n := &reader{list: m.GetNames()}
	e := toExisting(n, m.GetRequest())
	return e, n.err
}

// FromBalance maps a budget's public view to its message.
func FromBalance(b laceledger.Balance) *LedgerBalance {
	m := &LedgerBalance{
		Budget:      string(b.Budget),
		Account:     string(b.Account),
		Paid:        int64(b.Paid),
		Settled:     int64(b.Settled),
		Outstanding: int64(b.Outstanding),
	}
	for _, g := range b.Grants {
		m.Grants = append(m.Grants, fromGrant(g))
	}
	return m
}

// ToBalance maps a message to a budget's public view.
func ToBalance(m *LedgerBalance) laceledger.Balance {
	b := laceledger.Balance{
		Budget:      laceunit.BudgetID(m.GetBudget()),
		Account:     laceunit.AccountID(m.GetAccount()),
		Paid:        laceunit.Tokens(m.GetPaid()),
		Settled:     laceunit.Tokens(m.GetSettled()),
		Outstanding: laceunit.Tokens(m.GetOutstanding()),
	}
	for _, g := range m.GetGrants() {
		b.Grants = append(b.Grants, toGrant(g))
	}
	return b
}

// EncodeWriter encodes the value of a shard's writer key.
func EncodeWriter(h laceunit.Holder, a laceunit.Address) ([]byte, error) {
	return encode(&LedgerWriter{
		Holder:  fromHolder(h),
		Address: string(a),
	})
}

// DecodeWriter decodes the value of a shard's writer key; its errors wrap ErrMalformed.
func DecodeWriter(b []byte) (laceunit.Holder, laceunit.Address, error) {
	var m LedgerWriter
	if err := decode(b, &m); err != nil {
		return laceunit.Holder{}, "", err
	}
	return toHolder(m.GetHolder()), laceunit.Address(m.GetAddress()), nil
}
