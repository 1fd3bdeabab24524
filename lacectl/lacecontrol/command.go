package lacecontrol

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// environment holds the standard streams and environment variables that a command uses.
type environment struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	getenv func(string) string
}

// command is one subcommand.
type command struct {
	name     string
	argNames string
	short    string
	example  string
	// argCount is the required number of positional arguments; -1 allows any number.
	argCount int
	// Commands that are local send no request to an instance; mutating ones accept -id and -dry.
	local         bool
	mutating      bool
	registerFlags func(*flag.FlagSet, *invocation)
	run           func(context.Context, *invocation) error
}

// invocation is a single execution of a command.
type invocation struct {
	environment
	options
	command command
	args    []string
}

func commands() []command {
	all := configCommands()
	all = append(all, accountCommands()...)
	all = append(all, budgetCommands()...)
	all = append(all, fleetCommands()...)
	return append(all, checkCommand(), explainCommand())
}

// run executes the command that args name and returns its exit code.
func run(ctx context.Context, e environment, args []string) exitCode {
	if len(args) == 0 {
		printOverview(e.stderr)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		printOverview(e.stdout)
		return exitOK
	}
	c, rest, ok := findCommand(args)
	if !ok {
		_, _ = fmt.Fprintf(e.stderr, "lacectl: no command %q; lacectl help lists them\n", strings.Join(args, " "))
		return exitUsage
	}
	j := &invocation{
		environment: e,
		command:     c,
	}
	err := j.parseAndRun(ctx, rest)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(e.stderr, "lacectl: "+err.Error())
	}
	return exitCodeOf(err)
}

// findCommand returns the command with the longest name that is a prefix of args, and the remaining arguments.
func findCommand(args []string) (command, []string, bool) {
	for words := min(2, len(args)); words > 0; words-- {
		name := strings.Join(args[:words], " ")
		for _, c := range commands() {
			if c.name == name {
				return c, args[words:], true
			}
		}
	}
	return command{}, nil, false
}

func (j *invocation) parseAndRun(ctx context.Context, args []string) error {
	set := flag.NewFlagSet(j.command.name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	j.registerFlags(set, j.command, j.getenv)
	if j.command.registerFlags != nil {
		j.command.registerFlags(set, j)
	}
	// Flags may precede or follow the positional arguments.
	for len(args) > 0 {
		if err := set.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				j.printHelp(set)
				return err
			}
			return newUsageError(err.Error())
		}
		if args = set.Args(); len(args) > 0 {
			j.args = append(j.args, args[0])
			args = args[1:]
		}
	}
	if j.command.argCount >= 0 && len(j.args) != j.command.argCount {
		return newUsageError("usage: lacectl " + j.command.name + " [flags] " + j.command.argNames)
	}
	if j.outputFormat != outputTable && j.outputFormat != outputJSON {
		return newUsageError("-output is table or json")
	}
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	return j.command.run(ctx, j)
}

func (j *invocation) printHelp(set *flag.FlagSet) {
	_, _ = fmt.Fprintf(j.stdout, "usage: lacectl %s [flags] %s\n\n%s\n\nexample:\n  %s\n\nflags:\n",
		j.command.name, j.command.argNames, j.command.short, j.command.example)
	set.SetOutput(j.stdout)
	set.PrintDefaults()
}

func printOverview(w io.Writer) {
	_, _ = fmt.Fprint(w, "usage: lacectl COMMAND [flags] [arguments]\n\ncommands:\n")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-16s %s\n", c.name, c.short)
	}
	_, _ = fmt.Fprint(w, `
lacectl COMMAND -help shows the flags and an example.

exit codes:
  0  done
  1  failed
  2  wrong command line
  3  conflict: something else was accepted first, or the id was used for another request
  4  unavailable, or the outcome is unknown: repeat with the same -id
`)
}
