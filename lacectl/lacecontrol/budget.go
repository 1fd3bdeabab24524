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
	var budgetFilter string
	return []command{
		{
			name: "budgets list", run: listBudgets,
			short:   "lists budgets with their balances in tokens",
			example: "lacectl budgets list",
		},
		{
			name: "budgets show", argNames: "BUDGET", argCount: 1, run: showBudget,
			short:   "shows one budget with its grants",
			example: "lacectl budgets show bakery",
		},
		{
			name: "budgets top-up", argNames: "BUDGET TOKENS", argCount: 2, mutating: true, run: topUp,
			short:   "adds paid tokens to a budget, once for each id",
			example: "lacectl budgets top-up bakery 5000000 -id invoice-2026-0117",
		},
		{
			name: "grants list",
			registerFlags: func(set *flag.FlagSet, _ *invocation) {
				set.StringVar(&budgetFilter, "budget", "", "list the grants of this budget only")
			},
			run:     func(ctx context.Context, j *invocation) error { return listGrants(ctx, j, budgetFilter) },
			short:   "lists grants of budgets to instances",
			example: "lacectl grants list -budget bakery",
		},
		{
			name: "grants release", argNames: "BUDGET GRANT", argCount: 2, mutating: true, run: releaseGrant,
			short: "returns what the closed grant of a dead instance still holds to its budget; " +
				"only when nothing more can arrive for it",
			example: "lacectl grants release bakery 01J9ZQ4W4T",
		},
	}
}

func formatTokens(n int64) string { return strconv.FormatInt(n, 10) }

func listBudgets(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	response, err := c.Budgets(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, b := range response.Budgets {
		rows = append(rows, []string{
			b.ID, b.Account, formatTokens(b.Paid), formatTokens(b.Settled), formatTokens(b.Outstanding), formatTokens(b.Remaining),
		})
	}
	return j.printResult(response, []string{"BUDGET", "ACCOUNT", "PAID", "SETTLED", "OUTSTANDING", "LEFT"}, rows)
}

func showBudget(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	b, err := c.Budget(ctx, j.args[0])
	if err != nil {
		return err
	}
	if j.outputFormat == outputTable {
		text := fmt.Sprintf("%s of %s: paid %d, settled %d, outstanding %d, left %d tokens\n",
			b.ID, b.Account, b.Paid, b.Settled, b.Outstanding, b.Remaining)
		if err = j.print(text); err != nil {
			return err
		}
	}
	return j.printGrants(b, b.Grants)
}

func listGrants(ctx context.Context, j *invocation, budget string) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	response, err := c.Grants(ctx, budget)
	if err != nil {
		return err
	}
	return j.printGrants(response, response.Grants)
}

func (j *invocation) printGrants(v any, list []laceadmin.Grant) error {
	var rows [][]string
	for _, g := range list {
		rows = append(rows, []string{
			g.Budget, g.ID, g.Instance + "/" + g.Incarnation, formatTokens(g.Tokens), formatTokens(g.Reserved), formatTokens(g.Offline),
			strconv.FormatBool(g.Closed), strings.Join(g.Witnesses, ","),
		})
	}
	return j.printResult(v, []string{"BUDGET", "GRANT", "HOLDER", "TOKENS", "RESERVED", "OFFLINE", "CLOSED", "WITNESSES"}, rows)
}

func topUp(ctx context.Context, j *invocation) error {
	n, err := strconv.ParseInt(j.args[1], 10, 64)
	if err != nil || n < 1 {
		return newUsageError("TOKENS is a whole number above 0")
	}
	return j.runAction(ctx, fmt.Sprintf("add %d paid tokens to budget %s", n, j.args[0]),
		func(c *laceadmin.Client, id string) (laceadmin.ActionResult, error) {
			return c.TopUp(ctx, j.args[0], laceadmin.TopUp{
				ID:     id,
				Tokens: n,
			})
		})
}

func releaseGrant(ctx context.Context, j *invocation) error {
	return j.runAction(ctx, fmt.Sprintf("release grant %s of budget %s", j.args[1], j.args[0]),
		func(c *laceadmin.Client, id string) (laceadmin.ActionResult, error) {
			return c.Release(ctx, j.args[0], j.args[1], laceadmin.Order{
				ID: id,
			})
		})
}

// runAction executes a change with an idempotency ID, or only prints its description in a dry run.
func (j *invocation) runAction(_ context.Context, description string, call func(*laceadmin.Client, string) (laceadmin.ActionResult, error)) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	if j.dryRun {
		return j.print("would " + description + "\n")
	}
	id, err := j.ensureChangeID()
	if err != nil {
		return err
	}
	d, err := retryUnknownOutcome(&j.options, func() (laceadmin.ActionResult, error) { return call(c, id) })
	if err != nil {
		return err
	}
	return j.printResult(d, []string{"ID", "TOKENS", "REPEATED"}, [][]string{{d.ID, formatTokens(d.Tokens), strconv.FormatBool(d.Repeated)}})
}
