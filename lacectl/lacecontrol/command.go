package lacecontrol

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// environment is what a command sees of the process.
type environment struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	get func(string) string
}

// command is one subcommand.
type command struct {
	name    string
	args    string
	short   string
	example string
	// count is how many arguments it takes; -1 takes any.
	count int
	// local commands call no instance, changing ones take -id and -dry.
	local    bool
	changing bool
	flags    func(*flag.FlagSet, *job)
	run      func(context.Context, *job) error
}

// job is one run of a command.
type job struct {
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

// run carries out one command line.
func run(ctx context.Context, e environment, line []string) exit {
	if len(line) == 0 {
		overview(e.err)
		return exitUsage
	}
	if line[0] == "help" || line[0] == "-h" || line[0] == "-help" || line[0] == "--help" {
		overview(e.out)
		return exitOK
	}
	c, rest, ok := find(line)
	if !ok {
		_, _ = fmt.Fprintf(e.err, "lacectl: no command %q; lacectl help lists them\n", strings.Join(line, " "))
		return exitUsage
	}
	j := &job{
		environment: e,
		command:     c,
	}
	err := j.start(ctx, rest)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(e.err, "lacectl: "+err.Error())
	}
	return exitOf(err)
}

// find returns the command with the longest name that the line starts with.
func find(line []string) (command, []string, bool) {
	for words := min(2, len(line)); words > 0; words-- {
		name := strings.Join(line[:words], " ")
		for _, c := range commands() {
			if c.name == name {
				return c, line[words:], true
			}
		}
	}
	return command{}, nil, false
}

func (j *job) start(ctx context.Context, line []string) error {
	set := flag.NewFlagSet(j.command.name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	j.register(set, j.command, j.get)
	if j.command.flags != nil {
		j.command.flags(set, j)
	}
	// Flags may stand before and after the arguments.
	for len(line) > 0 {
		if err := set.Parse(line); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				j.help(set)
				return err
			}
			return usage(err.Error())
		}
		if line = set.Args(); len(line) > 0 {
			j.args = append(j.args, line[0])
			line = line[1:]
		}
	}
	if j.command.count >= 0 && len(j.args) != j.command.count {
		return usage("usage: lacectl " + j.command.name + " [flags] " + j.command.args)
	}
	if j.output != outputTable && j.output != outputJSON {
		return usage("-output is table or json")
	}
	ctx, cancel := context.WithTimeout(ctx, j.timeout)
	defer cancel()
	return j.command.run(ctx, j)
}

func (j *job) help(set *flag.FlagSet) {
	_, _ = fmt.Fprintf(j.out, "usage: lacectl %s [flags] %s\n\n%s\n\nexample:\n  %s\n\nflags:\n",
		j.command.name, j.command.args, j.command.short, j.command.example)
	set.SetOutput(j.out)
	set.PrintDefaults()
}

func overview(w io.Writer) {
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
