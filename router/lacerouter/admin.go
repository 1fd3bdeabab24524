package lacerouter

import (
	"context"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// adminLedger shows the ledger to operators, who name budgets as the configuration does.
type adminLedger struct {
	ledger  laceledger.Ledger
	account func(laceunit.BudgetID) laceunit.AccountID
}

func (l adminLedger) scope(name laceunit.BudgetID) laceunit.BudgetID {
	return laceledger.JoinBudgetID(l.account(name), name)
}

// Append implements laceadmin.Ledger.
func (l adminLedger) Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	switch r := record.(type) {
	case laceledger.TopUp:
		r.Budget = laceledger.JoinBudgetID(r.Account, r.Budget)
		record = r
	case laceledger.Release:
		r.Budget = l.scope(r.Budget)
		record = r
	}
	return l.ledger.Append(ctx, record, urgency)
}

// Balance implements laceadmin.Ledger.
func (l adminLedger) Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error) {
	b, err := l.ledger.Balance(ctx, l.scope(budget))
	return named(b), err
}

// Balances implements laceadmin.Ledger.
func (l adminLedger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	list, err := l.ledger.Balances(ctx)
	for i := range list {
		list[i] = named(list[i])
	}
	return list, err
}

func named(b laceledger.Balance) laceledger.Balance {
	if b.Budget != "" {
		_, b.Budget = laceledger.SplitBudgetID(b.Budget)
	}
	return b
}

// adminMembers shows the membership to operators.
type adminMembers struct {
	fleet lacefleet.Fleet
}

// Instances implements laceadmin.Members.
func (m adminMembers) Instances(ctx context.Context) ([]laceadmin.Member, error) {
	record, err := m.fleet.FetchRecord(ctx)
	if err != nil {
		// Without the platform the last agreed membership is what there is.
		record = m.fleet.Record()
	}
	var list []laceadmin.Member
	for _, x := range record.Members {
		state := "live"
		if x.Draining {
			state = "draining"
		}
		list = append(list, adminMember(x, state))
	}
	for _, x := range record.Departed {
		list = append(list, adminMember(x, "lost"))
	}
	for _, h := range record.Fenced {
		list = append(list, laceadmin.Member{
			Holder: h,
			State:  "fenced",
		})
	}
	return list, nil
}

// Fence implements laceadmin.Members.
func (m adminMembers) Fence(ctx context.Context, holder laceunit.Holder) error {
	return m.fleet.Fence(ctx, holder)
}

func adminMember(m lacemember.Member, state string) laceadmin.Member {
	return laceadmin.Member{
		Holder:  m.Holder,
		Address: m.CallerAddress,
		Place:   m.Place,
		State:   state,
	}
}

// drainer starts the planned stop that an operator asks for.
type drainer struct {
	stop chan struct{}
}

// Drain implements laceadmin.Drainer.
func (d drainer) Drain(context.Context) error {
	select {
	case d.stop <- struct{}{}:
	default:
		// The stop has been asked for before.
	}
	return nil
}
