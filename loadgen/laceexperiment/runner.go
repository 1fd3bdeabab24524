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

// RunResult is the result of one run of one variant.
type RunResult struct {
	Variant     string   `json:"variant"`
	Seed        string   `json:"seed"`
	FaultEvents []string `json:"faults"`
	// UnexpectedExits is the number of unexpected exits of instances that were followed by a restart.
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

// NewRunner returns a runner that writes its results into a directory and adds an offset to all ports.
func NewRunner(e Experiment, dir string, offset int, progress io.Writer) *Runner {
	e.BasePort += offset
	return &Runner{
		experiment: e,
		dir:        dir,
		offset:     offset,
		progress:   progress,
	}
}

// Run runs each variant with each seed, one run at a time, and writes the results.
func (r *Runner) Run(ctx context.Context) ([]RunResult, error) {
	var results []RunResult
	for i, seed := range r.experiment.Seeds {
		for j := range r.experiment.Variants {
			// The order of the variants rotates with each seed, so that no variant always runs in the same machine state.
			v := r.experiment.Variants[(i+j)%len(r.experiment.Variants)]
			_, _ = fmt.Fprintf(r.progress, "%s: variant %s, seed %s\n", r.experiment.Name, v.Name, seed)
			result, err := r.runOnce(ctx, v, seed)
			if err != nil {
				return results, errors.Wrapf(err, "variant %s, seed %s", v.Name, seed)
			}
			results = append(results, result)
		}
	}
	return results, r.writeResults(results)
}

// runOnce runs one variant with one seed.
func (r *Runner) runOnce(ctx context.Context, v Variant, seed string) (RunResult, error) {
	dir := filepath.Join(r.dir, "runs", v.Name+"-"+seed)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return RunResult{}, errors.Wrap(err, "experiment")
	}
	w, in, err := r.copyInputs(dir)
	if err != nil {
		return RunResult{}, err
	}
	seedNumber, err := strconv.ParseUint(seed, 10, 64)
	if err != nil {
		return RunResult{}, errors.Wrap(err, "experiment")
	}
	f, err := startFleet(ctx, r.experiment, v, w, dir, seed, in)
	if err != nil {
		return RunResult{}, err
	}
	defer f.stop()
	p, err := newFaultClient(ctx, f.client, w.Standin.Platform)
	if err != nil {
		return RunResult{}, err
	}
	result := RunResult{
		Variant: v.Name,
		Seed:    seed,
	}
	injector := &faultInjector{
		fleet:    f,
		platform: p,
		random:   rand.New(rand.NewPCG(seedNumber, 1)),
	}
	if !v.NoFaults {
		defer r.startFaults(ctx, injector)()
	}
	result.Report, err = laceload.New(w, seedNumber, f.addresses(), laceload.WithProgress(r.progress),
		laceload.WithBalanceSource(ledgerBalances{ledger: f.provisioner.ledger}, 0)).Do(ctx)
	if err != nil {
		return RunResult{}, err
	}
	result.UnexpectedExits = f.exitCount()
	injector.mu.Lock()
	result.FaultEvents = append(result.FaultEvents, injector.events...)
	injector.mu.Unlock()
	return result, result.save(dir)
}

// startFaults injects the faults while requests arrive; the returned function cancels them and waits for their removal.
func (r *Runner) startFaults(ctx context.Context, injector *faultInjector) func() {
	ctx, cancel := context.WithTimeout(ctx, r.experiment.Duration)
	var worker sync.WaitGroup
	worker.Add(1)
	go func() {
		defer worker.Done()
		injector.run(ctx, r.experiment.Faults)
	}()
	return func() {
		cancel()
		worker.Wait()
	}
}

// copyInputs copies the input files of the run with offset ports and decodes the workload.
func (r *Runner) copyInputs(dir string) (laceworkload.Workload, inputFiles, error) {
	in := inputFiles{
		configuration: filepath.Join(dir, "configuration.yaml"),
		standin:       filepath.Join(dir, "standin.yaml"),
	}
	workload := filepath.Join(dir, "workload.yaml")
	for from, to := range map[string]string{
		r.experiment.Configuration: in.configuration,
		r.experiment.Standin:       in.standin,
		r.experiment.Workload:      workload,
	} {
		if err := copyWithOffset(from, to, r.offset); err != nil {
			return laceworkload.Workload{}, inputFiles{}, err
		}
	}
	text, err := os.ReadFile(workload)
	if err != nil {
		return laceworkload.Workload{}, inputFiles{}, errors.Wrap(err, "experiment")
	}
	w, err := laceworkload.Decode(text)
	if err != nil {
		return laceworkload.Workload{}, inputFiles{}, errors.Wrap(err, r.experiment.Workload)
	}
	if w.Standin.Platform == "" {
		return laceworkload.Workload{}, inputFiles{},
			errors.Errorf("%s: standin.platform is required", r.experiment.Workload)
	}
	w.Duration = r.experiment.Duration
	return w, in, nil
}

// save writes the result and report of one run.
func (r *RunResult) save(dir string) error {
	if err := writeJSON(filepath.Join(dir, "run.json"), r); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(dir, "report.txt"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	if err := r.Report.Print(f); err != nil {
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

// writeResults writes the summary and the plots.
func (r *Runner) writeResults(results []RunResult) error {
	s := Summarize(r.experiment.Name, results)
	if err := writeJSON(filepath.Join(r.dir, "summary.json"), s); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, "summary.md"), []byte(s.Markdown()), 0o600); err != nil {
		return errors.Wrap(err, "experiment")
	}
	return writePlots(r.dir, r.experiment.Name, results)
}

// HasViolations reports whether a guarantee was violated in any run.
func HasViolations(results []RunResult) bool {
	for _, r := range results {
		if r.Report.Violations.Any() {
			return true
		}
	}
	return false
}
