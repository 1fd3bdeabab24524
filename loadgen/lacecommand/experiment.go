package lacecommand

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/loadgen/laceexperiment"
)

// runExperiment runs an experiment file and prints a summary of its variants.
func runExperiment(ctx context.Context, args []string, s streams) error {
	flags := flag.NewFlagSet("loadgen experiment", flag.ContinueOnError)
	flags.SetOutput(s.err)
	out := flags.String("out", "", "directory of the results; empty means out/NAME-TIME")
	offset := flags.Int("offset", 0, "number added to every loopback port, so that several runs fit on a machine")
	duration := flags.Duration("duration", 0, "how long requests arrive; 0 means as the file says")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return errors.New("experiment: exactly one file is required, after the flags")
	}
	text, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	e, err := laceexperiment.Decode(text)
	if err != nil {
		return errors.Wrap(err, flags.Arg(0))
	}
	if *duration > 0 {
		e.Duration = *duration
	}
	dir := *out
	if dir == "" {
		dir = filepath.Join("out", e.Name+"-"+time.Now().UTC().Format("20060102-150405"))
	}
	results, err := laceexperiment.NewRunner(e, dir, *offset, s.err).Run(ctx)
	if err != nil {
		return err
	}
	if _, err = s.out.Write([]byte(laceexperiment.Summarize(e.Name, results).Markdown() + "\nresults in " + dir +
		"\n")); err != nil {
		return errors.Wrap(err, "experiment")
	}
	if laceexperiment.HasViolations(results) {
		return errViolation
	}
	return nil
}
