package lacesetting

import (
	"flag"
	"io"
	"os"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceyaml"
)

// Errors of the settings.
var (
	// ErrUsage means that the command line is invalid.
	ErrUsage = errors.New("settings: invalid command line")
	// ErrHelp means that help was requested and has been printed.
	ErrHelp = flag.ErrHelp
)

// Fault contains all faults of a settings file and of the flags that override it.
type Fault struct {
	// File is the name of the settings file; empty if there is none.
	File   string
	Faults laceyaml.Faults
}

// Error implements error; it returns one line per fault.
func (f *Fault) Error() string {
	name := f.File
	if name == "" {
		name = "settings"
	}
	text := ""
	for i, x := range f.Faults {
		if i > 0 {
			text += "\n"
		}
		text += name + ": " + x.String()
	}
	return text
}

// override is the value of a flag for one field.
type override struct {
	path string
	text string
}

type overrides []override

// flagValue appends its flag to the overrides; they are applied in command line order after the file has been decoded.
type flagValue struct {
	path        string
	defaultText string
	bool        bool
	overrides   *overrides
}

// String implements flag.Value.
func (v *flagValue) String() string { return v.defaultText }

// IsBoolFlag allows the flag of a boolean field without a value.
func (v *flagValue) IsBoolFlag() bool { return v.bool }

// Set implements flag.Value.
func (v *flagValue) Set(s string) error {
	*v.overrides = append(*v.overrides, override{path: v.path, text: s})
	return nil
}

// Load decodes the file that -settings names, applies the other flags on top of it and validates the result.
// It returns the arguments after the flags. Errors of the command line itself wrap ErrUsage.
func Load(name string, args []string, output io.Writer) (Settings, []string, error) {
	var flags overrides
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(output)
	path := set.String("settings", "", "YAML file of settings; without it the defaults apply")
	defaults := Default()
	walkLeaves("", fields(&defaults), func(p string, f laceyaml.Field) {
		set.Var(&flagValue{
			path:        p,
			defaultText: f.Text(),
			bool:        f.Expect == "true or false",
			overrides:   &flags,
		}, p, f.Doc+" Allowed: "+f.Expect+".")
	})
	if err := set.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return Settings{}, nil, err
		}
		return Settings{}, nil, errors.Wrap(ErrUsage, err.Error())
	}
	var text []byte
	if *path != "" {
		var err error
		if text, err = os.ReadFile(*path); err != nil {
			return Settings{}, nil, errors.Wrap(err, "settings")
		}
	}
	s, faults := decode(text, flags)
	if len(faults) > 0 {
		return Settings{}, nil, &Fault{
			File:   *path,
			Faults: faults,
		}
	}
	return s, set.Args(), nil
}

// Decode decodes and validates settings from YAML; its errors are laceyaml.Faults.
func Decode(text []byte) (Settings, error) {
	s, faults := decode(text, nil)
	if err := faults.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Encode encodes the effective settings as YAML.
func Encode(s Settings) ([]byte, error) {
	return laceyaml.Encode(fields(&s))
}

func decode(text []byte, flags overrides) (Settings, laceyaml.Faults) {
	s := Default()
	lines, faults := laceyaml.Decode(text, fields(&s))
	set := map[string]bool{}
	for p := range lines {
		set[p] = true
	}
	for _, o := range flags {
		walkLeaves("", fields(&s), func(p string, f laceyaml.Field) {
			if p != o.path {
				return
			}
			set[p] = true
			if err := f.Set(o.text); err != nil {
				faults = append(faults, laceyaml.Fault{
					Path:     "flag -" + p,
					Expected: f.Expect,
					Found:    o.text,
				})
			}
		})
	}
	applyDerivedDefaults(&s)
	faults = append(faults, validate(s, lines)...)
	faults.Sort()
	return s, faults
}

// walkLeaves calls visit with the path of each leaf of the field tree.
func walkLeaves(prefix string, tree []laceyaml.Field, visit func(path string, field laceyaml.Field)) {
	for _, f := range tree {
		path := f.Name
		if prefix != "" {
			path = prefix + "." + f.Name
		}
		if f.IsLeaf() {
			visit(path, f)
			continue
		}
		walkLeaves(path, f.Fields, visit)
	}
}
