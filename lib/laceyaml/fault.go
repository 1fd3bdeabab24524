package laceyaml

import (
	"sort"
	"strconv"
	"strings"
)

// Fault is one thing that is wrong with a YAML text.
type Fault struct {
	// Line is the line in the text; zero when the value is not in the text.
	Line     int
	Path     string
	Expected string
	// Found is the offending text, cut short; empty when there is none or when it must not be shown.
	Found string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		b.WriteString("line " + strconv.Itoa(f.Line) + ": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString("expected " + f.Expected)
	if f.Found != "" {
		b.WriteString(", found " + strconv.Quote(f.Found))
	}
	return b.String()
}

// Faults is every fault of a text, as an error.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the faults by line and path.
func (f Faults) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Path < f[j].Path
	})
}

// Err returns the faults in order as an error, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	f.Sort()
	return f
}

// maxFound bounds the offending text that a fault repeats.
const maxFound = 60

func cut(s string) string {
	if len(s) <= maxFound {
		return s
	}
	return s[:maxFound] + "..."
}
