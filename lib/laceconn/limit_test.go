package laceconn

import (
	"testing"

	"lacewingcove/lib/laceunit"
)

// Guards against a limit that is taken for another one, and against one that ends because it can't be read.
func TestParseLimit(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		named  bool
		rate   laceunit.Rate
		unread bool
	}{
		"none":       {},
		"decimal":    {values: []string{"2.5"}, named: true, rate: 2.5},
		"zero":       {values: []string{" 0 "}, named: true},
		"repeated":   {values: []string{"4", "2"}, named: true, rate: 2, unread: true},
		"listed":     {values: []string{"4, x"}, named: true, rate: 4, unread: true},
		"empty":      {values: []string{""}, named: true, rate: -1, unread: true},
		"negative":   {values: []string{"-1"}, named: true, rate: -1, unread: true},
		"no number":  {values: []string{"NaN"}, named: true, rate: -1, unread: true},
		"infinite":   {values: []string{"Inf"}, named: true, rate: -1, unread: true},
		"exponent":   {values: []string{"1e3"}, named: true, rate: -1, unread: true},
		"two points": {values: []string{"1.2.3"}, named: true, rate: -1, unread: true},
	} {
		l := ParseRateLimit(c.values)
		if l.Present != c.named || l.Rate != c.rate || (l.ParseError != nil) != c.unread {
			t.Errorf("%s: %+v", name, l)
		}
	}
}
