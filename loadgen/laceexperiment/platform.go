package laceexperiment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

const (
	// standinTimeout bounds one call of a stand-in.
	standinTimeout = 5 * time.Second
	// maxFaults bounds the faults that a stand-in tells.
	maxFaults = 1 << 20
)

// wireFaults are the faults of the platform's stand-in.
type wireFaults struct {
	Down       bool              `json:"down"`
	Latency    string            `json:"latency"`
	Jitter     string            `json:"jitter"`
	LossRate   float64           `json:"lost"`
	Partitions map[string]string `json:"cuts,omitempty"`
	Hang       bool              `json:"hang"`
}

// platform sets the faults of the platform's stand-in. Faults that overlap add up.
type platform struct {
	client  *http.Client
	address laceunit.Address

	mu     sync.Mutex
	base   wireFaults
	active map[int]Fault
	cuts   map[int][]string
}

// openPlatform reads the faults that the stand-in has from its settings, so that they outlast those of an experiment.
func openPlatform(ctx context.Context, client *http.Client, address laceunit.Address) (*platform, error) {
	p := &platform{
		client:  client,
		address: address,
		active:  map[int]Fault{},
		cuts:    map[int][]string{},
	}
	raw, err := p.call(ctx, http.MethodGet, nil)
	if err != nil {
		return nil, err
	}
	return p, errors.Wrap(json.Unmarshal(raw, &p.base), "experiment: faults of the platform")
}

func (p *platform) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(p.address)+"/faults", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	a, err := p.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	defer func() { _ = a.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(a.Body, maxFaults))
	if err == nil && a.StatusCode >= http.StatusBadRequest {
		err = errors.Errorf("experiment: faults: %s: %s", a.Status, raw)
	}
	return raw, errors.Wrap(err, "experiment")
}

// begin adds a fault under a number.
func (p *platform) begin(ctx context.Context, n int, f Fault, cut []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[n], p.cuts[n] = f, cut
	return p.apply(ctx)
}

// end takes a fault away.
func (p *platform) end(ctx context.Context, n int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, n)
	delete(p.cuts, n)
	return p.apply(ctx)
}

// apply sends the sum of all faults; the mutex must be held.
func (p *platform) apply(ctx context.Context) error {
	w := p.base
	w.Partitions = map[string]string{}
	for n, f := range p.active {
		switch f.Kind {
		case FaultOutage:
			w.Down = true
		case FaultLatency:
			w.Latency = f.Latency.String()
		case FaultResponseLoss:
			w.LossRate = max(w.LossRate, f.Share)
		case FaultPartition:
			for _, name := range p.cuts[n] {
				w.Partitions[name] = f.Direction
			}
		}
	}
	raw, err := json.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	_, err = p.call(ctx, http.MethodPost, raw)
	return err
}
