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
	// standinTimeout bounds one call to a stand-in.
	standinTimeout = 5 * time.Second
	// maxBodyBytes bounds the response body of a stand-in.
	maxBodyBytes = 1 << 20
)

// wireFaults are the faults of the platform stand-in in their JSON form.
type wireFaults struct {
	Down       bool              `json:"down"`
	Latency    string            `json:"latency"`
	Jitter     string            `json:"jitter"`
	LossRate   float64           `json:"lost"`
	Partitions map[string]string `json:"cuts,omitempty"`
	Hang       bool              `json:"hang"`
}

// faultClient sets the faults of the platform stand-in. Overlapping faults are combined.
type faultClient struct {
	client  *http.Client
	address laceunit.Address

	mu          sync.Mutex
	baseline    wireFaults
	active      map[int]Fault
	partitioned map[int][]string
}

// newFaultClient reads the faults that come from the stand-in's settings, which serve as the baseline and so remain in
// effect after the faults of an experiment.
func newFaultClient(ctx context.Context, client *http.Client, address laceunit.Address) (*faultClient, error) {
	p := &faultClient{
		client:      client,
		address:     address,
		active:      map[int]Fault{},
		partitioned: map[int][]string{},
	}
	raw, err := p.call(ctx, http.MethodGet, nil)
	if err != nil {
		return nil, err
	}
	return p, errors.Wrap(json.Unmarshal(raw, &p.baseline), "experiment: platform faults")
}

func (p *faultClient) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(p.address)+"/faults",
		bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = errors.Errorf("experiment: faults: %s: %s", response.Status, raw)
	}
	return raw, errors.Wrap(err, "experiment")
}

// addFault activates fault n; partitioned are the instances that a partition affects.
func (p *faultClient) addFault(ctx context.Context, n int, f Fault, partitioned []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[n], p.partitioned[n] = f, partitioned
	return p.apply(ctx)
}

// removeFault deactivates fault n.
func (p *faultClient) removeFault(ctx context.Context, n int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, n)
	delete(p.partitioned, n)
	return p.apply(ctx)
}

// apply sends the baseline combined with all active faults; p.mu must be held.
func (p *faultClient) apply(ctx context.Context) error {
	w := p.baseline
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
			for _, name := range p.partitioned[n] {
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
