package lacestandin

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// errInvalidSettings means that the settings or the flags are invalid.
var errInvalidSettings = errors.New("standin: invalid settings")

// settings is the settings file.
type settings struct {
	// Seed is the seed of all random faults.
	Seed     uint64               `yaml:"seed"`
	Platform *platformSettings    `yaml:"platform"`
	List     *listSettings        `yaml:"list"`
	Weights  *weightStoreSettings `yaml:"weights"`
	Engines  []engineGroup        `yaml:"engines"`
	Services []serviceGroup       `yaml:"services"`
	// faultOverrides are the faults set by flags, by server name.
	faultOverrides map[string]faultSettings
}

// platformSettings configure the key-value store. A rate of zero selects the default, a negative one no limit.
type platformSettings struct {
	Address   string                `yaml:"address"`
	WriteRate float64               `yaml:"writes"`
	ReadRate  float64               `yaml:"reads"`
	History   int                   `yaml:"history"`
	Faults    platformFaultSettings `yaml:"faults"`
}

// platformFaultSettings are the initial faults of the key-value store.
type platformFaultSettings struct {
	Down     bool          `yaml:"down"`
	Latency  time.Duration `yaml:"latency"`
	Jitter   time.Duration `yaml:"jitter"`
	LossRate float64       `yaml:"lost"`
}

// listSettings configure the instance list, which initially has all engines and services as live.
type listSettings struct {
	Address string        `yaml:"address"`
	Lag     time.Duration `yaml:"lag"`
}

// weightStoreSettings configure the weight store.
type weightStoreSettings struct {
	Address string  `yaml:"address"`
	Rate    float64 `yaml:"rate"`
	Burst   int     `yaml:"burst"`
}

// serverGroup is a group of servers with the same settings. They are named name-first, name-(first+1) and so on, and
// listen on consecutive ports, starting with that of the address.
type serverGroup struct {
	Name    string `yaml:"name"`
	First   int    `yaml:"first"`
	Count   int    `yaml:"count"`
	Address string `yaml:"address"`
}

// engineGroup configures model engines; zero fields select the defaults of laceemulator.EngineOptions.
type engineGroup struct {
	serverGroup     `yaml:",inline"`
	Models          []string      `yaml:"models"`
	Slots           int           `yaml:"slots"`
	TokenInterval   time.Duration `yaml:"step"`
	PrefillRate     float64       `yaml:"prefill"`
	CacheTokens     int64         `yaml:"cache"`
	LoadReportLag   time.Duration `yaml:"lag"`
	EventLag        time.Duration `yaml:"event_lag"`
	EventLossRate   float64       `yaml:"event_loss"`
	EnforcesFencing bool          `yaml:"fencing"`
	Faults          faultSettings `yaml:"faults"`
}

// serviceGroup configures plain services.
type serviceGroup struct {
	serverGroup    `yaml:",inline"`
	ServiceTime    time.Duration `yaml:"work"`
	SupportsLookup bool          `yaml:"lookup"`
	Faults         faultSettings `yaml:"faults"`
}

// faultSettings are the initial faults of a server.
type faultSettings struct {
	Down            bool          `yaml:"down"`
	RejectionRate   float64       `yaml:"refused"`
	DelayRate       float64       `yaml:"late"`
	Delay           time.Duration `yaml:"late_by"`
	MisrouteRate    float64       `yaml:"crossed"`
	TruncationRate  float64       `yaml:"cut"`
	LengthErrorRate float64       `yaml:"length"`
	Latency         time.Duration `yaml:"slow"`
	Leaving         bool          `yaml:"leaving"`
	RateLimit       float64       `yaml:"limit"`
	Pause           time.Duration `yaml:"pause"`
}

// loadSettings reads a settings file; unknown fields are errors.
func loadSettings(path string) (*settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "standin: read settings file")
	}
	s := &settings{}
	if err := decodeStrict(raw, s); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return s, nil
}

func decodeStrict(raw []byte, target any) error {
	d := yaml.NewDecoder(bytes.NewReader(raw))
	d.KnownFields(true)
	return d.Decode(target)
}

// applyFlags applies the flags to the settings.
func (s *settings) applyFlags(seed uint64, only string, faults []string) error {
	if seed != 0 {
		s.Seed = seed
	}
	if err := s.selectParts(only); err != nil {
		return err
	}
	s.faultOverrides = map[string]faultSettings{}
	for _, text := range faults {
		if err := s.applyFaultFlag(text); err != nil {
			return errors.Wrapf(err, "standin: fault %q", text)
		}
	}
	return nil
}

// applyFaultFlag replaces the faults of the platform or of a server.
func (s *settings) applyFaultFlag(text string) error {
	name, list, ok := strings.Cut(text, ":")
	if !ok {
		return errors.WithMessage(errInvalidSettings, "missing server name")
	}
	raw := []byte("{" + strings.ReplaceAll(list, "=", ": ") + "}")
	if name == "platform" && s.Platform != nil {
		s.Platform.Faults = platformFaultSettings{}
		return decodeStrict(raw, &s.Platform.Faults)
	}
	var f faultSettings
	if err := decodeStrict(raw, &f); err != nil {
		return err
	}
	s.faultOverrides[name] = f
	return nil
}

// selectParts removes all parts that are not selected; an empty selection keeps all parts.
func (s *settings) selectParts(only string) error {
	if only == "" {
		return nil
	}
	parts := strings.Split(only, ",")
	for _, p := range parts {
		if !slices.Contains([]string{"platform", "list", "weights", "engines", "services"}, p) {
			return errors.WithMessagef(errInvalidSettings, "unknown part %q", p)
		}
	}
	if !slices.Contains(parts, "platform") {
		s.Platform = nil
	}
	if !slices.Contains(parts, "list") {
		s.List = nil
	}
	if !slices.Contains(parts, "weights") {
		s.Weights = nil
	}
	if !slices.Contains(parts, "engines") {
		s.Engines = nil
	}
	if !slices.Contains(parts, "services") {
		s.Services = nil
	}
	return nil
}
