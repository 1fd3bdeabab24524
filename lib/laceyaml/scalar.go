package laceyaml

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// IDForm says what an id looks like.
const IDForm = "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// IsID reports whether a text has the form of an id.
func IsID(s string) bool { return idPattern.MatchString(s) }

func index(i int) string { return "[" + strconv.Itoa(i) + "]" }

// single builds the field of one value from its text form.
func single(name, doc, expect string, text func() string, parse func(string) bool) Field {
	f := Field{
		Name:   name,
		Doc:    doc,
		Expect: expect,
		text:   text,
		bare:   func() bool { return text() == "" },
		set: func(s string) error {
			if !parse(s) {
				return errors.Errorf("expected %s, found %q", expect, cut(s))
			}
			return nil
		},
	}
	f.decode = func(r *Decoder, n *yaml.Node, path string) {
		if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
			r.AddFault(n, path, expect, describe(n))
			return
		}
		if !parse(n.Value) {
			r.AddFault(n, path, expect, n.Value)
		}
	}
	f.encode = func() *yaml.Node { return scalar(text()) }
	return f
}

// String binds free text.
func String[T ~string](name, doc string, p *T) Field {
	return Match(name, doc, "text of at most 1024 characters without control characters", p, func(s string) bool {
		return len(s) <= 1024 && utf8.ValidString(s) && strings.IndexFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) < 0
	})
}

// Body binds text of any form, such as YAML inside YAML.
func RawText[T ~string](name, doc string, p *T) Field {
	return Match(name, doc, "text", p, utf8.ValidString)
}

// Time binds a point in time.
func Time(name, doc string, p *time.Time) Field {
	text := func() string {
		if p.IsZero() {
			return ""
		}
		return p.UTC().Format(time.RFC3339Nano)
	}
	return single(name, doc, "a time such as 2026-01-02T15:04:05Z", text, func(s string) bool {
		t, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return false
		}
		*p = t.UTC()
		return true
	})
}

// Match binds text that a function accepts.
func Match[T ~string](name, doc, expect string, p *T, ok func(string) bool) Field {
	f := single(name, doc, expect, func() string { return string(*p) }, func(s string) bool {
		if !ok(s) {
			return false
		}
		*p = T(s)
		return true
	})
	f.encode = func() *yaml.Node {
		n := scalar(string(*p))
		n.Tag = "!!str"
		return n
	}
	return f
}

// ID binds an identifier.
func ID[T ~string](name, doc string, p *T) Field {
	return Match(name, doc, "an id: "+IDForm, p, idPattern.MatchString)
}

// Choice binds one of several words.
func Choice[T ~string](name, doc string, p *T, words ...T) Field {
	all := make([]string, len(words))
	for i, w := range words {
		all[i] = string(w)
	}
	return Match(name, doc, "one of "+strings.Join(all, ", "), p, func(s string) bool {
		for _, w := range all {
			if s == w {
				return true
			}
		}
		return false
	})
}

// Bool binds true or false.
func Bool(name, doc string, p *bool) Field {
	f := single(name, doc, "true or false", func() string { return strconv.FormatBool(*p) }, func(s string) bool {
		if s != "true" && s != "false" {
			return false
		}
		*p = s == "true"
		return true
	})
	return f
}

// Integer binds a whole number within bounds.
func Integer[T ~int | ~int64](name, doc string, p *T, low, high T) Field {
	expect := "a whole number from " + strconv.FormatInt(int64(low), 10) + " to " + strconv.FormatInt(int64(high), 10)
	return single(name, doc, expect, func() string { return strconv.FormatInt(int64(*p), 10) }, func(s string) bool {
		v, err := strconv.ParseInt(s, 10, 64)
		if err != nil || T(v) < low || T(v) > high {
			return false
		}
		*p = T(v)
		return true
	})
}

