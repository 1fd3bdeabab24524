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

// instanceMemory is what an instance is reckoned to need under load, in megabytes.
const instanceMemory = 48

// soak plays seeds of faults against processes of the users' platform.
func soak(ctx context.Context, args []string, s streams) error {
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
	flags.Float64Var(&o.LinkMbits, "narrow", -1, "Mbit/s of a narrow link that callers press; 0 is none, below 0 as the seed says")
	flags.IntVar(&o.LinkInstance, "behind", -1, "instance behind the narrow link; below 0 as the seed says")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if o.Instances < 1 || o.Instances*instanceMemory > *memory {
		return errors.Errorf("soak: %d instances are none or need more than %d MB", o.Instances, *memory)
	}
	if o.LinkInstance >= o.Instances {
		return errors.Errorf("soak: there is no instance %d", o.LinkInstance)
	}
	if o.Duration <= lacesoak.QuietPeriod {
		return errors.Errorf("soak: the duration has to be longer than the quiet tail of %s", lacesoak.QuietPeriod)
	}
	var broken error
	for n := *seed; n < *seed+*seeds; n++ {
		err := soakSeed(ctx, *program, *dir, n, o, s)
		if err != nil && !errors.Is(err, errBroken) {
			return errors.Wrapf(err, "seed %d", n)
		}
		if err != nil {
			broken = err
		}
	}
	return broken
}

// soakSeed plays one seed and keeps its directory when a promise was broken or the soak failed.
func soakSeed(ctx context.Context, program, dir string, seed uint64, o lacesoak.Options, s streams) error {
	own := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	if dir == "" {
		var err error
		if own, err = os.MkdirTemp("", "lacesoak-"); err != nil {
			return errors.Wrap(err, "soak")
		}
	}
	report, err := lacesoak.Run(ctx, program, own, seed, o)
	if err != nil {
		return errors.Wrap(err, "logs are in "+own)
	}
	if err := report.Print(s.out); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errBroken
	}
	if dir == "" {
		return errors.Wrap(os.RemoveAll(own), "soak")
	}
	return nil
}
