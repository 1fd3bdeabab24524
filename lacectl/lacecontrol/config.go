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
			name: "config validate", args: "FILE", count: 1, local: true, run: validateConfig,
			short:   "checks a whole document without an instance and lists every fault",
			example: "lacectl config validate samples/coop.yaml",
		},
		{
			name: "config show", run: showConfig,
			short:   "prints the document with the state that an edit of it starts from",
			example: "lacectl config show > document.yaml",
		},
		{
			name: "config plan", args: "FILE", count: 1, run: planConfig,
			short:   "shows what a file of one or more sections would change",
			example: "lacectl config plan document.yaml",
		},
		{
			name: "config apply", args: "FILE", count: 1, changing: true, run: applyConfig,
			short:   "shows the differences and applies a file of one or more sections",
			example: "lacectl config apply -dry document.yaml",
		},
		historyCommand(),
	}
}

func (j *job) read(name string) ([]byte, error) {
	if name == "-" {
		text, err := io.ReadAll(j.in)
		return text, errors.Wrap(err, "standard input")
	}
	text, err := os.ReadFile(name)
	return text, errors.Wrap(err, "file")
}

func validateConfig(_ context.Context, j *job) error {
	text, err := j.read(j.args[0])
	if err != nil {
		return err
	}
	d, err := laceconfig.Decode(text)
	var faults laceyaml.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			_, _ = fmt.Fprintf(j.err, "%s: %s\n", j.args[0], f)
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
	return j.show(counts, []string{"ACCOUNTS", "SERVERS", "MODELS", "SERVICES"}, [][]string{{
		strconv.Itoa(len(d.Accounts)), strconv.Itoa(len(d.Servers)), strconv.Itoa(len(d.Models)), strconv.Itoa(len(d.Services)),
	}})
}

func showConfig(ctx context.Context, j *job) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	d, err := c.Show(ctx)
	if err != nil {
		return err
	}
	if j.output == outputJSON {
		return j.show(d, nil, nil)
	}
	return j.print(d.Text)
}

func planConfig(ctx context.Context, j *job) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	text, err := j.read(j.args[0])
	if err != nil {
		return err
	}
	_, err = j.plan(ctx, c, string(text))
	return err
}

// plan asks what a file would change and shows it.
func (j *job) plan(ctx context.Context, c *laceadmin.Client, text string) (laceadmin.EditResult, error) {
	o, err := c.Plan(ctx, laceadmin.Proposal{
		Text: text,
	})
	if err != nil {
		return o, err
	}
	if j.output == outputJSON {
		if j.command.changing && !j.dry {
			return o, nil // the outcome of the change is the one value that is printed
		}
		return o, j.show(o, nil, nil)
	}
	if len(o.Changes) == 0 {
		return o, j.print(fmt.Sprintf("no change against version %d\n", o.Version))
	}
	shown, err := diff(o.Changes)
	if err != nil {
		return o, err
	}
	return o, j.print(shown)
}

func applyConfig(ctx context.Context, j *job) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	text, err := j.read(j.args[0])
	if err != nil {
		return err
	}
	// A repeated edit conflicts with itself in the plan, so it is sent without one.
	if j.id == "" || j.dry {
		plan, again := j.plan(ctx, c, string(text))
		if again != nil || j.dry || (len(plan.Changes) == 0 && j.output == outputTable) {
			return again
		}
	}
	id, err := j.change()
	if err != nil {
		return err
	}
	o, err := repeat(&j.options, func() (laceadmin.EditResult, error) {
		return c.Apply(ctx, laceadmin.Proposal{
			ID:   id,
			Text: string(text),
		})
	})
	if err != nil {
		return err
	}
	return j.show(o, []string{"VERSION", "CHANGES", "REPEATED"}, [][]string{{
		strconv.FormatUint(o.Version, 10), strconv.Itoa(len(o.Changes)), strconv.FormatBool(o.Repeated),
	}})
}

func historyCommand() command {
	var from uint64
	var limit int
	var full bool
	return command{
		name: "config history",
		flags: func(set *flag.FlagSet, _ *job) {
			set.Uint64Var(&from, "from", 0, "newest version to show; 0 is the current one")
			set.IntVar(&limit, "limit", 20, "how many records to show")
			set.BoolVar(&full, "full", false, "show the differences as well")
		},
		run: func(ctx context.Context, j *job) error {
			c, err := j.client()
			if err != nil {
				return err
			}
			h, err := c.History(ctx, from, limit)
			if err != nil {
				return err
			}
			return j.records(h, full)
		},
		short:   "lists the accepted changes, newest first",
		example: "lacectl config history -limit 5 -full",
	}
}

func (j *job) records(h laceadmin.History, full bool) error {
	var rows [][]string
	for _, r := range h.Records {
		rows = append(rows, []string{
			strconv.FormatUint(r.Version, 10), r.Time.UTC().Format(time.RFC3339), r.Author, r.EditID, summary(r.Changes),
		})
	}
	if err := j.show(h, []string{"VERSION", "WHEN", "WHO", "EDIT", "CHANGED"}, rows); err != nil || !full || j.output == outputJSON {
		return err
	}
	for _, r := range h.Records {
		shown, err := diff(r.Changes)
		if err != nil {
			return err
		}
		if err = j.print(fmt.Sprintf("\nversion %d\n%s", r.Version, shown)); err != nil {
			return err
		}
	}
	return nil
}
