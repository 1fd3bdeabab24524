package lacerelay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
)

const (
	// maxPeerConns bounds the connections to another instance for forwarded requests.
	maxPeerConns = 128
	// peerAvoidance is how long other instances are preferred to one that has refused a forwarded request or failed.
	peerAvoidance = time.Second
	// minNearPeers is the least number of instances among which requests are spread, if there are as many. Otherwise half
	// of the instances are used, the nearest ones.
	minNearPeers = 3
)

// Peers are the other instances to which requests are forwarded.
type Peers struct {
	list    func() []laceunit.Address
	traffic *laceconn.Traffic

	mu        sync.Mutex
	byAddress map[laceunit.Address]*peer
}

// peer is another instance with the connections to it.
type peer struct {
	address laceunit.Address
	pool    *laceconn.Pool
	// avoidUntil is until when other instances are preferred; zero if it is not avoided. The lock of Peers
	// protects it.
	avoidUntil time.Time
}

// NewPeers returns the instances that list returns, nearest first, equally near ones in random order. It counts the bytes
// of the connections to them unless traffic is nil.
func NewPeers(list func() []laceunit.Address, traffic *laceconn.Traffic) *Peers {
	return &Peers{
		list:      list,
		traffic:   traffic,
		byAddress: map[laceunit.Address]*peer{},
	}
}

// pick returns an instance that was not tried, and false if there is none. One that is avoided is picked only if there is no
// other.
func (p *Peers) pick(now time.Time, tried []*peer) (*peer, bool) {
	if p == nil {
		return nil, false
	}
	listed := p.list()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, avoided := make([]*peer, 0, len(listed)), []*peer(nil)
	for _, address := range listed {
		x := p.get(address)
		switch {
		case slices.Contains(tried, x):
		case now.Before(x.avoidUntil):
			avoided = append(avoided, x)
		default:
			candidates = append(candidates, x)
		}
	}
	if len(candidates) == 0 {
		candidates = avoided
	}
	if len(candidates) == 0 {
		return nil, false
	}
	near := min(max(minNearPeers, len(listed)/2), len(candidates))
	return candidates[rand.IntN(near)], true
}

// get returns the instance with an address; the lock must be held.
func (p *Peers) get(address laceunit.Address) *peer {
	x := p.byAddress[address]
	if x == nil {
		x = &peer{
			address: address,
			pool:    laceconn.NewPool(address, maxPeerConns),
		}
		x.pool.CountTraffic(p.traffic)
		p.byAddress[address] = x
	}
	return x
}

// available reports whether there is an instance that is not avoided.
func (p *Peers) available(now time.Time) bool {
	if p == nil {
		return false
	}
	listed := p.list()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(listed, func(address laceunit.Address) bool {
		return !now.Before(p.get(address).avoidUntil)
	})
}

// any reports whether there are other instances.
func (p *Peers) any() bool { return p != nil && len(p.list()) > 0 }

// avoid makes other instances preferred to one for some time.
func (p *Peers) avoid(now time.Time, x *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.avoidUntil = now.Add(peerAvoidance)
}

// Tick closes connections that have been idle for too long, and drops instances that are not listed any more.
func (p *Peers) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byAddress) == 0 {
		return
	}
	listed := map[laceunit.Address]bool{}
	for _, address := range p.list() {
		listed[address] = true
	}
	for address, x := range p.byAddress {
		x.pool.Expire(now)
		if !listed[address] && now.After(x.avoidUntil) {
			x.pool.DropIdle()
			delete(p.byAddress, address)
		}
	}
}

// Close closes the idle connections; those in use are closed when their requests end.
func (p *Peers) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.byAddress {
		if err := x.pool.Close(); err != nil {
			return err
		}
	}
	return nil
}
