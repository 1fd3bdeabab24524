package lacecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// The exit codes. exitViolation means that the run completed and a guarantee was violated.
const (
	exitOK        = 0
	exitViolation = 1
	exitError     = 2
)

const usage = `usage: loadgen COMMAND [FLAGS]

commands:
  run         play a workload against instances and check every answer
  overhead    measure what an instance adds to direct calls of a backend server
  experiment  run a workload repeatedly under faults and compare variants
  replay      run a file of recorded requests through the request machine and print its effects
  soak        run processes of the users' platform under seeded faults and check what they promise
`

// errViolation means that the run completed and a guarantee was violated.
var errViolation = errors.New("loadgen: a guarantee was violated")

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

type command func(ctx context.Context, args []string, s streams) error

// Run executes a command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	commands := map[string]command{
		"run":        runWorkload,
		"overhead":   runOverhead,
		"experiment": runExperiment,
		"replay":     runReplay,
		"soak":       runSoak,
	}
	if len(args) == 0 || commands[args[0]] == nil {
		_, _ = io.WriteString(stderr, usage)
		return exitError
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	err := commands[args[0]](ctx, args[1:], streams{
		out: stdout,
		err: stderr,
	})
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errViolation):
		return exitViolation
	}
	_, _ = fmt.Fprintln(stderr, "loadgen:", err)
	return exitError
}

// addressList is a flag value of comma-separated host:port pairs.
type addressList []laceunit.Address

// String implements flag.Value.
func (a *addressList) String() string {
	parts := make([]string, 0, len(*a))
	for _, address := range *a {
		parts = append(parts, string(address))
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value.
func (a *addressList) Set(text string) error {
	*a = nil
	for _, part := range strings.Split(text, ",") {
		if !laceconfig.IsHostPort(part) {
			return errors.Errorf("%q is not host:port", part)
		}
		*a = append(*a, laceunit.Address(part))
	}
	return nil
}
