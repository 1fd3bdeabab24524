package laceyaml

import (
	"strings"
	"testing"
	"time"
)

type box struct {
	word string
	wait time.Duration
	size int64
	tags []string
	many map[string]int
}

func boxFields(b *box) []Field {
	return []Field{
		String("word", "A word.", &b.word).AsRequired(),
		Duration("wait", "A wait.", &b.wait, 0, time.Hour),
		Size("size", "A size.", &b.size, 0, 1<<40),
		IDs("tags", "Some tags.", &b.tags),
		Map("many", "Many.", &b.many, func() int { return 0 }, func(n *int) []Field {
			return []Field{Integer("n", "A number.", n, 0, 9).AsRequired()}
		}),
	}
}

// Guards against forms of YAML that would be read in another sense than they were written in.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"word: a\nword: b":                      `line 2: word: expected a key that is not listed twice, found "word"`,
		"word: &x a\ntags: [*x]":                `line 2: tags[0]: expected an id: ` + IDForm + `, found "an alias"`,
		"x: &x {word: a}\n<<: *x":               `line 2: expected a plain key, found "<<"`,
		"word: a\n---\nword: b":                 "expected a single YAML document",
		"word: [":                               "line 1: expected well-formed YAML",
		"word: ~":                               "line 1: word: expected text",
		"word: a\nwait: 5":                      `line 2: wait: expected a duration with a unit from 0s to 1h, found "5"`,
		"word: a\nsize: 1MB":                    `line 2: size: expected a size with the unit B, KiB, MiB or GiB from 0B to 1024GiB, found "1MB"`,
		"word: a\nsize: 17179869185GiB":         "line 2: size: expected a size",
		"word: a\nmany: {k: {n: 1}, k: {n: 2}}": "line 2: many.k: expected a key that is not listed twice",
		"word: a\nmany: [1]":                    `line 2: many: expected a mapping, found "a list"`,
		"word: a\nmany: {k: {}}":                "line 2: many.k.n: expected this key",
		"- a":                                   `line 1: expected a mapping, found "a list"`,
		"":                                      "word: expected this key",
	} {
		var b box
		_, faults := Decode([]byte(text), boxFields(&b))
		if len(faults) == 0 || !strings.Contains(faults.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, faults, want)
		}
	}
}

// Guards against values whose text reads back as another value.
func TestTextForms(t *testing.T) {
	for d, want := range map[time.Duration]string{
		0: "0s", time.Second: "1s", 90 * time.Second: "1m30s", time.Hour: "1h", 24 * time.Hour: "24h",
		time.Hour + time.Second: "1h0m1s", 10 * time.Minute: "10m", 1500 * time.Microsecond: "1.5ms",
	} {
		back, err := time.ParseDuration(FormatDuration(d))
		if got := FormatDuration(d); got != want || err != nil || back != d {
			t.Errorf("%v: %s, %v", d, got, err)
		}
	}
	for n, want := range map[int64]string{0: "0B", 1: "1B", 1024: "1KiB", 1536: "1536B", 3 << 20: "3MiB", 1 << 40: "1024GiB"} {
		back, ok := parseSize(FormatSize(n))
		if got := FormatSize(n); got != want || !ok || back != n {
			t.Errorf("%d: %s, %d", n, got, back)
		}
	}
}
