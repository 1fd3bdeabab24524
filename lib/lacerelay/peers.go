package lacerelay

import (
	"math/rand/v2"
	"sync"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceunit"
)

const (
	// maxPeerConns bounds the connections to another instance for forwarded requests.
	maxPeerConns = 128
	// peerAvoidance is how long an instance gets no forwarded requests after it has refused one or failed.
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
	// avoidUntil is until when the instance gets no forwarded requests; zero if it may get them. The lock of Peers
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

// pick returns an instance that was not tried, and false if there is none.
func (p *Peers) pick(now time.Time, tried []*peer) (*peer, bool) {
	if p == nil {
		return nil, false
	}
	listed := p.list()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := make([]*peer, 0, len(listed))
	for _, address := range listed {
		x := p.byAddress[address]
		if x == nil {
			x = &peer{
				address: address,
				pool:    laceconn.NewPool(address, maxPeerConns),
			}
			x.pool.CountTraffic(p.traffic)
			p.byAddress[address] = x
		}
		if !now.Before(x.avoidUntil) && !contains(tried, x) {
			candidates = append(candidates, x)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	near := min(max(minNearPeers, len(listed)/2), len(candidates))
	return candidates[rand.IntN(near)], true
}

// available reports whether an instance may get a forwarded request.
func (p *Peers) available(now time.Time) bool {
	_, ok := p.pick(now, nil)
	return ok
}

// any reports whether there are other instances.
func (p *Peers) any() bool { return p != nil && len(p.list()) > 0 }

func contains(list []*peer, x *peer) bool {
	for _, l := range list {
		if l == x {
			return true
		}
	}
	return false
}

// avoid keeps forwarded requests from an instance for some time.
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
