package lacerouter

import (
	"context"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// adminLedger adapts the ledger to operators, who use the budget names of the configuration, without the client
// account.
type adminLedger struct {
	ledger    laceledger.Ledger
	accountOf func(laceunit.BudgetID) laceunit.AccountID
}

func (l adminLedger) scopedBudget(name laceunit.BudgetID) laceunit.BudgetID {
	return laceledger.JoinBudgetID(l.accountOf(name), name)
}

// Append implements laceadmin.Ledger.
func (l adminLedger) Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	switch r := record.(type) {
	case laceledger.TopUp:
		r.Budget = laceledger.JoinBudgetID(r.Account, r.Budget)
		record = r
	case laceledger.Release:
		r.Budget = l.scopedBudget(r.Budget)
		record = r
	}
	return l.ledger.Append(ctx, record, urgency)
}

// Balance implements laceadmin.Ledger.
func (l adminLedger) Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error) {
	b, err := l.ledger.Balance(ctx, l.scopedBudget(budget))
	return withoutAccount(b), err
}

// Balances implements laceadmin.Ledger.
func (l adminLedger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	list, err := l.ledger.Balances(ctx)
	for i := range list {
		list[i] = withoutAccount(list[i])
	}
	return list, err
}

func withoutAccount(b laceledger.Balance) laceledger.Balance {
	if b.Budget != "" {
		_, b.Budget = laceledger.SplitBudgetID(b.Budget)
	}
	return b
}

// adminMembers adapts the membership to operators.
type adminMembers struct {
	fleet lacefleet.Fleet
}

// Instances implements laceadmin.Members.
func (m adminMembers) Instances(ctx context.Context) ([]laceadmin.Member, error) {
	record, err := m.fleet.FetchRecord(ctx)
	if err != nil {
		// If the platform is unreachable, the last agreed membership is shown.
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

// drainer starts a graceful shutdown at the request of an operator.
type drainer struct {
	stopRequested chan struct{}
}

// Drain implements laceadmin.Drainer.
func (d drainer) Drain(context.Context) error {
	select {
	case d.stopRequested <- struct{}{}:
	default:
		// The shutdown was requested before.
	}
	return nil
}
