package lacewire

import (
	"sync"

	"lacewingcove/lib/lacepack"
)

// maxCachedPackings bounds the cache. A few entries suffice, since the instances that send queries mostly need the same
// few changes.
const maxCachedPackings = 32

// Packer packs messages and caches the latest results, so that a change is packed only once for all instances that need
// it. The zero value is ready to use.
type Packer struct {
	mu    sync.Mutex
	cache map[cacheKey]func() ([]byte, error)
	order []cacheKey
}

// cacheKey identifies a packed message by the checksums of the message and of its base.
type cacheKey struct {
	sum, base lacepack.Sum
}

func (p *Packer) pack(raw []byte, sum lacepack.Sum, base Base) ([]byte, error) {
	return p.cachedPacking(cacheKey{
		sum:  sum,
		base: lacepack.Checksum(base.Value),
	}, func() ([]byte, error) { return lacepack.Pack(raw, base.Value) })()
}

// cachedPacking returns a function that returns the packed message. It packs only on the first call, and concurrent
// callers wait for that call.
func (p *Packer) cachedPacking(k cacheKey, pack func() ([]byte, error)) func() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.cache[k]; ok {
		return cached
	}
	if p.cache == nil {
		p.cache = map[cacheKey]func() ([]byte, error){}
	}
	p.cache[k] = sync.OnceValues(pack)
	p.order = append(p.order, k)
	if len(p.order) > maxCachedPackings {
		delete(p.cache, p.order[0])
		p.order = p.order[1:]
	}
	return p.cache[k]
}
