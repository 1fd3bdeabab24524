package lacecommand

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/loadgen/lacesoak"
)

// instanceMemoryMB is the estimated memory of an instance under load.
const instanceMemoryMB = 48

// runSoak runs the soak test with each seed against processes of the users' platform.
func runSoak(ctx context.Context, args []string, s streams) error {
	flags := flag.NewFlagSet("loadgen soak", flag.ContinueOnError)
	flags.SetOutput(s.err)
	program := flags.String("program", "target/platform", "the program to run, built from platform/")
	dir := flags.String("dir", "", "directory of settings and logs; empty means a temporary one, kept only on a failure")
	seed := flags.Uint64("seed", 1, "first seed of the faults")
	seeds := flags.Uint64("seeds", 1, "number of seeds to play, one after the other")
	memory := flags.Int("memory", 4096, "megabytes that all instances may need")
	var o lacesoak.Options
	flags.DurationVar(&o.Duration, "duration", 30*time.Second, "length of the timeline, with the quiet tail")
	flags.IntVar(&o.Instances, "instances", 5, "number of instances")
	flags.Float64Var(&o.LinkMbits, "narrow", -1,
		"Mbit/s of a narrow link that callers press; 0 is none, below 0 as the seed says")
	flags.IntVar(&o.LinkInstance, "behind", -1, "instance behind the narrow link; below 0 as the seed says")
	flags.IntVar(&o.Restores, "restores", -1, "restores of the store from a backup; below 0 as the seed says")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if o.Instances < 1 || o.Instances*instanceMemoryMB > *memory {
		return errors.Errorf("soak: %d instances: the number must be at least 1, with a total memory of at most %d MB",
			o.Instances, *memory)
	}
	if o.LinkInstance >= o.Instances {
		return errors.Errorf("soak: instance %d does not exist", o.LinkInstance)
	}
	if o.Duration <= lacesoak.QuietPeriod {
		return errors.Errorf("soak: the duration must be longer than the quiet period of %s", lacesoak.QuietPeriod)
	}
	var violation error
	for n := *seed; n < *seed+*seeds; n++ {
		err := runSeed(ctx, *program, *dir, n, o, s)
		if err != nil && !errors.Is(err, errViolation) {
			return errors.Wrapf(err, "seed %d", n)
		}
		if err != nil {
			violation = err
		}
	}
	return violation
}

// runSeed runs the soak test with one seed. It keeps the directory if a guarantee was violated or the test failed.
func runSeed(ctx context.Context, program, dir string, seed uint64, o lacesoak.Options, s streams) error {
	seedDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if dir == "" {
		var err error
		if seedDir, err = os.MkdirTemp("", "lacesoak-"); err != nil {
			return errors.Wrap(err, "soak")
		}
	}
	report, err := lacesoak.Run(ctx, program, seedDir, seed, o)
	if err != nil {
		return errors.Wrap(err, "logs are in "+seedDir)
	}
	if err := report.Print(s.out); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolation
	}
	if dir == "" {
		return errors.Wrap(os.RemoveAll(seedDir), "soak")
	}
	return nil
}
