package lacestandin

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacekernel"
)

// Guards against sample settings that do not decode, lack a server of the deployments or assign a port twice.
func TestSampleSettings(t *testing.T) {
	for path, servers := range map[string]int{
		"../../samples/coop-standin.yaml":     9 + 4,
		"../../samples/shrestha-standin.yaml": 12 + 3,
	} {
		s, err := loadSettings(path)
		if err != nil {
			t.Fatal(err)
		}
		a := &assembler{
			settings: s,
		}
		ports := map[string]bool{s.Platform.Address: true, s.List.Address: true, s.Weights.Address: true}
		recordAddress := func(_, address string) error {
			ports[address] = true
			return nil
		}
		for _, g := range s.Engines {
			err = errors.Wrap(a.addGroup(g.serverGroup, "engine", recordAddress), path)
		}
		for _, g := range s.Services {
			err = errors.Wrap(a.addGroup(g.serverGroup, "service", recordAddress), path)
		}
		if err != nil || len(a.listEntries) != servers || len(ports) != servers+3 {
			t.Errorf("%s: error %v, got %d servers on %d ports, want %d servers",
				path, err, len(a.listEntries), len(ports), servers)
		}
	}
}

// writeSettings writes a settings file with all parts on free ports and returns its path.
func writeSettings(t *testing.T) string {
	t.Helper()
	text := `
seed: 1
platform: {address: "127.0.0.1:0"}
list: {address: "127.0.0.1:0", lag: 1s}
weights: {address: "127.0.0.1:0", rate: 1}
engines: [{name: e, address: "127.0.0.1:0", models: [m]}]
services: [{name: s, address: "127.0.0.1:0", lookup: true, faults: {late: 0.5, late_by: 1s}}]
`
	path := t.TempDir() + "/standin.yaml"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func assembleWithFlags(t *testing.T, only string, faults ...string) (*lacekernel.Kernel, error) {
	t.Helper()
	s, err := loadSettings(writeSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.applyFlags(7, only, faults); err != nil {
		return nil, err
	}
	return assemble(s, logr.Discard())
}

// Guards against selected parts that do not run, unselected parts that run, and a stop that hangs or fails.
func TestSelectedPartsStartAndStop(t *testing.T) {
	for only, names := range map[string]string{
		"":              "platform weights e-1 s-1 list",
		"platform,list": "platform list",
	} {
		k, err := assembleWithFlags(t, only)
		if err != nil {
			t.Fatal(err)
		}
		k.Start(context.Background())
		for _, name := range strings.Fields("platform weights e-1 s-1 list") {
			_, err := lacekernel.Lookup[*server](k, lacekernel.Name(name))
			if (err == nil) != strings.Contains(names, name) {
				t.Errorf("-only %q: %s: %v", only, name, err)
			}
		}
		if err := k.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against mistyped flags that start a run without the requested faults.
func TestInvalidFlagsAreRejected(t *testing.T) {
	if _, err := assembleWithFlags(t, "engine"); err == nil {
		t.Error("accepted -only engine")
	}
	for _, fault := range []string{"e-2:cut=1", "e-1:cutt=1", "cut=1", "platform:cut=1"} {
		if _, err := assembleWithFlags(t, "", fault); err == nil {
			t.Errorf("accepted -fault %q", fault)
		}
	}
	k, err := assembleWithFlags(t, "", "s-1:cut=1,late_by=2s", "platform:latency=5ms")
	if err != nil {
		t.Fatal(err)
	}
	if err = k.Close(); err != nil {
		t.Fatal(err)
	}
	p, err := lacekernel.Lookup[*laceemulator.Platform](k, "platform state")
	if err != nil || p.Faults().Latency != 5*time.Millisecond {
		t.Fatalf("faults of the platform are not set: %v", err)
	}
}
