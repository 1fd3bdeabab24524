package laceconn

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// ErrInvalidRateLimit means that a rate limit header is not a single number of requests per second.
var ErrInvalidRateLimit = errors.New("conn: limit can't be read")

// RateLimit is the rate limit that a server declares in a response header; it applies to all instances together.
type RateLimit struct {
	// Present is true when the response has a rate limit header, even if it can't be parsed.
	Present bool
	Rate    laceunit.Rate
	// ParseError is not nil when the header is not a single number. Rate is then the lowest value that could be parsed, or
	// negative if there is none.
	ParseError error
}

// ParseRateLimit parses the values of a header with a decimal number of requests per second.
func ParseRateLimit(values []string) RateLimit {
	if len(values) == 0 {
		return RateLimit{}
	}
	l := RateLimit{
		Present: true,
		Rate:    -1,
	}
	parts := strings.Split(strings.Join(values, ","), ",")
	for _, text := range parts {
		n, err := ParseRate(strings.TrimSpace(text))
		if err != nil {
			l.ParseError = err
			continue
		}
		if l.Rate < 0 || n < l.Rate {
			l.Rate = n
		}
	}
	if l.ParseError == nil && len(parts) > 1 {
		l.ParseError = errors.Wrap(ErrInvalidRateLimit, "repeated")
	}
	return l
}

// ParseRate parses a decimal number of requests per second, without a sign or an exponent.
func ParseRate(text string) (laceunit.Rate, error) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, errors.Wrap(ErrInvalidRateLimit, "not a decimal number")
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(n, 0) {
		return 0, errors.Wrap(ErrInvalidRateLimit, "not a decimal number")
	}
	return laceunit.Rate(n), nil
}
