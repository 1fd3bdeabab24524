package laceconn

import (
	"testing"

	"lacewingcove/lib/laceunit"
)

// Guards against a rate limit that is parsed as a different value, and against an invalid one that counts as no limit.
func TestParseRateLimit(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		present bool
		rate    laceunit.Rate
		invalid bool
	}{
		"none":         {},
		"decimal":      {values: []string{"2.5"}, present: true, rate: 2.5},
		"zero":         {values: []string{" 0 "}, present: true},
		"repeated":     {values: []string{"4", "2"}, present: true, rate: 2, invalid: true},
		"listed":       {values: []string{"4, x"}, present: true, rate: 4, invalid: true},
		"empty":        {values: []string{""}, present: true, rate: -1, invalid: true},
		"negative":     {values: []string{"-1"}, present: true, rate: -1, invalid: true},
		"not a number": {values: []string{"NaN"}, present: true, rate: -1, invalid: true},
		"infinite":     {values: []string{"Inf"}, present: true, rate: -1, invalid: true},
		"exponent":     {values: []string{"1e3"}, present: true, rate: -1, invalid: true},
		"two points":   {values: []string{"1.2.3"}, present: true, rate: -1, invalid: true},
	} {
		l := ParseRateLimit(c.values)
		if l.Present != c.present || l.Rate != c.rate || (l.ParseError != nil) != c.invalid {
			t.Errorf("%s: %+v", name, l)
		}
	}
}
