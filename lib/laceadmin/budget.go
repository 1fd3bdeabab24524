package laceadmin

import (
	"context"
	"strconv"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// maxTopUp bounds one top-up; it catches slips and keeps sums far from overflow.
const maxTopUp = 1 << 40

func (s *Server) budgets(c call) (any, error) {
	all, err := s.parts.Ledger.Balances(c.Context())
	if err != nil {
		return nil, err
	}
	list := Budgets{
		Budgets: []Budget{},
	}
	for _, b := range all {
		x := balance(b)
		x.Grants = nil
		list.Budgets = append(list.Budgets, x)
	}
	return list, nil
}

func (s *Server) budget(c call) (any, error) {
	b, err := s.parts.Ledger.Balance(c.Context(), laceunit.BudgetID(c.PathValue("budget")))
	if err != nil {
		return nil, err
	}
	return balance(b), nil
}

func (s *Server) grants(c call) (any, error) {
	all, err := s.parts.Ledger.Balances(c.Context())
	if err != nil {
		return nil, err
	}
	list := Grants{
		Grants: []Grant{},
	}
	only := c.URL.Query().Get("budget")
	for _, b := range all {
		if only == "" || only == string(b.Budget) {
			list.Grants = append(list.Grants, balance(b).Grants...)
		}
	}
	return list, nil
}

func balance(b laceledger.Balance) Budget {
	x := Budget{
		ID:          string(b.Budget),
		Account:     string(b.Account),
		Paid:        int64(b.Paid),
		Settled:     int64(b.Settled),
		Outstanding: int64(b.Outstanding),
		Remaining:   int64(b.Paid - b.Settled - b.Outstanding),
	}
	for _, g := range b.Grants {
		y := Grant{
			ID:          string(g.ID),
			Budget:      string(b.Budget),
			Instance:    string(g.Holder.Instance),
			Incarnation: strconv.FormatUint(uint64(g.Holder.Incarnation), 10),
			Tokens:      int64(g.Tokens),
			Reserved:    int64(g.Reserved),
			Offline:     int64(g.Offline),
			Closed:      g.Closed,
		}
		for _, w := range g.Witnesses {
			y.Witnesses = append(y.Witnesses, w.String())
		}
		x.Grants = append(x.Grants, y)
	}
	return x
}

func (s *Server) topUp(c call) (any, error) {
	t, err := body[TopUp](c)
	if err != nil {
		return nil, err
	}
	if err = c.need(PermissionBudgets); err != nil {
		return nil, err
	}
	if t.Tokens < 1 || t.Tokens > maxTopUp {
		return nil, fault(BadRequest, "tokens must be from 1 to "+strconv.FormatInt(maxTopUp, 10))
	}
	id := laceunit.BudgetID(c.PathValue("budget"))
	account, err := s.owner(c.Context(), id)
	if err != nil {
		return nil, err
	}
	a := Action{
		ID:     t.ID,
		Kind:   "topup",
		Target: string(id),
		Tokens: t.Tokens,
	}
	return s.act(c, a, func(ctx context.Context) (int64, bool, error) {
		v, err := s.parts.Ledger.Append(ctx, laceledger.TopUp{
			Budget:  id,
			Account: account,
			ID:      laceunit.TopUpID(t.ID),
			Tokens:  laceunit.Tokens(t.Tokens),
			Actor:   c.operator.Name,
		}, laceledger.UrgencyImmediate)
		return t.Tokens, v.Result == laceledger.Repeated, verdict(v, err)
	})
}

// owner returns the client account that the document lists a budget under.
func (s *Server) owner(ctx context.Context, budget laceunit.BudgetID) (laceunit.AccountID, error) {
	f, err := s.parts.Configuration.Show(ctx)
	if err != nil {
		return "", err
	}
	for id, a := range f.Document.Accounts {
		for _, b := range a.Budgets {
			if b == budget {
				return id, nil
			}
		}
	}
	return "", fault(NotFound, "no client account lists the budget "+string(budget))
}

func (s *Server) release(c call) (any, error) {
	o, err := body[Order](c)
	if err != nil {
		return nil, err
	}
	if err = c.need(PermissionBudgets); err != nil {
		return nil, err
	}
	budget, grant := c.PathValue("budget"), c.PathValue("grant")
	a := Action{
		ID:     o.ID,
		Kind:   "release",
		Target: budget + "/" + grant,
	}
	return s.act(c, a, func(ctx context.Context) (int64, bool, error) {
		v, err := s.parts.Ledger.Append(ctx, laceledger.Release{
			Budget: laceunit.BudgetID(budget),
			Grant:  laceunit.GrantID(grant),
			Actor:  c.operator.Name,
		}, laceledger.UrgencyImmediate)
		return int64(v.Granted), v.Result == laceledger.Repeated, verdict(v, err)
	})
}

// verdict turns the ledger's decision into an error.
func verdict(v laceledger.Verdict, err error) error {
	if err != nil {
		return err
	}
	switch v.Result {
	case laceledger.Accepted, laceledger.Repeated:
		return nil
	case laceledger.Missing, laceledger.Closed:
		return fault(NotFound, "no such budget or grant")
	case laceledger.Conflict:
		return fault(IDReused, "the id was used for another top-up")
	default:
		return fault(Conflict, "the ledger refused it: a grant must be closed before it is released")
	}
}
