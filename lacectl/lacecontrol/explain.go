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
		name: "explain", argNames: "REQUEST-ID [LOG ...]", argCount: -1, local: true, run: explain,
		short:   "tells the story of a request from the logs of all instances, or from standard input",
		example: "lacectl explain 9c41d07be2a35f68 router-1.log router-2.log",
	}
}

func explain(_ context.Context, j *invocation) error {
	if len(j.args) == 0 {
		return newUsageError("usage: lacectl explain " + j.command.argNames)
	}
	lines, err := j.readLogs(j.args[1:])
	if err != nil {
		return err
	}
	timeline, err := lacelog.Timeline(lines, j.args[0])
	if err != nil {
		return err
	}
	return lacelog.PrintTimeline(j.stdout, timeline)
}

// readLogs reads the log files, or standard input if none are given.
func (j *invocation) readLogs(files []string) ([]lacelog.Line, error) {
	if len(files) == 0 {
		return j.readLog("standard input", j.stdin)
	}
	var all []lacelog.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		lines, err := j.readLog(name, f)
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

func (j *invocation) readLog(name string, r io.Reader) ([]lacelog.Line, error) {
	lines, skipped, err := lacelog.Read(r)
	if skipped > 0 {
		_, _ = fmt.Fprintf(j.stderr, "lacectl: %s: skipped %d lines that are not log records of an instance\n", name, skipped)
	}
	return lines, err
}
