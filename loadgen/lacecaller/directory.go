package lacecaller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

const (
	// listTimeout bounds one request for the address list.
	listTimeout = 2 * time.Second
	// failureCooldown is how long an address is avoided after a failure, as long as there are others.
	failureCooldown = 2 * time.Second
	// maxListBytes bounds the response with the address list.
	maxListBytes = 1 << 20
	// minTTL is the minimum time between two refreshes; without it, a list without a time to live would be fetched for
	// each request.
	minTTL = time.Second
)

// errNoAddressList means that no instance has returned an address list.
var errNoAddressList = errors.New("caller: no instance returned an address list")

// Directory caches the address list of an instance for its time to live.
type Directory struct {
	client *http.Client
	seeds  []laceunit.Address

	mu        sync.Mutex
	random    *rand.Rand
	addresses []laceunit.Address
	expiresAt time.Time
	failedAt  map[laceunit.Address]time.Time
}

// NewDirectory returns a directory that fetches its first address list from the seeds.
func NewDirectory(client *http.Client, seeds []laceunit.Address, random *rand.Rand) *Directory {
	return &Directory{
		client:   client,
		seeds:    slices.Clone(seeds),
		random:   random,
		failedAt: map[laceunit.Address]time.Time{},
	}
}

// Pick returns a random address to connect to, if possible a different one from the last and none that failed recently.
func (d *Directory) Pick(ctx context.Context, lastAddress laceunit.Address) (laceunit.Address, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.After(d.expiresAt) {
		d.refresh(ctx)
	}
	if len(d.addresses) == 0 {
		return "", errNoAddressList
	}
	var candidates []laceunit.Address
	for _, a := range d.addresses {
		if a != lastAddress && now.Sub(d.failedAt[a]) > failureCooldown {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = d.addresses
	}
	return candidates[d.random.IntN(len(candidates))], nil
}

// MarkFailed records that an address failed.
func (d *Directory) MarkFailed(address laceunit.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt[address] = time.Now()
}

// refresh fetches the list from the instances of the cached list, then from the seeds. It is called with the mutex
// held, so that concurrent callers share one fetch.
func (d *Directory) refresh(ctx context.Context) {
	targets := slices.Clone(d.addresses)
	d.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, a := range append(targets, d.seeds...) {
		requestedAt := time.Now()
		list, ttl, err := d.fetch(ctx, a)
		if err == nil && len(list) > 0 {
			d.addresses, d.expiresAt = list, requestedAt.Add(max(ttl, minTTL))
			return
		}
	}
	// The expired list stays in use while no instance responds.
	d.expiresAt = time.Now().Add(minTTL)
}

type wireAddressList struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTL int64 `json:"life"`
}

func (d *Directory) fetch(ctx context.Context, address laceunit.Address) ([]laceunit.Address, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/v1/addresses", http.NoBody)
	if err != nil {
		return nil, 0, errors.Wrap(err, "caller")
	}
	a, err := d.client.Do(r)
	if err != nil {
		return nil, 0, errors.Wrap(err, "caller")
	}
	defer func() { _ = a.Body.Close() }()
	var w wireAddressList
	if err := json.NewDecoder(io.LimitReader(a.Body, maxListBytes)).Decode(&w); err != nil {
		return nil, 0, errors.Wrap(err, "caller: address list")
	}
	list := make([]laceunit.Address, 0, len(w.Addresses))
	for _, x := range w.Addresses {
		list = append(list, laceunit.Address(x.Address))
	}
	return list, time.Duration(w.TTL) * time.Millisecond, nil
}
