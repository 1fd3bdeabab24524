package laceyaml

import (
	"sort"
	"strconv"
	"strings"
)

// Fault is one validation error of a YAML text.
type Fault struct {
	// Line is the line number; zero when the value does not come from the text.
	Line     int
	Path     string
	Expected string
	// Found is the invalid value, truncated; empty when there is none or it is secret.
	Found string
}

// String formats the fault as one line.
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

// Faults contains all faults of a text and implements error.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the faults by line and path.
func (f Faults) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Path < f[j].Path
	})
}

// Err returns the sorted faults as an error, nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	f.Sort()
	return f
}

// maxFoundBytes limits the length of the invalid value in a fault.
const maxFoundBytes = 60

func truncate(s string) string {
	if len(s) <= maxFoundBytes {
		return s
	}
	return s[:maxFoundBytes] + "..."
}
