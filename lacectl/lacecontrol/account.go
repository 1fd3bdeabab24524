package lacecontrol

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
)

func accountCommands() []command {
	var name, budget, drop string
	return []command{
		{
			name: "accounts list", run: listAccounts,
			short:   "lists client accounts with their keys and budgets",
			example: "lacectl accounts list -output json",
		},
		{
			name: "accounts rotate", argNames: "ACCOUNT", argCount: 1, mutating: true,
			registerFlags: func(set *flag.FlagSet, _ *invocation) {
				set.StringVar(&name, "name", "", "name of the new key")
				set.StringVar(&budget, "budget", "", "budget that the new key draws on; the client account's first without it")
				set.StringVar(&drop, "drop", "", "names of keys to drop in the same change, separated by commas")
			},
			run: func(ctx context.Context, j *invocation) error {
				r := laceadmin.Rotation{
					Name:   name,
					Budget: budget,
				}
				if drop != "" {
					r.Drop = strings.Split(drop, ",")
				}
				return rotateKey(ctx, j, r)
			},
			short:   "adds an API key, prints it once, and may drop former keys",
			example: "lacectl accounts rotate bakery -name summer -drop main",
		},
	}
}

func listAccounts(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	response, err := c.Accounts(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, a := range response.Accounts {
		var keys []string
		for _, k := range a.Keys {
			keys = append(keys, k.Name+":"+k.HashPrefix)
		}
		rows = append(rows, []string{a.ID, a.Name, strings.Join(keys, ","), strings.Join(a.Budgets, ",")})
	}
	return j.printResult(response, []string{"ACCOUNT", "NAME", "KEYS", "BUDGETS"}, rows)
}

// rotateKey generates the key locally and sends only its hash, so that a lost response does not lose the key.
func rotateKey(ctx context.Context, j *invocation, r laceadmin.Rotation) error {
	if r.Name == "" {
		return newUsageError("-name is needed: the name of the new key")
	}
	c, err := j.client()
	if err != nil {
		return err
	}
	if j.dryRun {
		return j.print(fmt.Sprintf("would add key %s to client account %s and drop [%s]\n",
			r.Name, j.args[0], strings.Join(r.Drop, ",")))
	}
	key, err := laceadmin.NewKey()
	if err != nil {
		return err
	}
	if r.ID, err = j.ensureChangeID(); err != nil {
		return err
	}
	r.Hash = laceadmin.Hash(key)
	result, err := retryUnknownOutcome(&j.options, func() (laceadmin.RotationResult, error) { return c.RotateKey(ctx, j.args[0], r) })
	if exitCodeOf(err) == exitUnavailable {
		return errors.Wrapf(err, "the key %s of %s may or may not be in force; accounts list shows it, and -drop replaces it",
			r.Name, j.args[0])
	}
	if err != nil {
		return err
	}
	result.Key = key
	return j.printResult(result, []string{"ACCOUNT", "NAME", "KEY"}, [][]string{{j.args[0], r.Name, key}})
}
