package lacebalancer

import (
	"math"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
)

// ErrUnknownPolicy is returned for an unknown policy name.
var ErrUnknownPolicy = errors.New("balancer: unknown policy")

// The names of the policies.
const (
	PolicyRoundRobin = laceconfig.PolicyRoundRobin
	PolicyLeast      = laceconfig.PolicyLeastLoaded
	PolicyAffinity   = laceconfig.PolicyAffinity
)

// Random returns a number in [0, n).
type Random func(n int) int

// Candidate is the view that a policy has of a server.
type Candidate interface {
	// Seed is a hash of the server's id.
	Seed() uint64
	// Load is the estimated number of requests at the server, Capacity how many it runs concurrently.
	Load() float64
	Capacity() float64
	// HasCached reports whether the server is known to have the prefix in its cache.
	HasCached(prefix uint64) bool
}

// Policy chooses one of the candidates; the list is never empty.
type Policy[C Candidate] interface {
	Choose(candidates []C, prefix uint64, random Random) C
}

// NewPolicy returns the policy with the given name; an empty name selects affinity.
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

// RoundRobin chooses the candidates in turn.
type RoundRobin[C Candidate] struct {
	lastSeed uint64
}

// Choose implements Policy. The turn order is by server seed and not by position in the list, which shifts as full
// servers drop out of it.
func (r *RoundRobin[C]) Choose(candidates []C, _ uint64, _ Random) C {
	best, minDistance := 0, uint64(math.MaxUint64)
	for i, c := range candidates {
		if distance := c.Seed() - r.lastSeed - 1; distance < minDistance {
			best, minDistance = i, distance
		}
	}
	r.lastSeed = candidates[best].Seed()
	return candidates[best]
}

// PowerOfTwoChoices chooses the less loaded of two random candidates.
type PowerOfTwoChoices[C Candidate] struct{}

// Choose implements Policy.
func (p *PowerOfTwoChoices[C]) Choose(candidates []C, _ uint64, random Random) C {
	n := len(candidates)
	a := random(n)
	if n == 1 {
		return candidates[a]
	}
	b := random(n - 1)
	if b >= a {
		b++
	}
	if relativeLoad(candidates[b]) < relativeLoad(candidates[a]) {
		return candidates[b]
	}
	return candidates[a]
}

// maxAffinityUtilization is the share of a server's slots up to which affinity fills it. Beyond that a request may have
// to wait for a slot, which costs more than a prefix cache miss at another server.
const maxAffinityUtilization = 0.9

// Affinity is rendezvous hashing with bounded loads: it chooses the first server in the prefix's rendezvous order that
// is below Bound times the mean load and below maxAffinityUtilization. Servers that have the prefix cached come before
// all others. A request without a prefix goes to the less loaded of two random candidates.
type Affinity[C Candidate] struct {
	Bound float64

	powerOfTwo PowerOfTwoChoices[C]
}

// Choose implements Policy.
func (a *Affinity[C]) Choose(candidates []C, prefix uint64, random Random) C {
	if prefix == 0 {
		return a.powerOfTwo.Choose(candidates, 0, random)
	}
	var load, capacity float64
	for _, c := range candidates {
		load += c.Load()
		capacity += c.Capacity()
	}
	// The request itself is counted, so that the bound is above zero in an idle pool.
	mean := (load + 1) / capacity
	best, bestRank, bestCached := -1, uint64(0), false
	for i, c := range candidates {
		// The bound is rounded up to whole requests. A capacity of 1 stands for an unknown one, which has no headroom.
		if n := c.Load() + 1; n > math.Ceil(a.Bound*mean*c.Capacity()) ||
			(c.Capacity() > 1 && n > maxAffinityUtilization*c.Capacity()) {
			continue
		}
		cached := c.HasCached(prefix)
		if bestCached && !cached {
			continue
		}
		if rank := mix(c.Seed() ^ prefix); best < 0 || rank > bestRank || (cached && !bestCached) {
			best, bestRank, bestCached = i, rank, cached
		}
	}
	if best < 0 {
		return a.powerOfTwo.Choose(candidates, 0, random)
	}
	return candidates[best]
}

func relativeLoad(c Candidate) float64 { return (c.Load() + 1) / c.Capacity() }

// mix is the finalizer of splitmix64; it spreads each input bit over the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
