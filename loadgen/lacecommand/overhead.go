package lacecommand

import (
	"context"
	"flag"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceoverhead"
)

// runOverhead measures the latency that an instance adds to direct calls, and its capacity.
func runOverhead(ctx context.Context, args []string, s streams) error {
	flags := flag.NewFlagSet("loadgen overhead", flag.ContinueOnError)
	flags.SetOutput(s.err)
	path := flags.String("workload", "samples/coop-load.yaml", "workload file; one class of each kind is measured")
	seed := flags.Uint64("seed", 1, "seed of the requests")
	instance := flags.String("instance", "", "address of the instance")
	engine := flags.String("engine", "", "address of an engine for the direct calls")
	service := flags.String("service", "", "address of a plain service for the direct calls")
	pairs := flags.Int("pairs", 300, "pairs of a routed and a direct call for each kind")
	workers := flags.Int("workers", 32, "workers that send small chats to find the capacity; 0 leaves it out")
	period := flags.Duration("period", 5*time.Second, "how long they send")
	pid := flags.Int("pid", 0, "process of the instance, for requests a second and core; 0 leaves that out")
	out := flags.String("out", "", "directory for report.json and report.txt; empty means none")
	if err := flags.Parse(args); err != nil {
		return err
	}
	for _, address := range []string{*instance, *engine, *service} {
		if !laceconfig.IsHostPort(address) {
			return errors.Errorf("overhead: %q is not host:port", address)
		}
	}
	w, err := readWorkload(*path)
	if err != nil {
		return err
	}
	m, err := laceoverhead.New(laceoverhead.Options{
		Workload:     w,
		Seed:         *seed,
		Instance:     laceunit.Address(*instance),
		Engine:       laceunit.Address(*engine),
		Service:      laceunit.Address(*service),
		Pairs:        *pairs,
		Workers:      *workers,
		LoadDuration: *period,
		PID:          *pid,
	})
	if err != nil {
		return err
	}
	report, err := m.Run(ctx)
	if err != nil {
		return err
	}
	if err = report.Print(s.out); err != nil {
		return errors.Wrap(err, "report")
	}
	return saveReport(*out, &report)
}
