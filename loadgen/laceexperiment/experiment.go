package laceexperiment

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Experiment is the content of an experiment file: the workload, the fleet, the faults of each run and the variants.
type Experiment struct {
	Name string
	// Workload, Configuration, Standin and Settings are paths of files.
	Workload      string
	Configuration string
	Standin       string
	Settings      string
	Programs      Programs
	Region        laceunit.RegionID
	Zones         []laceunit.ZoneID
	Instances     int
	// BasePort is the caller port of the first instance; the peer port and the admin port are the next two. The ports of
	// each further instance are ten higher.
	BasePort    int
	Consistency laceunit.ConsistencyMode
	Duration    time.Duration
	Seeds       []string
	Faults      []Fault
	Variants    []Variant
}

// Programs are the paths of the executables.
type Programs struct {
	Router  string
	Standin string
}

// Variant is one of the compared variants of the fleet.
type Variant struct {
	Name string
	// Router is the path of a router program that replaces Programs.Router.
	Router string
	// Flags are added to the command line of each instance.
	Flags []string
	// NoFaults disables the faults.
	NoFaults bool
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultKill kills a random instance at each interval and restarts it.
	FaultKill FaultKind = "kill"
	// FaultPartition partitions a share of the instances from the platform.
	FaultPartition FaultKind = "cut"
	// FaultOutage makes the platform reject every call.
	FaultOutage FaultKind = "outage"
	// FaultLatency sets the latency of platform calls.
	FaultLatency FaultKind = "slow"
	// FaultResponseLoss loses the responses of a share of the writes to the platform; the writes take effect.
	FaultResponseLoss FaultKind = "lost"
)

// Fault is one of the faults that are injected into each run.
type Fault struct {
	Kind FaultKind
	// Start is relative to the start of the load; a Duration of 0 lasts until the end of the load.
	Start    time.Duration
	Duration time.Duration
	// Share is the share of instances for a partition, and of writes for a loss of responses.
	Share float64
	// Direction is what a partition drops: dropRequests or dropResponses.
	Direction string
	// Interval is the time between two kills, and RestartDelay the time until a killed instance is restarted.
	Interval     time.Duration
	RestartDelay time.Duration
	// Latency is the latency of platform calls during FaultLatency.
	Latency time.Duration
}

// Limits of an experiment; a larger one must be split into several.
const (
	maxDuration   = 6 * time.Hour
	maxInstances  = 64
	maxRuns       = 200
	maxPort       = 60000
	dropResponses = "answers"
	dropRequests  = "requests"
)

// Decode decodes and validates an experiment file.
func Decode(text []byte) (Experiment, error) {
	e := Experiment{
		Settings: "samples/router.yaml",
		Programs: Programs{
			Router:  "bin/router",
			Standin: "bin/standin",
		},
		Instances:   7,
		BasePort:    8010,
		Consistency: laceunit.ConsistencyAvailable,
		Duration:    20 * time.Second,
	}
	if _, faults := laceyaml.Decode(text, experimentFields(&e)); len(faults) > 0 {
		return Experiment{}, faults.Err()
	}
	if err := e.validate(); err != nil {
		return Experiment{}, err
	}
	return e, nil
}

func experimentFields(e *Experiment) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("name", "Name.", &e.Name).AsRequired(),
		laceyaml.String("workload", "Workload file.", &e.Workload).AsRequired(),
		laceyaml.String("configuration", "Configuration file.", &e.Configuration).AsRequired(),
		laceyaml.String("standin", "File of the stand-ins.", &e.Standin).AsRequired(),
		laceyaml.String("settings", "Settings file of all instances.", &e.Settings),
		laceyaml.Group("programs", "Programs.",
			laceyaml.String("router", "Instance program.", &e.Programs.Router),
			laceyaml.String("standin", "Stand-ins' program.", &e.Programs.Standin)),
		laceyaml.ID("region", "Region of the instances.", &e.Region).AsRequired(),
		laceyaml.IDs("zones", "Availability zones; instances are spread over them.", &e.Zones).AsRequired(),
		laceyaml.Integer("instances", "Number of instances.", &e.Instances, 1, maxInstances),
		laceyaml.Integer("port", "First port.", &e.BasePort, 1024, maxPort),
		laceyaml.Choice("lean", "What the deployment weighs more.", &e.Consistency, laceunit.ConsistencyAvailable,
			laceunit.ConsistencyStrict),
		laceyaml.Duration("duration", "How long requests arrive.", &e.Duration, time.Second, maxDuration),
		laceyaml.Strings("seeds", "Seeds; each variant is run once with each.", "a number", &e.Seeds, isSeed),
		laceyaml.List("faults", "Faults of each run.", &e.Faults, faultFields),
		laceyaml.List("variants", "What is compared; the first one is the base.", &e.Variants, variantFields),
	}
}

func faultFields(f *Fault) []laceyaml.Field {
	f.Direction, f.RestartDelay = dropRequests, 2*time.Second
	return []laceyaml.Field{
		laceyaml.Choice("kind", "Kind.", &f.Kind, FaultKill, FaultPartition, FaultOutage, FaultLatency,
			FaultResponseLoss).AsRequired(),
		laceyaml.Duration("from", "Begin, from the start of the load.", &f.Start, 0, maxDuration),
		laceyaml.Duration("length", "Length; 0 is to the end of the load.", &f.Duration, 0, maxDuration),
		laceyaml.Number("share", "Share of instances or writes.", &f.Share, 0, 1),
		laceyaml.Choice("direction", "What a cut drops.", &f.Direction, dropRequests, dropResponses),
		laceyaml.Duration("every", "Time between kills.", &f.Interval, 0, maxDuration),
		laceyaml.Duration("restart", "Time until a killed instance is started again.", &f.RestartDelay, 0, maxDuration),
		laceyaml.Duration("latency", "Latency of a slow platform.", &f.Latency, 0, time.Minute),
	}
}

func variantFields(v *Variant) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("name", "Name.", &v.Name).AsRequired(),
		laceyaml.String("router", "Instance program in place of programs.router.", &v.Router),
		laceyaml.Strings("flags", "Further flags of the instances.", "a flag such as -log.level=debug", &v.Flags, isFlag),
		laceyaml.Bool("without", "Whether the faults are left out.", &v.NoFaults),
	}
}

func isSeed(s string) bool {
	_, err := strconv.ParseUint(s, 10, 64)
	return err == nil
}

func isFlag(s string) bool { return strings.HasPrefix(s, "-") && strings.Contains(s, "=") }

// validate checks constraints between several values.
func (e *Experiment) validate() error {
	if len(e.Seeds) == 0 || len(e.Variants) == 0 || len(e.Zones) == 0 {
		return errors.New("experiment: seeds, variants and zones: at least one of each is required")
	}
	if len(e.Seeds)*len(e.Variants) > maxRuns {
		return errors.Errorf("experiment: more than %d runs", maxRuns)
	}
	var names []string
	for _, v := range e.Variants {
		if slices.Contains(names, v.Name) {
			return errors.Errorf("experiment: duplicate variant name %s", v.Name)
		}
		names = append(names, v.Name)
	}
	for i, f := range e.Faults {
		missing := ""
		switch {
		case f.Kind == FaultKill && f.Interval == 0:
			missing = "every"
		case (f.Kind == FaultPartition || f.Kind == FaultResponseLoss) && f.Share == 0:
			missing = "share"
		case f.Kind == FaultLatency && f.Latency == 0:
			missing = "latency"
		}
		if missing != "" {
			return errors.Errorf("experiment: faults[%d]: %s is required for kind %s", i, missing, f.Kind)
		}
	}
	return nil
}
