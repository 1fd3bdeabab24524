package lacecontrol

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceyaml"
)

func configCommands() []command {
	return []command{
		{
			name: "config validate", argNames: "FILE", argCount: 1, local: true, run: validateConfig,
			short:   "checks a whole document without an instance and lists every fault",
			example: "lacectl config validate samples/coop.yaml",
		},
		{
			name: "config show", run: showConfig,
			short:   "prints the document with the state that an edit of it starts from",
			example: "lacectl config show > document.yaml",
		},
		{
			name: "config plan", argNames: "FILE", argCount: 1, run: planConfig,
			short:   "shows what a file of one or more sections would change",
			example: "lacectl config plan document.yaml",
		},
		{
			name: "config apply", argNames: "FILE", argCount: 1, mutating: true, run: applyConfig,
			short:   "shows the differences and applies a file of one or more sections",
			example: "lacectl config apply -dry document.yaml",
		},
		historyCommand(),
	}
}

func (j *invocation) readInput(name string) ([]byte, error) {
	if name == "-" {
		text, err := io.ReadAll(j.stdin)
		return text, errors.Wrap(err, "standard input")
	}
	text, err := os.ReadFile(name)
	return text, errors.Wrap(err, "file")
}

func validateConfig(_ context.Context, j *invocation) error {
	text, err := j.readInput(j.args[0])
	if err != nil {
		return err
	}
	d, err := laceconfig.Decode(text)
	var faults laceyaml.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			_, _ = fmt.Fprintf(j.stderr, "%s: %s\n", j.args[0], f)
		}
		return errors.Errorf("%d faults", len(faults))
	}
	if err != nil {
		return err
	}
	counts := map[string]int{
		"accounts": len(d.Accounts),
		"servers":  len(d.Servers),
		"models":   len(d.Models),
		"services": len(d.Services),
	}
	return j.printResult(counts, []string{"ACCOUNTS", "SERVERS", "MODELS", "SERVICES"}, [][]string{{
		strconv.Itoa(len(d.Accounts)), strconv.Itoa(len(d.Servers)), strconv.Itoa(len(d.Models)), strconv.Itoa(len(d.Services)),
	}})
}

func showConfig(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	d, err := c.Show(ctx)
	if err != nil {
		return err
	}
	if j.outputFormat == outputJSON {
		return j.printResult(d, nil, nil)
	}
	return j.print(d.Text)
}

func planConfig(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	text, err := j.readInput(j.args[0])
	if err != nil {
		return err
	}
	_, err = j.printPlan(ctx, c, string(text))
	return err
}

// printPlan requests the changes that a file would make and prints them.
func (j *invocation) printPlan(ctx context.Context, c *laceadmin.Client, text string) (laceadmin.EditResult, error) {
	o, err := c.Plan(ctx, laceadmin.Proposal{
		Text: text,
	})
	if err != nil {
		return o, err
	}
	if j.outputFormat == outputJSON {
		if j.command.mutating && !j.dryRun {
			return o, nil // only the result of the change itself is printed
		}
		return o, j.printResult(o, nil, nil)
	}
	if len(o.Changes) == 0 {
		return o, j.print(fmt.Sprintf("no change against version %d\n", o.Version))
	}
	diffs, err := unifiedDiff(o.Changes)
	if err != nil {
		return o, err
	}
	return o, j.print(diffs)
}

func applyConfig(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	text, err := j.readInput(j.args[0])
	if err != nil {
		return err
	}
	// The plan of a retried edit conflicts with the edit that was already applied, so an edit with an ID skips the plan.
	if j.changeID == "" || j.dryRun {
		planned, planErr := j.printPlan(ctx, c, string(text))
		if planErr != nil || j.dryRun || (len(planned.Changes) == 0 && j.outputFormat == outputTable) {
			return planErr
		}
	}
	id, err := j.ensureChangeID()
	if err != nil {
		return err
	}
	o, err := retryUnknownOutcome(&j.options, func() (laceadmin.EditResult, error) {
		return c.Apply(ctx, laceadmin.Proposal{
			ID:   id,
			Text: string(text),
		})
	})
	if err != nil {
		return err
	}
	return j.printResult(o, []string{"VERSION", "CHANGES", "REPEATED"}, [][]string{{
		strconv.FormatUint(o.Version, 10), strconv.Itoa(len(o.Changes)), strconv.FormatBool(o.Repeated),
	}})
}

func historyCommand() command {
	var from uint64
	var limit int
	var full bool
	return command{
		name: "config history",
		registerFlags: func(set *flag.FlagSet, _ *invocation) {
			set.Uint64Var(&from, "from", 0, "newest version to show; 0 is the current one")
			set.IntVar(&limit, "limit", 20, "how many records to show")
			set.BoolVar(&full, "full", false, "show the differences as well")
		},
		run: func(ctx context.Context, j *invocation) error {
			c, err := j.client()
			if err != nil {
				return err
			}
			h, err := c.History(ctx, from, limit)
			if err != nil {
				return err
			}
			return j.printHistory(h, full)
		},
		short:   "lists the accepted changes, newest first",
		example: "lacectl config history -limit 5 -full",
	}
}

func (j *invocation) printHistory(h laceadmin.History, full bool) error {
	var rows [][]string
	for _, r := range h.Records {
		rows = append(rows, []string{
			strconv.FormatUint(r.Version, 10), r.Time.UTC().Format(time.RFC3339), r.Author, r.EditID, summarizeChanges(r.Changes),
		})
	}
	if err := j.printResult(h, []string{"VERSION", "WHEN", "WHO", "EDIT", "CHANGED"}, rows); err != nil || !full || j.outputFormat == outputJSON {
		return err
	}
	for _, r := range h.Records {
		diffs, err := unifiedDiff(r.Changes)
		if err != nil {
			return err
		}
		if err = j.print(fmt.Sprintf("\nversion %d\n%s", r.Version, diffs)); err != nil {
			return err
		}
	}
	return nil
}
