package laceprocess

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Usage is the resource usage of a process.
type Usage struct {
	ResidentBytes float64
	OpenFiles     float64
	Goroutines    float64
}

// ScrapeUsage reads the usage of a process from its metrics endpoint in the Prometheus text format.
func ScrapeUsage(ctx context.Context, client *http.Client, url string) (u Usage, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return u, errors.Wrap(err, "usage")
	}
	response, err := client.Do(request)
	if err != nil {
		return u, errors.Wrap(err, "usage")
	}
	defer func() { _ = response.Body.Close() }() // Everything needed has been read.
	fields := map[string]*float64{
		"process_resident_memory_bytes": &u.ResidentBytes,
		"process_open_fds":              &u.OpenFiles,
		"go_goroutines":                 &u.Goroutines,
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan() && err == nil; {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if target := fields[name]; target != nil {
			*target, err = strconv.ParseFloat(value, 64)
			delete(fields, name)
		}
	}
	if err == nil && len(fields) > 0 {
		err = errors.New("process metrics are missing")
	}
	return u, errors.Wrap(err, "usage")
}

// Max returns the maximum of each field.
func (u Usage) Max(v Usage) Usage {
	return Usage{
		ResidentBytes: max(u.ResidentBytes, v.ResidentBytes),
		OpenFiles:     max(u.OpenFiles, v.OpenFiles),
		Goroutines:    max(u.Goroutines, v.Goroutines),
	}
}
