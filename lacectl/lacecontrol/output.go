package lacecontrol

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"

	"lacewingcove/lib/laceadmin"
)

// printResult prints a value as JSON, or the rows as a table with a heading.
func (j *invocation) printResult(v any, heading []string, rows [][]string) error {
	if j.outputFormat == outputJSON {
		text, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return errors.Wrap(err, "output")
		}
		return j.print(string(text) + "\n")
	}
	w := tabwriter.NewWriter(j.stdout, 0, 8, 2, ' ', 0)
	for _, r := range append([][]string{heading}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return errors.Wrap(err, "output")
		}
	}
	return errors.Wrap(w.Flush(), "output")
}

func (j *invocation) print(text string) error {
	_, err := fmt.Fprint(j.stdout, text)
	return errors.Wrap(err, "output")
}

// unifiedDiff renders the changes as unified diffs, one for each entry.
func unifiedDiff(changes []laceadmin.Change) (string, error) {
	var b strings.Builder
	for _, c := range changes {
		name := c.Section
		if c.Entry != "" {
			name += "." + c.Entry
		}
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:        splitLines(c.Before),
			B:        splitLines(c.After),
			FromFile: "current/" + name,
			ToFile:   "edited/" + name,
			Context:  2,
		})
		if err != nil {
			return "", errors.Wrap(err, "difference")
		}
		b.WriteString(text)
	}
	return b.String(), nil
}

func splitLines(text string) []string {
	all := strings.SplitAfter(text, "\n")
	if all[len(all)-1] == "" {
		all = all[:len(all)-1]
	}
	return all
}

func summarizeChanges(changes []laceadmin.Change) string {
	var names []string
	for _, c := range changes {
		name := c.Section
		if c.Entry != "" {
			name += "." + c.Entry
		}
		names = append(names, name)
	}
	if len(names) > 4 {
		names = append(names[:4], fmt.Sprintf("and %d more", len(names)-4))
	}
	return strings.Join(names, ", ")
}
