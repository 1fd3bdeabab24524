package laceadmin

import (
	"context"
	"strconv"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// maxTopUp limits one top-up; it catches typing errors and keeps sums far from overflow.
const maxTopUp = 1 << 40

func (s *Server) budgets(c call) (any, error) {
	all, err := s.deps.Ledger.Balances(c.Context())
	if err != nil {
		return nil, err
	}
	list := Budgets{
		Budgets: []Budget{},
	}
	for _, b := range all {
		budget := toBudget(b)
		budget.Grants = nil
		list.Budgets = append(list.Budgets, budget)
	}
	return list, nil
}

func (s *Server) budget(c call) (any, error) {
	b, err := s.deps.Ledger.Balance(c.Context(), laceunit.BudgetID(c.PathValue("budget")))
	if err != nil {
		return nil, err
	}
	return toBudget(b), nil
}

func (s *Server) grants(c call) (any, error) {
	all, err := s.deps.Ledger.Balances(c.Context())
	if err != nil {
		return nil, err
	}
	list := Grants{
		Grants: []Grant{},
	}
	filter := c.URL.Query().Get("budget")
	for _, b := range all {
		if filter == "" || filter == string(b.Budget) {
			list.Grants = append(list.Grants, toBudget(b).Grants...)
		}
	}
	return list, nil
}

func toBudget(b laceledger.Balance) Budget {
	budget := Budget{
		ID:          string(b.Budget),
		Account:     string(b.Account),
		Paid:        int64(b.Paid),
		Settled:     int64(b.Settled),
		Outstanding: int64(b.Outstanding),
		Remaining:   int64(b.Paid - b.Settled - b.Outstanding),
	}
	for _, g := range b.Grants {
		grant := Grant{
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
			grant.Witnesses = append(grant.Witnesses, w.String())
		}
		budget.Grants = append(budget.Grants, grant)
	}
	return budget
}

func (s *Server) topUp(c call) (any, error) {
	t, err := decodeBody[TopUp](c)
	if err != nil {
		return nil, err
	}
	if err = c.requirePermission(PermissionBudgets); err != nil {
		return nil, err
	}
	if t.Tokens < 1 || t.Tokens > maxTopUp {
		return nil, newFault(BadRequest, "tokens must be from 1 to "+strconv.FormatInt(maxTopUp, 10))
	}
	id := laceunit.BudgetID(c.PathValue("budget"))
	account, err := s.accountOf(c.Context(), id)
	if err != nil {
		return nil, err
	}
	a := Action{
		ID:     t.ID,
		Kind:   "topup",
		Target: string(id),
		Tokens: t.Tokens,
	}
	return s.perform(c, a, func(ctx context.Context) (int64, bool, error) {
		v, err := s.deps.Ledger.Append(ctx, laceledger.TopUp{
			Budget:  id,
			Account: account,
			ID:      laceunit.TopUpID(t.ID),
			Tokens:  laceunit.Tokens(t.Tokens),
			Actor:   c.operator.Name,
		}, laceledger.UrgencyImmediate)
		return t.Tokens, v.Result == laceledger.Repeated, verdictError(v, err)
	})
}

// accountOf returns the client account that lists the budget in the configuration.
func (s *Server) accountOf(ctx context.Context, budget laceunit.BudgetID) (laceunit.AccountID, error) {
	f, err := s.deps.Configuration.Show(ctx)
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
	return "", newFault(NotFound, "no client account lists the budget "+string(budget))
}

func (s *Server) release(c call) (any, error) {
	o, err := decodeBody[Order](c)
	if err != nil {
		return nil, err
	}
	if err = c.requirePermission(PermissionBudgets); err != nil {
		return nil, err
	}
	budget, grant := c.PathValue("budget"), c.PathValue("grant")
	a := Action{
		ID:     o.ID,
		Kind:   "release",
		Target: budget + "/" + grant,
	}
	return s.perform(c, a, func(ctx context.Context) (int64, bool, error) {
		v, err := s.deps.Ledger.Append(ctx, laceledger.Release{
			Budget: laceunit.BudgetID(budget),
			Grant:  laceunit.GrantID(grant),
			Actor:  c.operator.Name,
		}, laceledger.UrgencyImmediate)
		return int64(v.Granted), v.Result == laceledger.Repeated, verdictError(v, err)
	})
}

// verdictError returns the error for the ledger's verdict, nil if the record was accepted.
func verdictError(v laceledger.Verdict, err error) error {
	if err != nil {
		return err
	}
	switch v.Result {
	case laceledger.Accepted, laceledger.Repeated:
		return nil
	case laceledger.Missing, laceledger.Closed:
		return newFault(NotFound, "no such budget or grant")
	case laceledger.Conflict:
		return newFault(IDReused, "the id was used for another top-up")
	default:
		return newFault(Conflict, "the ledger refused it: a grant must be closed before it is released")
	}
}
