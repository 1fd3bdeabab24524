package laceexperiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"lacewingcove/loadgen/laceload"
	"lacewingcove/loadgen/laceworkload"
)

// Outcome is one run of one variant.
type RunResult struct {
	Variant     string   `json:"variant"`
	Seed        string   `json:"seed"`
	FaultEvents []string `json:"faults"`
	// Exits is how many instances ended by themselves and were started again.
	UnexpectedExits int             `json:"exits"`
	Report          laceload.Report `json:"report"`
}

// Runner runs an experiment.
type Runner struct {
	experiment Experiment
	dir        string
	offset     int
	progress   io.Writer
}

// NewRunner returns a runner that writes into a directory and adds an offset to all ports.
func NewRunner(e Experiment, dir string, offset int, progress io.Writer) *Runner {
	e.BasePort += offset
	return &Runner{
		experiment: e,
		dir:        dir,
		offset:     offset,
		progress:   progress,
	}
}

// Do runs each variant with each seed, in turn, and writes the results.
func (r *Runner) Run(ctx context.Context) ([]RunResult, error) {
	var all []RunResult
	for i, seed := range r.experiment.Seeds {
		for j := range r.experiment.Variants {
			// The order turns with each seed, so that no variant always has the machine in the same state.
			v := r.experiment.Variants[(i+j)%len(r.experiment.Variants)]
			_, _ = fmt.Fprintf(r.progress, "%s: variant %s, seed %s\n", r.experiment.Name, v.Name, seed)
			o, err := r.once(ctx, v, seed)
			if err != nil {
				return all, errors.Wrapf(err, "variant %s, seed %s", v.Name, seed)
			}
			all = append(all, o)
		}
	}
	return all, r.write(all)
}

// once runs one variant with one seed.
func (r *Runner) once(ctx context.Context, v Variant, seed string) (RunResult, error) {
	dir := filepath.Join(r.dir, "runs", v.Name+"-"+seed)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return RunResult{}, errors.Wrap(err, "experiment")
	}
	w, in, err := r.inputs(dir)
	if err != nil {
		return RunResult{}, err
	}
	number, err := strconv.ParseUint(seed, 10, 64)
	if err != nil {
		return RunResult{}, errors.Wrap(err, "experiment")
	}
	f, err := startFleet(ctx, r.experiment, v, w, dir, seed, in)
	if err != nil {
		return RunResult{}, err
	}
	defer f.stop()
	p, err := openPlatform(ctx, f.client, w.Standin.Platform)
	if err != nil {
		return RunResult{}, err
	}
	o := RunResult{
		Variant: v.Name,
		Seed:    seed,
	}
	s := &schedule{
		fleet:    f,
		platform: p,
		random:   rand.New(rand.NewPCG(number, 1)),
	}
	if !v.NoFaults {
		defer r.disturb(ctx, s)()
	}
	o.Report, err = laceload.New(w, number, f.addresses(), laceload.WithProgress(r.progress),
		laceload.WithBalanceSource(ledgerBalances{ledger: f.operator.ledger}, 0)).Do(ctx)
	if err != nil {
		return RunResult{}, err
	}
	o.UnexpectedExits = f.exited()
	s.mu.Lock()
	o.FaultEvents = append(o.FaultEvents, s.noted...)
	s.mu.Unlock()
	return o, o.save(dir)
}

// disturb carries the faults out while requests arrive; the returned function ends and awaits them.
func (r *Runner) disturb(ctx context.Context, s *schedule) func() {
	ctx, cancel := context.WithTimeout(ctx, r.experiment.Duration)
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		s.run(ctx, r.experiment.Faults)
	}()
	return func() {
		cancel()
		done.Wait()
	}
}

// inputs reads the workload and copies the files of the run with their ports moved.
func (r *Runner) inputs(dir string) (laceworkload.Workload, files, error) {
	in := files{
		configuration: filepath.Join(dir, "configuration.yaml"),
		standin:       filepath.Join(dir, "standin.yaml"),
	}
	load := filepath.Join(dir, "workload.yaml")
	for from, to := range map[string]string{
		r.experiment.Configuration: in.configuration,
		r.experiment.Standin:       in.standin,
		r.experiment.Workload:      load,
	} {
		if err := move(from, to, r.offset); err != nil {
			return laceworkload.Workload{}, files{}, err
		}
	}
	text, err := os.ReadFile(load)
	if err != nil {
		return laceworkload.Workload{}, files{}, errors.Wrap(err, "experiment")
	}
	w, err := laceworkload.Decode(text)
	if err != nil {
		return laceworkload.Workload{}, files{}, errors.Wrap(err, r.experiment.Workload)
	}
	if w.Standin.Platform == "" {
		return laceworkload.Workload{}, files{}, errors.Errorf("%s: standin.platform is needed", r.experiment.Workload)
	}
	w.Duration = r.experiment.Duration
	return w, in, nil
}

// save writes one run.
func (o *RunResult) save(dir string) error {
	if err := writeJSON(filepath.Join(dir, "run.json"), o); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(dir, "report.txt"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	if err := o.Report.Print(f); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "experiment")
	}
	return errors.Wrap(f.Close(), "experiment")
}

func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o600), "experiment")
}

// write writes the summary and the plots.
func (r *Runner) write(all []RunResult) error {
	s := Summarize(r.experiment.Name, all)
	if err := writeJSON(filepath.Join(r.dir, "summary.json"), s); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, "summary.md"), []byte(s.Markdown()), 0o600); err != nil {
		return errors.Wrap(err, "experiment")
	}
	return draw(r.dir, r.experiment.Name, all)
}

// Broken reports whether a promise was broken in any run.
func HasViolations(all []RunResult) bool {
	for _, o := range all {
		if o.Report.Violations.Any() {
			return true
		}
	}
	return false
}
