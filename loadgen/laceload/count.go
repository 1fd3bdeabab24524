package laceload

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

const (
	// countTimeout bounds one question for counts.
	countTimeout = 5 * time.Second
	// maxCounts bounds the counts of a service, which name every request id that it ran.
	maxCounts = 256 << 20
)

type wirePlatform struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Leases  int64 `json:"leases"`
	Watches int64 `json:"watches"`
}

func (p wirePlatform) calls() int64 { return p.Reads + p.Writes + p.Leases + p.Watches }

func (p wirePlatform) minus(o wirePlatform) wirePlatform {
	return wirePlatform{
		Reads:   p.Reads - o.Reads,
		Writes:  p.Writes - o.Writes,
		Leases:  p.Leases - o.Leases,
		Watches: p.Watches - o.Watches,
	}
}

type wireRuns struct {
	Unrecorded int64          `json:"dropped"`
	Runs       map[string]int `json:"runs"`
}

// readCounts decodes the counts of a stand-in.
func readCounts(ctx context.Context, client *http.Client, address laceunit.Address, into any) error {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/v1/counts", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "load: counts")
	}
	a, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "load: counts")
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("load: counts of %s: %s", address, a.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(a.Body, maxCounts)).Decode(into), "load: counts")
}

// runs sums up how often each request id ran at all services.
func runs(ctx context.Context, client *http.Client, services []laceunit.Address) (map[string]int, error) {
	total := map[string]int{}
	for _, address := range services {
		var w wireRuns
		if err := readCounts(ctx, client, address, &w); err != nil {
			return nil, err
		}
		if w.Unrecorded > 0 {
			return nil, errors.Errorf("load: %s ran %d requests whose ids it did not keep", address, w.Unrecorded)
		}
		for id, n := range w.Runs {
			total[id] += n
		}
	}
	return total, nil
}
