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
	// countTimeout bounds one request for counts.
	countTimeout = 5 * time.Second
	// maxCountsBytes bounds the response with the counts of a service, which lists every request id that it ran.
	maxCountsBytes = 256 << 20
)

type wirePlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Leases  int64 `json:"leases"`
	Watches int64 `json:"watches"`
}

func (p wirePlatformCounts) total() int64 { return p.Reads + p.Writes + p.Leases + p.Watches }

func (p wirePlatformCounts) sub(o wirePlatformCounts) wirePlatformCounts {
	return wirePlatformCounts{
		Reads:   p.Reads - o.Reads,
		Writes:  p.Writes - o.Writes,
		Leases:  p.Leases - o.Leases,
		Watches: p.Watches - o.Watches,
	}
}

type wireRunCounts struct {
	Unrecorded int64          `json:"dropped"`
	Runs       map[string]int `json:"runs"`
}

// fetchCounts fetches the counts of a stand-in server and decodes them into the target.
func fetchCounts(ctx context.Context, client *http.Client, address laceunit.Address, target any) error {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/v1/counts", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "load: counts")
	}
	response, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "load: counts")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("load: counts of %s: %s", address, response.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxCountsBytes)).Decode(target), "load: counts")
}

// fetchRunCounts returns how often each request id ran, summed over all services.
func fetchRunCounts(ctx context.Context, client *http.Client, services []laceunit.Address) (map[string]int, error) {
	total := map[string]int{}
	for _, address := range services {
		var w wireRunCounts
		if err := fetchCounts(ctx, client, address, &w); err != nil {
			return nil, err
		}
		if w.Unrecorded > 0 {
			return nil, errors.Errorf("load: %s ran %d requests without recording their ids", address, w.Unrecorded)
		}
		for id, n := range w.Runs {
			total[id] += n
		}
	}
	return total, nil
}
