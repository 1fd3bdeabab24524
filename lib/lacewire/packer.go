package lacewire

import (
	"sync"

	"lacewingcove/lib/lacepack"
)

// packedKept bounds the packed messages that are remembered: instances that ask lack the same few changes.
const packedKept = 32

// Packer packs messages and remembers the last ones, so that many instances that lack the same change cost one packing. The zero
// value is ready.
type Packer struct {
	mu    sync.Mutex
	known map[packedKey]func() ([]byte, error)
	order []packedKey
}

// packedKey names a message by its content and that of its base.
type packedKey struct {
	sum, base lacepack.Sum
}

func (p *Packer) pack(raw []byte, sum lacepack.Sum, base Base) ([]byte, error) {
	return p.once(packedKey{
		sum:  sum,
		base: lacepack.Checksum(base.Value),
	}, func() ([]byte, error) { return lacepack.Pack(raw, base.Value) })()
}

// once returns the packing of a message that all who ask for it share.
func (p *Packer) once(k packedKey, pack func() ([]byte, error)) func() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.known[k]; ok {
		return known
	}
	if p.known == nil {
		p.known = map[packedKey]func() ([]byte, error){}
	}
	p.known[k] = sync.OnceValues(pack)
	p.order = append(p.order, k)
	if len(p.order) > packedKept {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	return p.known[k]
}
