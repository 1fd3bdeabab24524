package lacebalancer

import (
	"math"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
)

// ErrPolicy means that no policy has the name.
var ErrUnknownPolicy = errors.New("balancer: unknown policy")

// The names of the policies.
const (
	PolicyRoundRobin = laceconfig.PolicyRoundRobin
	PolicyLeast      = laceconfig.PolicyLeast
	PolicyAffinity   = laceconfig.PolicyAffinity
)

// Random returns a number in [0, n).
type Random func(n int) int

// Candidate is what a policy knows of a server.
type Candidate interface {
	// Seed is a hash of the server's id.
	Seed() uint64
	// Load is the estimated number of requests at the server, Capacity how many it runs at once.
	Load() float64
	Capacity() float64
	// Holds reports whether the server is known to have the prefix in its cache.
	HasCached(prefix uint64) bool
}

// Policy chooses one of the candidates, of which there is at least one.
type Policy[C Candidate] interface {
	Choose(candidates []C, prefix uint64, random Random) C
}

// NewPolicy returns the policy of a name; an empty name stands for affinity.
func NewPolicy[C Candidate](name string, bound float64) (Policy[C], error) {
	switch name {
	case PolicyRoundRobin:
		return &RoundRobin[C]{}, nil
	case PolicyLeast:
		return &PowerOfTwoChoices[C]{}, nil
	case PolicyAffinity, "":
		return &Affinity[C]{Bound: bound}, nil
	}
	return nil, errors.Wrap(ErrUnknownPolicy, name)
}

// RoundRobin takes the candidates in turn.
type RoundRobin[C Candidate] struct {
	last uint64
}

// Choose implements Policy. Turns follow the servers' seeds and not the positions, which shift as servers fill up.
func (r *RoundRobin[C]) Choose(candidates []C, _ uint64, _ Random) C {
	best, step := 0, uint64(math.MaxUint64)
	for i, c := range candidates {
		if d := c.Seed() - r.last - 1; d < step {
			best, step = i, d
		}
	}
	r.last = candidates[best].Seed()
	return candidates[best]
}

// Least takes the less loaded of two random candidates.
type PowerOfTwoChoices[C Candidate] struct{}

// Choose implements Policy.
func (l *PowerOfTwoChoices[C]) Choose(candidates []C, _ uint64, random Random) C {
	n := len(candidates)
	a := random(n)
	if n == 1 {
		return candidates[a]
	}
	b := random(n - 1)
	if b >= a {
		b++
	}
	if relative(candidates[b]) < relative(candidates[a]) {
		return candidates[b]
	}
	return candidates[a]
}

// headroom is the share of a server's slots up to which affinity fills it. Beyond that a request may have to wait for
// a slot, which costs more than the prefix that is not cached.
const headroom = 0.9

// Affinity takes the first server of the prefix's rendezvous order that is below Bound times the mean load and has headroom. A server
// that holds the prefix comes before all others; a request without a prefix goes to the less loaded of two.
type Affinity[C Candidate] struct {
	Bound float64

	least PowerOfTwoChoices[C]
}

// Choose implements Policy.
func (a *Affinity[C]) Choose(candidates []C, prefix uint64, random Random) C {
	if prefix == 0 {
		return a.least.Choose(candidates, 0, random)
	}
	var load, capacity float64
	for _, c := range candidates {
		load += c.Load()
		capacity += c.Capacity()
	}
	// The request itself counts, so that the bound is above zero in an idle pool.
	mean := (load + 1) / capacity
	best, rank, held := -1, uint64(0), false
	for i, c := range candidates {
		// The bound counts whole requests; a capacity of 1 stands for an unknown one and has no headroom to keep.
		if n := c.Load() + 1; n > math.Ceil(a.Bound*mean*c.Capacity()) || (c.Capacity() > 1 && n > headroom*c.Capacity()) {
			continue
		}
		holds := c.HasCached(prefix)
		if held && !holds {
			continue
		}
		if r := mix(c.Seed() ^ prefix); best < 0 || r > rank || (holds && !held) {
			best, rank, held = i, r, holds
		}
	}
	if best < 0 {
		return a.least.Choose(candidates, 0, random)
	}
	return candidates[best]
}

func relative(c Candidate) float64 { return (c.Load() + 1) / c.Capacity() }

// mix is the finalizer of splitmix64; it spreads each input bit over the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
