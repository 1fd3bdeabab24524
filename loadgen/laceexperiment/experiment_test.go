package laceexperiment

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceload"
)

// Guards against committed experiments that do not decode or refer to missing files.
func TestCommittedExperiments(t *testing.T) {
	root := filepath.Join("..", "..")
	files, err := filepath.Glob(filepath.Join(root, "experiments", "*.yaml"))
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		e, err := Decode(text)
		if err != nil {
			t.Errorf("%s: %v", file, err)
		}
		for _, name := range []string{e.Workload, e.Configuration, e.Standin, e.Settings} {
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
		if want := strings.TrimSuffix(filepath.Base(file), ".yaml"); e.Name != want {
			t.Errorf("%s has the name %s", file, e.Name)
		}
	}
}

const validExperiment = `{name: e, workload: w, configuration: c, standin: s, region: r, zones: [z], seeds: [1],
faults: [{kind: kill, every: 5s}], variants: [{name: a}, {name: b}]}`

// Guards against invalid experiment files that are accepted and start hours of runs.
func TestInvalidExperiments(t *testing.T) {
	if _, err := Decode([]byte(validExperiment)); err != nil {
		t.Fatal(err)
	}
	for valid, invalid := range map[string]string{
		"seeds: [1]":      "seeds: []",
		"[1]":             "[one]",
		"every: 5s":       "from: 5s",
		"kind: kill":      "kind: cut",
		"kind: kill,":     "kind: slow,",
		"name: b":         "name: a",
		"name: b}":        "name: b, flags: [x]}",
		"zones: [z]":      "zones: []",
		"variants: [{nam": "variants: [{nan",
	} {
		if _, err := Decode([]byte(strings.Replace(validExperiment, valid, invalid, 1))); err == nil {
			t.Errorf("accepted %q in place of %q", invalid, valid)
		}
	}
}

// Guards against experiment files that crash the tool.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validExperiment))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Decode(text)
		if err == nil && len(e.Seeds)*len(e.Variants) == 0 {
			t.Errorf("nothing to run: %+v", e)
		}
	})
}

// Guards against ports without the offset, which conflict with those of another run, and against other changes to a
// text.
func TestOffsetPorts(t *testing.T) {
	got := string(offsetPorts([]byte("a: 127.0.0.1:7300 # 7300\nb: [127.0.0.1:7301,127.0.0.1:80]"), 2000))
	if want := "a: 127.0.0.1:9300 # 7300\nb: [127.0.0.1:9301,127.0.0.1:2080]"; got != want {
		t.Error(got)
	}
}

