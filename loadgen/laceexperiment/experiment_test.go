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

// Guards against committed experiments that do not decode or name files that are not there.
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
			t.Errorf("%s is called %s", file, e.Name)
		}
	}
}

const good = `{name: e, workload: w, configuration: c, standin: s, region: r, zones: [z], seeds: [1],
faults: [{kind: kill, every: 5s}], variants: [{name: a}, {name: b}]}`

// Guards against files with a slip that start hours of runs all the same.
func TestFaultyFiles(t *testing.T) {
	if _, err := Decode([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for old, wrong := range map[string]string{
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
		if _, err := Decode([]byte(strings.Replace(good, old, wrong, 1))); err == nil {
			t.Errorf("accepted %q in place of %q", wrong, old)
		}
	}
}

// Guards against experiment files that crash the tool.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Decode(text)
		if err == nil && len(e.Seeds)*len(e.Variants) == 0 {
			t.Errorf("nothing to run: %+v", e)
		}
	})
}

// Guards against ports that stay where another run listens, and against texts that are changed besides.
func TestMovePorts(t *testing.T) {
	got := string(movePorts([]byte("a: 127.0.0.1:7300 # 7300\nb: [127.0.0.1:7301,127.0.0.1:80]"), 2000))
	if want := "a: 127.0.0.1:9300 # 7300\nb: [127.0.0.1:9301,127.0.0.1:2080]"; got != want {
		t.Error(got)
	}
}

func emulated(t *testing.T) (*laceemulator.Platform, *platform) {
	t.Helper()
	e := laceemulator.NewPlatform()
	e.SetFaults(laceemulator.PlatformFaults{Latency: 2 * time.Millisecond})
	s := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		s.Close()
		_ = e.Close()
	})
	p, err := openPlatform(context.Background(), http.DefaultClient, laceunit.Address(strings.TrimPrefix(s.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	return e, p
}

// Guards against faults that overlap and end each other, and against settings of the stand-in that are lost by them.
func TestFaultsAddUp(t *testing.T) {
	e, p := emulated(t)
	ctx := context.Background()
	faults := []Fault{
		{Kind: FaultPartition, Direction: directionIn},
		{Kind: FaultOutage},
		{Kind: FaultResponseLoss, Share: 0.25},
		{Kind: FaultLatency, Latency: time.Second},
	}
	for n, f := range faults {
		if err := p.begin(ctx, n, f, []string{"router-3"}); err != nil {
			t.Fatal(err)
		}
	}
	got := e.Faults()
	if !got.Down || got.Partitions["router-3"] != laceemulator.DropResponses || got.LossRate != 0.25 || got.Latency != time.Second {
		t.Errorf("%+v", got)
	}
	if err := p.end(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if got = e.Faults(); got.Down || len(got.Partitions) != 1 || got.Latency != time.Second {
		t.Errorf("%+v after the outage", got)
	}
	for n := range faults {
		if err := p.end(ctx, n); err != nil {
			t.Fatal(err)
		}
	}
	if got = e.Faults(); got.Down || len(got.Partitions) != 0 || got.LossRate != 0 || got.Latency != 2*time.Millisecond {
		t.Errorf("%+v after all", got)
	}
}

// Guards against faults that outlast their run, and against a share of instances that is rounded to none or differs
// for the same seed.
func TestSchedule(t *testing.T) {
	e, p := emulated(t)
	s := &schedule{
		fleet:    &fleet{experiment: Experiment{Instances: 7}},
		platform: p,
		random:   rand.New(rand.NewPCG(7, 1)),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	s.run(ctx, []Fault{{Kind: FaultOutage}, {Kind: FaultPartition, Share: 0.01, Direction: directionOut}})
	if got := e.Faults(); got.Down || len(got.Partitions) != 0 {
		t.Errorf("%+v after the run", got)
	}
	if len(s.noted) != 4 {
		t.Errorf("%q", s.noted)
	}
	for share, want := range map[float64]int{0.01: 1, 0.34: 2, 0.5: 4, 1: 7} {
		a, b := s.chosen(share, rand.New(rand.NewPCG(1, 1))), s.chosen(share, rand.New(rand.NewPCG(1, 1)))
		if len(a) != want || strings.Join(a, " ") != strings.Join(b, " ") {
			t.Errorf("share %v: %v and %v", share, a, b)
		}
	}
}

func outcome(variant, seed string, p99 float64, broken int64) RunResult {
	o := RunResult{
		Variant: variant,
		Seed:    seed,
	}
	o.Report.Requests.Sent, o.Report.Requests.Done = 200, 199
	o.Report.Latency.FirstToken = laceload.Quantiles{P50: 10, P95: 20, P99: p99}
	o.Report.Violations.DuplicateRuns = broken
	o.Report.Samples = []laceload.Sample{{Second: 1, Spent: 5, Paid: 10, PlatformCalls: 3}, {Second: 2, Spent: 7, Paid: 10, PlatformCalls: 9}}
	return o
}

// Guards against medians, ratios and counts of broken runs that are mixed up between variants, and plots that fail.
func TestSummary(t *testing.T) {
	all := []RunResult{
		outcome("base", "1", 40, 0), outcome("new", "1", 60, 1), outcome("new", "2", 90, 0), outcome("base", "2", 50, 0),
		outcome("base", "3", 200, 0), outcome("new", "3", 100, 2),
	}
	s := Summarize("trial", all)
	goldie.New(t).Assert(t, "summary", []byte(s.Markdown()))
	if !HasViolations(all) || HasViolations(all[:1]) {
		t.Error("broken runs are not told")
	}
	dir := t.TempDir()
	if err := NewRunner(Experiment{Name: "trial"}, dir, 0, nil).write(all); err != nil {
		t.Fatal(err)
	}
	for _, name := range strings.Fields("summary.json summary.md latency.png latency.svg spend.png spend.svg platform.png platform.svg") {
		if i, err := os.Stat(filepath.Join(dir, name)); err != nil || i.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against instances that stay away after they ended by themselves, and killed ones that are started twice.
func TestExitedInstancesAreStartedAgain(t *testing.T) {
	program := filepath.Join(t.TempDir(), "router")
	// The first instance ends at once, the others stay.
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
		dir:    t.TempDir(),
		client: &http.Client{},
		killed: map[int]bool{},
		pause:  10 * time.Millisecond,
		ending: make(chan struct{}),
	}
	f.workload.Standin.Platform = "127.0.0.1:1"
	started, err := f.launchAll()
	if err != nil {
		t.Fatal(err)
	}
	f.kill(1)
	// The killed instance would be started before the other one has ended three times.
	deadline := time.Now().Add(20 * time.Second)
	for ticker := time.NewTicker(time.Millisecond); f.exited() < 3; <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatal("not started again")
		}
	}
	f.mu.Lock()
	if f.instances[1] != started[1] {
		t.Error("a killed instance was started by itself")
	}
	f.mu.Unlock()
	f.stop()
	if err := f.restart(0); err != nil || f.instances[0].PID() == 0 {
		t.Error(err)
	}
}

// Guards against an operator that fixes another number of ledger shards than the instances use: they would refuse
// every request.
func TestOperatorUsesTheInstancesShards(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.yaml")
	if err := os.WriteFile(file, []byte("ledger:\n  shards: 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if n, err := readShards(file); err != nil || n != 3 {
		t.Errorf("%d shards, %v", n, err)
	}
}
