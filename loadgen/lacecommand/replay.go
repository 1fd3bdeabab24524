package lacecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacetrace"
)

// runReplay runs the traces of a file through the request state machine and prints the effects of each input. Every
// recorded request had ended, so one that does not end in the replay is a violated guarantee.
func runReplay(ctx context.Context, args []string, s streams) error {
	flags := flag.NewFlagSet("loadgen replay", flag.ContinueOnError)
	flags.SetOutput(s.err)
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return errors.New("replay: exactly one trace file is required")
	}
	f, err := os.Open(flags.Arg(0))
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	defer func() { _ = f.Close() }()
	decoder := lacetrace.NewDecoder(f)
	count, unfinished := 0, 0
	for ctx.Err() == nil {
		var t lacetrace.Trace
		t, err = decoder.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "replay")
		}
		count++
		text, ended := lacetrace.Replay(t)
		if !ended {
			unfinished++
		}
		if _, err = fmt.Fprintf(s.out, "request %s/%s\n%s\n", t.Spec.Request.Account, t.Spec.Request.ID, text); err != nil {
			return errors.Wrap(err, "replay")
		}
	}
	if err = ctx.Err(); err != nil {
		return err
	}
	if _, err = fmt.Fprintf(s.out, "%d requests, %d not ended\n", count, unfinished); err != nil {
		return errors.Wrap(err, "replay")
	}
	if unfinished > 0 {
		return errViolation
	}
	return nil
}