func newEmulator(t *testing.T) (*laceemulator.Platform, *faultClient) {
	t.Helper()
	e := laceemulator.NewPlatform()
	e.SetFaults(laceemulator.PlatformFaults{Latency: 2 * time.Millisecond})
	s := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		s.Close()
		_ = e.Close()
	})
	p, err := newFaultClient(context.Background(), http.DefaultClient,
		laceunit.Address(strings.TrimPrefix(s.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	return e, p
}

// Guards against overlapping faults that remove each other, and against the loss of the stand-in's own fault settings.
func TestOverlappingFaultsAreCombined(t *testing.T) {
	e, p := newEmulator(t)
	ctx := context.Background()
	faults := []Fault{
		{Kind: FaultPartition, Direction: dropResponses},
		{Kind: FaultOutage},
		{Kind: FaultResponseLoss, Share: 0.25},
		{Kind: FaultLatency, Latency: time.Second},
	}
	for n, f := range faults {
		if err := p.addFault(ctx, n, f, []string{"router-3"}); err != nil {
			t.Fatal(err)
		}
	}
	got := e.Faults()
	if !got.Down || got.Partitions["router-3"] != laceemulator.DropResponses || got.LossRate != 0.25 ||
		got.Latency != time.Second {
		t.Errorf("%+v", got)
	}
	if err := p.removeFault(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if got = e.Faults(); got.Down || len(got.Partitions) != 1 || got.Latency != time.Second {
		t.Errorf("%+v after the outage", got)
	}
	for n := range faults {
		if err := p.removeFault(ctx, n); err != nil {
			t.Fatal(err)
		}
	}
	if got = e.Faults(); got.Down || len(got.Partitions) != 0 || got.LossRate != 0 ||
		got.Latency != 2*time.Millisecond {
		t.Errorf("%+v after all", got)
	}
}

// Guards against faults that remain active after their run, and against a share of instances that is rounded down to
// none or differs for the same seed.
func TestFaultInjector(t *testing.T) {
	e, p := newEmulator(t)
	injector := &faultInjector{
		fleet:    &fleet{experiment: Experiment{Instances: 7}},
		platform: p,
		random:   rand.New(rand.NewPCG(7, 1)),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	injector.run(ctx, []Fault{{Kind: FaultOutage}, {Kind: FaultPartition, Share: 0.01, Direction: dropRequests}})
	if got := e.Faults(); got.Down || len(got.Partitions) != 0 {
		t.Errorf("%+v after the run", got)
	}
	if len(injector.events) != 4 {
		t.Errorf("%q", injector.events)
	}
	for share, want := range map[float64]int{0.01: 1, 0.34: 2, 0.5: 4, 1: 7} {
		a, b := injector.pickInstances(share, rand.New(rand.NewPCG(1, 1))),
			injector.pickInstances(share, rand.New(rand.NewPCG(1, 1)))
		if len(a) != want || strings.Join(a, " ") != strings.Join(b, " ") {
			t.Errorf("share %v: %v and %v", share, a, b)
		}
	}
}

func newResult(variant, seed string, p99 float64, violations int64) RunResult {
	r := RunResult{
		Variant: variant,
		Seed:    seed,
	}
	r.Report.Requests.Sent, r.Report.Requests.Done = 200, 199
	r.Report.Latency.FirstToken = laceload.Quantiles{P50: 10, P95: 20, P99: p99}
	r.Report.Violations.DuplicateRuns = violations
	r.Report.Samples = []laceload.Sample{
		{Second: 1, Spent: 5, Paid: 10, PlatformCalls: 3},
		{Second: 2, Spent: 7, Paid: 10, PlatformCalls: 9},
	}
	return r
}

// Guards against medians, ratios and counts of violating runs that are mixed up between variants, and against failing
// plots.
func TestSummary(t *testing.T) {
	results := []RunResult{
		newResult("base", "1", 40, 0), newResult("new", "1", 60, 1), newResult("new", "2", 90, 0),
		newResult("base", "2", 50, 0), newResult("base", "3", 200, 0), newResult("new", "3", 100, 2),
	}
	s := Summarize("trial", results)
	goldie.New(t).Assert(t, "summary", []byte(s.Markdown()))
	if !HasViolations(results) || HasViolations(results[:1]) {
		t.Error("runs with violations are not detected")
	}
	dir := t.TempDir()
	if err := NewRunner(Experiment{Name: "trial"}, dir, 0, nil).writeResults(results); err != nil {
		t.Fatal(err)
	}
	for _, name := range strings.Fields(
		"summary.json summary.md latency.png latency.svg spend.png spend.svg platform.png platform.svg") {
		if i, err := os.Stat(filepath.Join(dir, name)); err != nil || i.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against instances that are not restarted after an unexpected exit, and against killed ones that are restarted
// twice.
func TestExitedInstancesAreRestarted(t *testing.T) {
	program := filepath.Join(t.TempDir(), "router")
	// The first instance exits immediately, the others keep running.
	script := "#!/bin/sh\ncase \"$*\" in *router-1*) exit 1;; esac\nexec sleep 60\n"
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		experiment: Experiment{
			Instances: 2,
			Zones:     []laceunit.ZoneID{"z"},
			Programs:  Programs{Router: program},
		},
		dir:          t.TempDir(),
		client:       &http.Client{},
		killed:       map[int]bool{},
		restartDelay: 10 * time.Millisecond,
		stopping:     make(chan struct{}),
	}
	f.workload.Standin.Platform = "127.0.0.1:1"
	started, err := f.launchAll()
	if err != nil {
		t.Fatal(err)
	}
	f.kill(1)
	// A faulty restart of the killed instance would happen before the other one has exited three times.
	deadline := time.Now().Add(20 * time.Second)
	for ticker := time.NewTicker(time.Millisecond); f.exitCount() < 3; <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatal("the instance was not restarted")
		}
	}
	f.mu.Lock()
	if f.instances[1] != started[1] {
		t.Error("a killed instance was restarted without a call of restart")
	}
	f.mu.Unlock()
	f.stop()
	if err := f.restart(0); err != nil || f.instances[0].PID() == 0 {
		t.Error(err)
	}
}

// Guards against a provisioner that fixes a different number of ledger shards than the instances use, which would then
// refuse every request.
func TestProvisionerUsesTheInstancesShardCount(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(file, []byte("ledger:\n  shards: 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if n, err := readShardCount(file); err != nil || n != 3 {
		t.Errorf("%d shards, %v", n, err)
	}
}
