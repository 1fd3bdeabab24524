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

// Main starts what the command line of the process says and returns its exit code.
func Main() int {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

// run starts what the settings and flags say and stops it on SIGINT or SIGTERM.
func run(arguments []string) error {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	path := flags.String("config", "samples/standin.yaml", "settings file")
	only := flags.String("only", "", "parts to run, of platform, list, weights, engines and services; empty means all")
	seed := flags.Uint64("seed", 0, "seed of the random faults; 0 means the one of the settings file")
	var faults texts
	flags.Var(&faults, "fault", "faults of the platform or one server from the start, as server:name=value,...; may be repeated")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	s, err := load(*path)
	if err != nil {
		return err
	}
	if err = s.override(*seed, *only, faults); err != nil {
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

// texts is a flag that may be repeated.
type texts []string

// String implements flag.Value.
func (t *texts) String() string {
	return strings.Join(*t, " ")
}

// Set implements flag.Value.
func (t *texts) Set(text string) error {
	*t = append(*t, text)
	return nil
}
