package laceprocess

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Usage is what a process uses.
type Usage struct {
	// Memory is what is resident, in bytes.
	ResidentBytes float64
	OpenFiles     float64
	Goroutines    float64
}

// ReadUsage asks a process for its metrics in the Prometheus text format.
func ScrapeUsage(ctx context.Context, client *http.Client, url string) (u Usage, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return u, errors.Wrap(err, "usage")
	}
	r, err := client.Do(q)
	if err != nil {
		return u, errors.Wrap(err, "usage")
	}
	defer func() { _ = r.Body.Close() }() // Everything that is needed was read.
	fields := map[string]*float64{
		"process_resident_memory_bytes": &u.ResidentBytes,
		"process_open_fds":              &u.OpenFiles,
		"go_goroutines":                 &u.Goroutines,
	}
	for lines := bufio.NewScanner(r.Body); lines.Scan() && err == nil; {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if to := fields[name]; to != nil {
			*to, err = strconv.ParseFloat(value, 64)
			delete(fields, name)
		}
	}
	if err == nil && len(fields) > 0 {
		err = errors.New("metrics of the process are missing")
	}
	return u, errors.Wrap(err, "usage")
}

// Max returns the larger of each part.
func (u Usage) Max(v Usage) Usage {
	return Usage{
		ResidentBytes: max(u.ResidentBytes, v.ResidentBytes),
		OpenFiles:     max(u.OpenFiles, v.OpenFiles),
		Goroutines:    max(u.Goroutines, v.Goroutines),
	}
}
