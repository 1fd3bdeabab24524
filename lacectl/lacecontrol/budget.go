package lacecontrol

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"lacewingcove/lib/laceadmin"
)

func budgetCommands() []command {
	var only string
	return []command{
		{
			name: "budgets list", run: listBudgets,
			short:   "lists budgets with their balances in tokens",
			example: "lacectl budgets list",
		},
		{
			name: "budgets show", args: "BUDGET", count: 1, run: showBudget,
			short:   "shows one budget with its grants",
			example: "lacectl budgets show bakery",
		},
		{
			name: "budgets top-up", args: "BUDGET TOKENS", count: 2, changing: true, run: topUp,
			short:   "adds paid tokens to a budget, once for each id",
			example: "lacectl budgets top-up bakery 5000000 -id invoice-2026-0117",
		},
		{
			name: "grants list",
			flags: func(set *flag.FlagSet, _ *job) {
				set.StringVar(&only, "budget", "", "list the grants of this budget only")
			},
			run:     func(ctx context.Context, j *job) error { return listGrants(ctx, j, only) },
			short:   "lists grants of budgets to instances",
			example: "lacectl grants list -budget bakery",
		},
		{
			name: "grants release", args: "BUDGET GRANT", count: 2, changing: true, run: releaseGrant,
			short: "returns what the closed grant of a dead instance still holds to its budget; " +
				"only when nothing more can arrive for it",
			example: "lacectl grants release bakery 01J9ZQ4W4T",
		},
	}
}

func tokens(n int64) string { return strconv.FormatInt(n, 10) }

func listBudgets(ctx context.Context, j *job) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	all, err := c.Budgets(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, b := range all.Budgets {
		rows = append(rows, []string{
			b.ID, b.Account, tokens(b.Paid), tokens(b.Settled), tokens(b.Outstanding), tokens(b.Remaining),
		})
	}
	return j.show(all, []string{"BUDGET", "ACCOUNT", "PAID", "SETTLED", "OUTSTANDING", "LEFT"}, rows)
}

func showBudget(ctx context.Context, j *job) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	b, err := c.Budget(ctx, j.args[0])
	if err != nil {
		return err
	}
	if j.output == outputTable {
		text := fmt.Sprintf("%s of %s: paid %d, settled %d, outstanding %d, left %d tokens\n",
			b.ID, b.Account, b.Paid, b.Settled, b.Outstanding, b.Remaining)
		if err = j.print(text); err != nil {
			return err
		}
	}
	return j.grants(b, b.Grants)
}

func listGrants(ctx context.Context, j *job, budget string) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	all, err := c.Grants(ctx, budget)
	if err != nil {
		return err
	}
	return j.grants(all, all.Grants)
}

func (j *job) grants(v any, all []laceadmin.Grant) error {
	var rows [][]string
	for _, g := range all {
		rows = append(rows, []string{
			g.Budget, g.ID, g.Instance + "/" + g.Incarnation, tokens(g.Tokens), tokens(g.Reserved), tokens(g.Offline),
			strconv.FormatBool(g.Closed), strings.Join(g.Witnesses, ","),
		})
	}
	return j.show(v, []string{"BUDGET", "GRANT", "HOLDER", "TOKENS", "RESERVED", "OFFLINE", "CLOSED", "WITNESSES"}, rows)
}

func topUp(ctx context.Context, j *job) error {
	n, err := strconv.ParseInt(j.args[1], 10, 64)
	if err != nil || n < 1 {
		return usage("TOKENS is a whole number above 0")
	}
	return j.act(ctx, fmt.Sprintf("add %d paid tokens to budget %s", n, j.args[0]),
		func(c *laceadmin.Client, id string) (laceadmin.ActionResult, error) {
			return c.TopUp(ctx, j.args[0], laceadmin.TopUp{
				ID:     id,
				Tokens: n,
			})
		})
}

func releaseGrant(ctx context.Context, j *job) error {
	return j.act(ctx, fmt.Sprintf("release grant %s of budget %s", j.args[1], j.args[0]),
		func(c *laceadmin.Client, id string) (laceadmin.ActionResult, error) {
			return c.Release(ctx, j.args[0], j.args[1], laceadmin.Order{
				ID: id,
			})
		})
}

// act carries out a change that has an id, or only says what it is.
func (j *job) act(_ context.Context, what string, f func(*laceadmin.Client, string) (laceadmin.ActionResult, error)) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	if j.dry {
		return j.print("would " + what + "\n")
	}
	id, err := j.change()
	if err != nil {
		return err
	}
	d, err := repeat(&j.options, func() (laceadmin.ActionResult, error) { return f(c, id) })
	if err != nil {
		return err
	}
	return j.show(d, []string{"ID", "TOKENS", "REPEATED"}, [][]string{{d.ID, tokens(d.Tokens), strconv.FormatBool(d.Repeated)}})
}
