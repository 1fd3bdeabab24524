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
	// askTimeout bounds one question for the address list.
	askTimeout = 2 * time.Second
	// avoidFor is how long an address that failed is not chosen while others are left.
	avoidFor = 2 * time.Second
	// maxList bounds the address list.
	maxList = 1 << 20
	// leastLife keeps a list without a time to live from being asked for with each request.
	leastLife = time.Second
)

// errNoAddress means that no instance answered for the address list.
var errNoAddress = errors.New("caller: no instance answers for the address list")

// Directory keeps the address list that an instance gave for as long as it may be kept.
type Directory struct {
	client *http.Client
	seeds  []laceunit.Address

	mu     sync.Mutex
	random *rand.Rand
	list   []laceunit.Address
	until  time.Time
	failed map[laceunit.Address]time.Time
}

// NewDirectory returns a directory that asks the seeds first.
func NewDirectory(client *http.Client, seeds []laceunit.Address, random *rand.Rand) *Directory {
	return &Directory{
		client: client,
		seeds:  slices.Clone(seeds),
		random: random,
		failed: map[laceunit.Address]time.Time{},
	}
}

// Pick returns an address to connect to, if possible another one than the last.
func (d *Directory) Pick(ctx context.Context, last laceunit.Address) (laceunit.Address, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.After(d.until) {
		d.refresh(ctx)
	}
	if len(d.list) == 0 {
		return "", errNoAddress
	}
	var good []laceunit.Address
	for _, a := range d.list {
		if a != last && now.Sub(d.failed[a]) > avoidFor {
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		good = d.list
	}
	return good[d.random.IntN(len(good))], nil
}

// Fail notes that an address could not be used.
func (d *Directory) MarkFailed(address laceunit.Address) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[address] = time.Now()
}

// refresh asks the instances of the last list and then the seeds; the mutex is held, so that one question serves all.
func (d *Directory) refresh(ctx context.Context) {
	known := slices.Clone(d.list)
	d.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, a := range append(known, d.seeds...) {
		asked := time.Now()
		list, life, err := d.ask(ctx, a)
		if err == nil && len(list) > 0 {
			d.list, d.until = list, asked.Add(max(life, leastLife))
			return
		}
	}
	// An old list is better than none while no instance answers.
	d.until = time.Now().Add(leastLife)
}

type wireAddresses struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTL int64 `json:"life"`
}

func (d *Directory) ask(ctx context.Context, address laceunit.Address) ([]laceunit.Address, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	var w wireAddresses
	if err := json.NewDecoder(io.LimitReader(a.Body, maxList)).Decode(&w); err != nil {
		return nil, 0, errors.Wrap(err, "caller: address list")
	}
	list := make([]laceunit.Address, 0, len(w.Addresses))
	for _, x := range w.Addresses {
		list = append(list, laceunit.Address(x.Address))
	}
	return list, time.Duration(w.TTL) * time.Millisecond, nil
}
