package lacestandin

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-logr/logr/funcr"
)

// Main runs the emulators according to the command line of the process and returns the exit code.
func Main() int {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

// run starts the emulators of the settings and flags, and stops them on SIGINT or SIGTERM.
func run(arguments []string) error {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	path := flags.String("config", "samples/standin.yaml", "settings file")
	only := flags.String("only", "", "parts to run, of platform, list, weights, engines and services; empty means all")
	seed := flags.Uint64("seed", 0, "seed of the random faults; 0 means the one of the settings file")
	var faults stringList
	flags.Var(
		&faults, "fault",
		"faults of the platform or one server from the start, as server:name=value,...; may be repeated",
	)
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	s, err := loadSettings(*path)
	if err != nil {
		return err
	}
	if err = s.applyFlags(*seed, *only, faults); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := funcr.New(func(_, text string) { fmt.Fprintln(os.Stderr, text) }, funcr.Options{
		LogTimestamp: true,
	})
	k, err := assemble(s, log)
	if err != nil {
		return err
	}
	k.Start(context.WithoutCancel(ctx))
	log.Info("ready", "seed", s.Seed)
	<-ctx.Done()
	return k.Close()
}

// stringList is the value of a flag that may be repeated.
type stringList []string

// String implements flag.Value.
func (t *stringList) String() string {
	return strings.Join(*t, " ")
}

// Set implements flag.Value.
func (t *stringList) Set(text string) error {
	*t = append(*t, text)
	return nil
}
