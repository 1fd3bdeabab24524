package laceconn

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// ErrLimit means that a header can't be read as one number of requests a second.
var ErrInvalidRateLimit = errors.New("conn: limit can't be read")

// Limit is what an answer says about how many requests its server takes from all instances together.
type RateLimit struct {
	// Named is true when the answer has a limit, whether it can be read or not.
	Present bool
	Rate    laceunit.Rate
	// Unread is not nil when the header is not one plain number; Rate is then the lowest that can be read, and negative when
	// none can.
	ParseError error
}

// ParseLimit reads the values of a header with a decimal number of requests a second.
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
		n, err := decimal(strings.TrimSpace(text))
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

func decimal(text string) (laceunit.Rate, error) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, errors.Wrap(ErrInvalidRateLimit, "no decimal number")
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(n, 0) {
		return 0, errors.Wrap(ErrInvalidRateLimit, "no decimal number")
	}
	return laceunit.Rate(n), nil
}
