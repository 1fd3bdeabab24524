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

// replay runs the traces of a file through the request machine and prints the effects of each input. A request that
// ended in the run and does not end now breaks a promise.
func replay(ctx context.Context, args []string, s streams) error {
	flags := flag.NewFlagSet("loadgen replay", flag.ContinueOnError)
	flags.SetOutput(s.err)
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return errors.New("replay: one file of traces is needed")
	}
	f, err := os.Open(flags.Arg(0))
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	defer func() { _ = f.Close() }()
	decoder := lacetrace.NewDecoder(f)
	count, open := 0, 0
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
			open++
		}
		if _, err = fmt.Fprintf(s.out, "request %s/%s\n%s\n", t.Spec.Request.Account, t.Spec.Request.ID, text); err != nil {
			return errors.Wrap(err, "replay")
		}
	}
	if err = ctx.Err(); err != nil {
		return err
	}
	if _, err = fmt.Fprintf(s.out, "%d requests, %d not ended\n", count, open); err != nil {
		return errors.Wrap(err, "replay")
	}
	if open > 0 {
		return errBroken
	}
	return nil
}
