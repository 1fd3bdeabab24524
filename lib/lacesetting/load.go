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
	// ErrUsage means that the command line is wrong.
	ErrUsage = errors.New("settings: wrong command line")
	// ErrHelp means that the command line asked for help, which has been printed.
	ErrHelp = flag.ErrHelp
)

// Fault is the faults of one settings file or of the flags over it.
type Fault struct {
	// File is empty when no file was given.
	File   string
	Faults laceyaml.Faults
}

// Error implements error; there is one line for each fault.
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

// override is a flag that sets one field.
type override struct {
	path string
	text string
}

type overrides []override

// value collects the flags in their order; the fields are set after the file has been read.
type value struct {
	path string
	bare string
	bool bool
	all  *overrides
}

// String implements flag.Value.
func (v *value) String() string { return v.bare }

// IsBoolFlag lets a flag of a true or false field stand alone.
func (v *value) IsBoolFlag() bool { return v.bool }

// Set implements flag.Value.
func (v *value) Set(s string) error {
	*v.all = append(*v.all, override{path: v.path, text: s})
	return nil
}

// Load reads the file that -settings names, then the other flags over it, and checks the whole.
// It returns the arguments after the flags. The command line's own faults wrap ErrUsage.
func Load(name string, args []string, output io.Writer) (Settings, []string, error) {
	var given overrides
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(output)
	path := set.String("settings", "", "YAML file of settings; without it the defaults apply")
	sample := Default()
	each("", fields(&sample), func(p string, f laceyaml.Field) {
		set.Var(&value{
			path: p,
			bare: f.Text(),
			bool: f.Expect == "true or false",
			all:  &given,
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
	s, faults := decode(text, given)
	if len(faults) > 0 {
		return Settings{}, nil, &Fault{
			File:   *path,
			Faults: faults,
		}
	}
	return s, set.Args(), nil
}

// Decode reads settings from YAML text and checks them; its errors are laceyaml.Faults.
func Decode(text []byte) (Settings, error) {
	s, faults := decode(text, nil)
	if err := faults.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Encode writes the effective settings as YAML.
func Encode(s Settings) ([]byte, error) {
	return laceyaml.Encode(fields(&s))
}

func decode(text []byte, given overrides) (Settings, laceyaml.Faults) {
	s := Default()
	lines, faults := laceyaml.Decode(text, fields(&s))
	set := map[string]bool{}
	for p := range lines {
		set[p] = true
	}
	for _, o := range given {
		each("", fields(&s), func(p string, f laceyaml.Field) {
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
	complete(&s)
	faults = append(faults, check(s, lines)...)
	faults.Sort()
	return s, faults
}

// each visits the single values below the fields with their paths.
func each(prefix string, all []laceyaml.Field, f func(path string, field laceyaml.Field)) {
	for _, x := range all {
		path := x.Name
		if prefix != "" {
			path = prefix + "." + x.Name
		}
		if x.IsLeaf() {
			f(path, x)
			continue
		}
		each(path, x.Fields, f)
	}
}
