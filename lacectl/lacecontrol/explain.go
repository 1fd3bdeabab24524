package lacecontrol

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
)

func explainCommand() command {
	return command{
		name: "explain", args: "REQUEST-ID [LOG ...]", count: -1, local: true, run: explain,
		short:   "tells the story of a request from the logs of all instances, or from standard input",
		example: "lacectl explain 9c41d07be2a35f68 router-1.log router-2.log",
	}
}

func explain(_ context.Context, j *job) error {
	if len(j.args) == 0 {
		return usage("usage: lacectl explain " + j.command.args)
	}
	lines, err := j.logs(j.args[1:])
	if err != nil {
		return err
	}
	story, err := lacelog.Timeline(lines, j.args[0])
	if err != nil {
		return err
	}
	return lacelog.PrintTimeline(j.out, story)
}

// logs reads files, or standard input without any.
func (j *job) logs(files []string) ([]lacelog.Line, error) {
	if len(files) == 0 {
		return j.log("standard input", j.in)
	}
	var all []lacelog.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		lines, err := j.log(name, f)
		if closeErr := f.Close(); err == nil && closeErr != nil {
			err = errors.Wrap(closeErr, "explain")
		}
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (j *job) log(name string, r io.Reader) ([]lacelog.Line, error) {
	lines, skipped, err := lacelog.Read(r)
	if skipped > 0 {
		_, _ = fmt.Fprintf(j.err, "lacectl: %s: %d lines are not of an instance\n", name, skipped)
	}
	return lines, err
}
