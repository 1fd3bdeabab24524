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

// errSetting means that the settings or the flags make no sense.
var errSetting = errors.New("standin: bad setting")

// setting is the settings file.
type setting struct {
	// Seed is the seed of all random faults.
	Seed     uint64           `yaml:"seed"`
	Platform *platformSetting `yaml:"platform"`
	List     *listSetting     `yaml:"list"`
	Weights  *weightSetting   `yaml:"weights"`
	Engines  []engineGroup    `yaml:"engines"`
	Services []serviceGroup   `yaml:"services"`
	// extra are the faults that flags set, by server name.
	extra map[string]faultSetting
}

// platformSetting describes the key-value service; a rate of zero means the default, a negative one no limit.
type platformSetting struct {
	Address   string               `yaml:"address"`
	WriteRate float64              `yaml:"writes"`
	ReadRate  float64              `yaml:"reads"`
	History   int                  `yaml:"history"`
	Faults    platformFaultSetting `yaml:"faults"`
}

// platformFaultSetting is the faults of the key-value service from the start.
type platformFaultSetting struct {
	Down     bool          `yaml:"down"`
	Latency  time.Duration `yaml:"latency"`
	Jitter   time.Duration `yaml:"jitter"`
	LossRate float64       `yaml:"lost"`
}

// listSetting describes the instance list; it names all engines and services as live.
type listSetting struct {
	Address string        `yaml:"address"`
	Lag     time.Duration `yaml:"lag"`
}

// weightSetting describes the weight store.
type weightSetting struct {
	Address string  `yaml:"address"`
	Rate    float64 `yaml:"rate"`
	Burst   int     `yaml:"burst"`
}

// group is a number of servers that are alike. They are called name-first, name-(first+1) and so on, and listen on
// consecutive ports from the address on.
type group struct {
	Name    string `yaml:"name"`
	First   int    `yaml:"first"`
	Count   int    `yaml:"count"`
	Address string `yaml:"address"`
}

// engineGroup describes model engines; a zero field takes the engine's default.
type engineGroup struct {
	group           `yaml:",inline"`
	Models          []string      `yaml:"models"`
	Slots           int           `yaml:"slots"`
	TokenInterval   time.Duration `yaml:"step"`
	PrefillRate     float64       `yaml:"prefill"`
	CacheTokens     int64         `yaml:"cache"`
	LoadReportLag   time.Duration `yaml:"lag"`
	EventLag        time.Duration `yaml:"event_lag"`
	EventLossRate   float64       `yaml:"event_loss"`
	EnforcesFencing bool          `yaml:"fencing"`
	Faults          faultSetting  `yaml:"faults"`
}

// serviceGroup describes plain services.
type serviceGroup struct {
	group          `yaml:",inline"`
	ServiceTime    time.Duration `yaml:"work"`
	SupportsLookup bool          `yaml:"lookup"`
	Faults         faultSetting  `yaml:"faults"`
}

// faultSetting is the faults of one server from the start.
type faultSetting struct {
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

// load reads a settings file; unknown fields are errors.
func load(path string) (*setting, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "standin: settings")
	}
	s := &setting{}
	if err := strict(raw, s); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return s, nil
}

func strict(raw []byte, into any) error {
	d := yaml.NewDecoder(bytes.NewReader(raw))
	d.KnownFields(true)
	return d.Decode(into)
}

// override applies the flags.
func (s *setting) override(seed uint64, only string, faults []string) error {
	if seed != 0 {
		s.Seed = seed
	}
	if err := s.restrict(only); err != nil {
		return err
	}
	s.extra = map[string]faultSetting{}
	for _, text := range faults {
		if err := s.fault(text); err != nil {
			return errors.Wrapf(err, "standin: fault %q", text)
		}
	}
	return nil
}

// fault replaces the faults of the platform or of one server.
func (s *setting) fault(text string) error {
	name, list, ok := strings.Cut(text, ":")
	if !ok {
		return errors.WithMessage(errSetting, "no server is named")
	}
	raw := []byte("{" + strings.ReplaceAll(list, "=", ": ") + "}")
	if name == "platform" && s.Platform != nil {
		s.Platform.Faults = platformFaultSetting{}
		return strict(raw, &s.Platform.Faults)
	}
	var f faultSetting
	if err := strict(raw, &f); err != nil {
		return err
	}
	s.extra[name] = f
	return nil
}

// restrict drops the parts that are not named.
func (s *setting) restrict(only string) error {
	if only == "" {
		return nil
	}
	parts := strings.Split(only, ",")
	for _, p := range parts {
		if !slices.Contains([]string{"platform", "list", "weights", "engines", "services"}, p) {
			return errors.WithMessagef(errSetting, "no part is called %q", p)
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
