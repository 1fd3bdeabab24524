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

// Experiment is what is run and varied.
type Experiment struct {
	Name string
	// Workload, Configuration, Standin and Settings are files.
	Workload      string
	Configuration string
	Standin       string
	Settings      string
	Programs      Programs
	Region        laceunit.RegionID
	Zones         []laceunit.ZoneID
	Instances     int
	// Port is the first instance's port for callers; the ports for peers and operators follow it, and each further
	// instance takes the next ten.
	BasePort    int
	Consistency laceunit.ConsistencyMode
	Duration    time.Duration
	Seeds       []string
	Faults      []Fault
	Variants    []Variant
}

// Programs are the paths of the programs.
type Programs struct {
	Router  string
	Standin string
}

// Variant is one of the things that are compared.
type Variant struct {
	Name string
	// Router replaces the router program.
	Router string
	// Flags are added to the command line of each instance.
	Flags []string
	// Without leaves the faults out.
	NoFaults bool
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultKill kills an instance every so often and starts it again.
	FaultKill FaultKind = "kill"
	// FaultCut cuts a share of the instances off from the platform.
	FaultPartition FaultKind = "cut"
	// FaultOutage makes the platform refuse every call.
	FaultOutage FaultKind = "outage"
	// FaultSlow makes the platform slow.
	FaultLatency FaultKind = "slow"
	// FaultLost makes writes to the platform take effect without an answer.
	FaultResponseLoss FaultKind = "lost"
)

// Fault is one fault of each run.
type Fault struct {
	Kind FaultKind
	// From and Length are when it begins, from the start of the load, and how long it lasts.
	Start    time.Duration
	Duration time.Duration
	// Share is of instances for a cut, and of writes for lost answers.
	Share float64
	// Direction of a cut: requests or answers.
	Direction string
	// Every is the time between two kills, and Restart the time until a killed instance is started again.
	Interval     time.Duration
	RestartDelay time.Duration
	// Latency is what a slow platform needs for a call.
	Latency time.Duration
}

// Bounds of an experiment; a longer one is several experiments.
const (
	maxPeriod    = 6 * time.Hour
	maxInstances = 64
	maxRuns      = 200
	maxPort      = 60000
	directionIn  = "answers"
	directionOut = "requests"
)

// Decode reads an experiment file.
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
	if _, faults := laceyaml.Decode(text, fields(&e)); len(faults) > 0 {
		return Experiment{}, faults.Err()
	}
	if err := e.check(); err != nil {
		return Experiment{}, err
	}
	return e, nil
}

func fields(e *Experiment) []laceyaml.Field {
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
		laceyaml.Choice("lean", "What the deployment weighs more.", &e.Consistency, laceunit.ConsistencyAvailable, laceunit.ConsistencyStrict),
		laceyaml.Duration("duration", "How long requests arrive.", &e.Duration, time.Second, maxPeriod),
		laceyaml.Strings("seeds", "Seeds; each variant is run once with each.", "a number", &e.Seeds, isSeed),
		laceyaml.List("faults", "Faults of each run.", &e.Faults, faultFields),
		laceyaml.List("variants", "What is compared; the first one is the base.", &e.Variants, variantFields),
	}
}

func faultFields(f *Fault) []laceyaml.Field {
	f.Direction, f.RestartDelay = directionOut, 2*time.Second
	return []laceyaml.Field{
		laceyaml.Choice("kind", "Kind.", &f.Kind, FaultKill, FaultPartition, FaultOutage, FaultLatency, FaultResponseLoss).AsRequired(),
		laceyaml.Duration("from", "Begin, from the start of the load.", &f.Start, 0, maxPeriod),
		laceyaml.Duration("length", "Length; 0 is to the end of the load.", &f.Duration, 0, maxPeriod),
		laceyaml.Number("share", "Share of instances or writes.", &f.Share, 0, 1),
		laceyaml.Choice("direction", "What a cut drops.", &f.Direction, directionOut, directionIn),
		laceyaml.Duration("every", "Time between kills.", &f.Interval, 0, maxPeriod),
		laceyaml.Duration("restart", "Time until a killed instance is started again.", &f.RestartDelay, 0, maxPeriod),
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

// check reports what single values can't show.
func (e *Experiment) check() error {
	if len(e.Seeds) == 0 || len(e.Variants) == 0 || len(e.Zones) == 0 {
		return errors.New("experiment: seeds, variants and zones: at least one of each is needed")
	}
	if len(e.Seeds)*len(e.Variants) > maxRuns {
		return errors.Errorf("experiment: more than %d runs", maxRuns)
	}
	var names []string
	for _, v := range e.Variants {
		if slices.Contains(names, v.Name) {
			return errors.Errorf("experiment: two variants are called %s", v.Name)
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
			return errors.Errorf("experiment: faults[%d]: %s is needed for the kind %s", i, missing, f.Kind)
		}
	}
	return nil
}
