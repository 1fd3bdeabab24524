package laceconn

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidRetryAfter means that a Retry-After header is not a single number of seconds.
var ErrInvalidRetryAfter = errors.New("conn: Retry-After can't be read")

// maxRetryAfter is the longest delay that a server may ask for; a longer one is considered an error.
const maxRetryAfter = time.Hour

// ParseRetryAfter parses the seconds of a Retry-After header, which may have a fraction; zero means that there is no
// delay. Along with an error it returns a usable delay: the longest of repeated values, at most maxRetryAfter, and zero
// for a value that is not a number. HTTP dates are not supported, since the clocks of servers and instances may differ.
func ParseRetryAfter(h http.Header) (time.Duration, error) {
	var longest time.Duration
	var parseErr error
	values := h.Values("Retry-After")
	parts := strings.Split(strings.Join(values, ","), ",")
	for _, text := range parts {
		d, err := parseSeconds(strings.TrimSpace(text))
		if err != nil {
			parseErr = err
		}
		longest = max(longest, d)
	}
	switch {
	case len(values) == 0:
		return 0, nil
	case parseErr == nil && len(parts) > 1:
		parseErr = errors.Wrap(ErrInvalidRetryAfter, "repeated")
	}
	return longest, parseErr
}

func parseSeconds(text string) (time.Duration, error) {
	if text == "" {
		return 0, errors.Wrap(ErrInvalidRetryAfter, "empty")
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, errors.Wrap(ErrInvalidRetryAfter, "not a number of seconds")
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(n, 1) {
		return 0, errors.Wrap(ErrInvalidRetryAfter, "not a number of seconds")
	}
	if n > maxRetryAfter.Seconds() {
		return maxRetryAfter, errors.Wrap(ErrInvalidRetryAfter, "too long")
	}
	return time.Duration(n * float64(time.Second)), nil
}
