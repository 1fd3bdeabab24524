package lacewire

import (
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// EncodeHead encodes a snapshot head, the value of a snapshot key.
func EncodeHead(m *LedgerHead) ([]byte, error) { return encode(m) }

// DecodeHead decodes a snapshot head, the value of a snapshot key; its errors wrap ErrMalformed.
func DecodeHead(b []byte) (*LedgerHead, error) {
	var m LedgerHead
	if err := decode(b, &m); err != nil {
		return nil, err
	}
	if len(m.GetCore()) == 0 && len(m.GetParts()) == 0 {
		return nil, errors.Wrap(ErrMalformed, "snapshot head without content")
	}
	return &m, nil
}

// EncodeSnapshot encodes the state of a shard without its ended requests.
func EncodeSnapshot(p laceledger.Snapshot) ([]byte, error) {
	var n nameTable
	m := &LedgerSnapshot{
		Sequence:         uint64(p.Sequence),
		Now:              p.Now,
		ForgetIdempotent: p.Cutoff.Idempotent,
		ForgetOther:      p.Cutoff.NonIdempotent,
		Next:             p.NextNumber[:],
	}
	if p.Fence.Epoch > 0 {
		m.Fence = fromFence(p.Fence)
	}
	for _, b := range p.Budgets {
		m.Budgets = append(m.Budgets, fromBudget(&n, b))
	}
	for _, o := range p.Open {
		r := fromRequestState(&n, o.State)
		r.Offline = o.Offline
		m.Open = append(m.Open, r)
	}
	m.Names = n.list
	return encode(m)
}

// DecodeSnapshot decodes the state of a shard without its ended requests; its errors wrap ErrMalformed.
func DecodeSnapshot(b []byte) (laceledger.Snapshot, error) {
	var m LedgerSnapshot
	if err := decode(b, &m); err != nil {
		return laceledger.Snapshot{}, err
	}
	p := laceledger.Snapshot{
		Sequence: laceunit.Sequence(m.GetSequence()),
		Now:      m.GetNow(),
		Cutoff: laceledger.Cutoff{
			Idempotent:    m.GetForgetIdempotent(),
			NonIdempotent: m.GetForgetOther(),
		},
	}
	if len(m.GetNext()) != len(p.NextNumber) {
		return laceledger.Snapshot{}, errors.Wrapf(ErrMalformed, "snapshot with %d retention classes", len(m.GetNext()))
	}
	copy(p.NextNumber[:], m.GetNext())
	p.Fence = toFence(m.GetFence())
	n := &nameResolver{list: m.GetNames()}
	for _, b := range m.GetBudgets() {
		p.Budgets = append(p.Budgets, toBudget(n, b))
	}
	for _, r := range m.GetOpen() {
		p.Open = append(p.Open, laceledger.OpenRequest{
			State:   toRequestState(n, r),
			Offline: r.GetOffline(),
		})
	}
	if n.err != nil {
		return laceledger.Snapshot{}, n.err
	}
	return p, nil
}

func fromBudget(n *nameTable, b laceledger.BudgetState) *LedgerBudget {
	m := &LedgerBudget{
		Budget:  intern(n, b.ID),
		Account: intern(n, b.Account),
		Paid:    int64(b.Paid),
		Settled: int64(b.Settled),
	}
	for _, t := range b.TopUps {
		m.TopUps = append(m.TopUps, &LedgerTopUpState{
			Id:     string(t.ID),
			Tokens: int64(t.Tokens),
		})
	}
	for _, g := range b.Grants {
		v := fromGrant(g.Grant)
		v.Serial, v.Added, v.Released = g.LastSerial, int64(g.LastAdded), g.Released
		m.Grants = append(m.Grants, v)
	}
	return m
}

func toBudget(n *nameResolver, m *LedgerBudget) laceledger.BudgetState {
	b := laceledger.BudgetState{
		ID:      resolve[laceunit.BudgetID](n, m.GetBudget()),
		Account: resolve[laceunit.AccountID](n, m.GetAccount()),
		Paid:    laceunit.Tokens(m.GetPaid()),
		Settled: laceunit.Tokens(m.GetSettled()),
	}
	for _, t := range m.GetTopUps() {
		b.TopUps = append(b.TopUps, laceledger.TopUpState{
			ID:     laceunit.TopUpID(t.GetId()),
			Tokens: laceunit.Tokens(t.GetTokens()),
		})
	}
	for _, g := range m.GetGrants() {
		b.Grants = append(b.Grants, laceledger.GrantState{
			Grant:      toGrant(g),
			LastSerial: g.GetSerial(),
			LastAdded:  laceunit.Tokens(g.GetAdded()),
			Released:   g.GetReleased(),
		})
	}
	return b
}

func fromGrant(g laceledger.Grant) *LedgerGrant {
	return &LedgerGrant{
		Id:        string(g.ID),
		Holder:    holderToLedger(g.Holder),
		Tokens:    int64(g.Tokens),
		Reserved:  int64(g.Reserved),
		Offline:   int64(g.Offline),
		Closed:    g.Closed,
		Witnesses: holdersToLedger(g.Witnesses),
	}
}

func toGrant(m *LedgerGrant) laceledger.Grant {
	return laceledger.Grant{
		ID:        laceunit.GrantID(m.GetId()),
		Holder:    holderFromLedger(m.GetHolder()),
		Tokens:    laceunit.Tokens(m.GetTokens()),
		Reserved:  laceunit.Tokens(m.GetReserved()),
		Offline:   laceunit.Tokens(m.GetOffline()),
		Closed:    m.GetClosed(),
		Witnesses: holdersFromLedger(m.GetWitnesses()),
	}
}

// EncodeSegment encodes a segment of ended requests.
func EncodeSegment(g laceledger.Segment) ([]byte, error) {
	var n nameTable
	m := &LedgerSegment{
		Class: uint32(g.Class),
		First: g.First,
		Next:  g.Next,
		Ended: make([]*LedgerRequest, 0, len(g.Ended)),
	}
	for _, e := range g.Ended {
		r := fromRequestState(&n, e.State)
		r.Number = e.Number
		m.Ended = append(m.Ended, r)
	}
	m.Names = n.list
	return encode(m)
}

// DecodeSegment decodes a segment of ended requests; its errors wrap ErrMalformed.
func DecodeSegment(b []byte) (laceledger.Segment, error) {
	var m LedgerSegment
	if err := decode(b, &m); err != nil {
		return laceledger.Segment{}, err
	}
	g := laceledger.Segment{
		Class: int(m.GetClass()),
		First: m.GetFirst(),
		Next:  m.GetNext(),
	}
	n := &nameResolver{list: m.GetNames()}
	for _, r := range m.GetEnded() {
		g.Ended = append(g.Ended, laceledger.EndedRequest{
			Number: r.GetNumber(),
			State:  toRequestState(n, r),
		})
	}
	if n.err != nil {
		return laceledger.Segment{}, n.err
	}
	return g, nil
}

func fromRequestState(n *nameTable, e laceledger.RequestState) *LedgerRequest {
	return &LedgerRequest{
		Account:     intern(n, e.Request.Account),
		Request:     string(e.Request.ID),
		Budget:      intern(n, e.Budget),
		Digest:      fromDigest(e.Digest),
		Phase:       uint32(e.Phase),
		Attempt:     string(e.Attempt),
		Grant:       intern(n, e.Grant),
		Instance:    intern(n, e.Holder.Instance),
		Incarnation: uint64(e.Holder.Incarnation),
		Server:      intern(n, e.Server),
		Ceiling:     int64(e.Ceiling),
		Tokens:      int64(e.Tokens),
		Idempotent:  e.Idempotent,
		Answer:      fromResponse(e.Response),
		At:          e.At,
	}
}

func toRequestState(n *nameResolver, m *LedgerRequest) laceledger.RequestState {
	if p := m.GetPhase(); p < uint32(laceledger.PhaseOpen) || p > uint32(laceledger.PhaseVoid) {
		n.fail("unknown phase of a request")
	}
	return laceledger.RequestState{
		Request: toRequest(n, m.GetAccount(), m.GetRequest()),
		Budget:  resolve[laceunit.BudgetID](n, m.GetBudget()),
		Digest:  toDigest(m.GetDigest()),
		Phase:   laceledger.Phase(m.GetPhase()),
		Attempt: laceunit.AttemptID(m.GetAttempt()),
		Grant:   resolve[laceunit.GrantID](n, m.GetGrant()),
		Holder: laceunit.Holder{
			Instance:    resolve[laceunit.InstanceID](n, m.GetInstance()),
			Incarnation: laceunit.Incarnation(m.GetIncarnation()),
		},
		Server:     resolve[laceunit.ServerID](n, m.GetServer()),
		Ceiling:    laceunit.Tokens(m.GetCeiling()),
		Tokens:     laceunit.Tokens(m.GetTokens()),
		Idempotent: m.GetIdempotent(),
		Response:   toResponse(m.GetAnswer()),
		At:         m.GetAt(),
	}
}
