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

// show prints a value as JSON, or as a table of rows below a heading.
func (j *job) show(v any, heading []string, rows [][]string) error {
	if j.output == outputJSON {
		text, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return errors.Wrap(err, "output")
		}
		return j.print(string(text) + "\n")
	}
	w := tabwriter.NewWriter(j.out, 0, 8, 2, ' ', 0)
	for _, r := range append([][]string{heading}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return errors.Wrap(err, "output")
		}
	}
	return errors.Wrap(w.Flush(), "output")
}

func (j *job) print(text string) error {
	_, err := fmt.Fprint(j.out, text)
	return errors.Wrap(err, "output")
}

// diff renders changes as unified differences, one for each entry.
func diff(changes []laceadmin.Change) (string, error) {
	var b strings.Builder
	for _, c := range changes {
		name := c.Section
		if c.Entry != "" {
			name += "." + c.Entry
		}
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:        lines(c.Before),
			B:        lines(c.After),
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

func lines(text string) []string {
	all := strings.SplitAfter(text, "\n")
	if all[len(all)-1] == "" {
		all = all[:len(all)-1]
	}
	return all
}

func summary(changes []laceadmin.Change) string {
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