// Unsigned binds a whole number of an unsigned type within bounds.
func Unsigned[T ~uint64](name, doc string, p *T, low, high T) Field {
	expect := "a whole number from " + strconv.FormatUint(uint64(low), 10) + " to " + strconv.FormatUint(uint64(high), 10)
	return single(name, doc, expect, func() string { return strconv.FormatUint(uint64(*p), 10) }, func(s string) bool {
		v, err := strconv.ParseUint(s, 10, 64)
		if err != nil || T(v) < low || T(v) > high {
			return false
		}
		*p = T(v)
		return true
	})
}

// Number binds a decimal number within bounds.
func Number(name, doc string, p *float64, low, high float64) Field {
	expect := "a number from " + number(low) + " to " + number(high)
	return single(name, doc, expect, func() string { return number(*p) }, func(s string) bool {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) || v < low || v > high {
			return false
		}
		*p = v
		return true
	})
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// Duration binds a time span with a unit, such as 1500ms, 10s or 24h.
func Duration(name, doc string, p *time.Duration, low, high time.Duration) Field {
	expect := "a duration with a unit from " + FormatDuration(low) + " to " + FormatDuration(high)
	return single(name, doc, expect, func() string { return FormatDuration(*p) }, func(s string) bool {
		v, err := time.ParseDuration(s)
		if err != nil || v < low || v > high {
			return false
		}
		*p = v
		return true
	})
}

// FormatDuration returns a duration without the zero parts that time.Duration prints.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Size binds a number of bytes with a unit: B, KiB, MiB or GiB.
func Size(name, doc string, p *int64, low, high int64) Field {
	expect := "a size with the unit B, KiB, MiB or GiB from " + FormatSize(low) + " to " + FormatSize(high)
	return single(name, doc, expect, func() string { return FormatSize(*p) }, func(s string) bool {
		v, ok := parseSize(s)
		if !ok || v < low || v > high {
			return false
		}
		*p = v
		return true
	})
}

type unit struct {
	name  string
	bytes int64
}

func units() []unit {
	return []unit{{name: "GiB", bytes: 1 << 30}, {name: "MiB", bytes: 1 << 20}, {name: "KiB", bytes: 1 << 10}, {name: "B", bytes: 1}}
}

// FormatSize returns a size in the largest unit that keeps it whole.
func FormatSize(v int64) string {
	for _, u := range units() {
		if v >= u.bytes && v%u.bytes == 0 {
			return strconv.FormatInt(v/u.bytes, 10) + u.name
		}
	}
	return strconv.FormatInt(v, 10) + "B"
}

func parseSize(s string) (int64, bool) {
	for _, u := range units() {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || v < 0 || v > math.MaxInt64/u.bytes {
			return 0, false
		}
		return v * u.bytes, true
	}
	return 0, false
}

// Strings binds a list of texts, each of which a function accepts; as a flag it is separated by commas.
func Strings[T ~string](name, doc, expect string, p *[]T, ok func(string) bool) Field {
	expect = "a list, each " + expect
	join := func() string {
		all := make([]string, len(*p))
		for i, s := range *p {
			all[i] = string(s)
		}
		return strings.Join(all, ",")
	}
	f := single(name, doc, expect, join, func(s string) bool {
		var all []T
		for _, x := range strings.Split(s, ",") {
			if !ok(x) {
				return false
			}
			all = append(all, T(x))
		}
		*p = all
		return true
	})
	f.decode = func(r *Decoder, n *yaml.Node, path string) {
		*p = nil
		r.items(n, path, func(v *yaml.Node, at string) {
			if v.Kind != yaml.ScalarNode || v.Tag == "!!null" || !ok(v.Value) {
				r.AddFault(v, at, strings.TrimPrefix(expect, "a list, each "), describe(v))
				return
			}
			*p = append(*p, T(v.Value))
		})
	}
	f.encode = func() *yaml.Node {
		n := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
		for _, s := range *p {
			x := scalar(string(s))
			x.Tag = "!!str"
			n.Content = append(n.Content, x)
		}
		return n
	}
	return f
}

// IDs binds a list of identifiers.
func IDs[T ~string](name, doc string, p *[]T) Field {
	return Strings(name, doc, "an id: "+IDForm, p, idPattern.MatchString)
}
