package laceconn

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrRetryAfter means that a header Retry-After can't be read as one number of seconds.
var ErrInvalidRetryAfter = errors.New("conn: Retry-After can't be read")

// mostRetryAfter bounds what a server may ask for; a value beyond it is taken for a mistake.
const mostRetryAfter = time.Hour

// RetryAfter reads the seconds of a header Retry-After, fractions included; zero means none. Next to an error it returns
// how the header is taken all the same: the longest of repeated values, a bound in place of a larger one, and none for
// what is no number. Dates are no number, since the clocks of servers and instances may differ.
func ParseRetryAfter(h http.Header) (time.Duration, error) {
	var longest time.Duration
	var failed error
	values := h.Values("Retry-After")
	parts := strings.Split(strings.Join(values, ","), ",")
	for _, text := range parts {
		d, err := seconds(strings.TrimSpace(text))
		if err != nil {
			failed = err
		}
		longest = max(longest, d)
	}
	switch {
	case len(values) == 0:
		return 0, nil
	case failed == nil && len(parts) > 1:
		failed = errors.Wrap(ErrInvalidRetryAfter, "repeated")
	}
	return longest, failed
}

func seconds(text string) (time.Duration, error) {
	if text == "" {
		return 0, errors.Wrap(ErrInvalidRetryAfter, "empty")
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, errors.Wrap(ErrInvalidRetryAfter, "no number of seconds")
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(n, 1) {
		return 0, errors.Wrap(ErrInvalidRetryAfter, "no number of seconds")
	}
	if n > mostRetryAfter.Seconds() {
		return mostRetryAfter, errors.Wrap(ErrInvalidRetryAfter, "too long")
	}
	return time.Duration(n * float64(time.Second)), nil
}
