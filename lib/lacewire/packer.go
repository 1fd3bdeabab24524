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
	known map[packedKey][]byte
	order []packedKey
}

// packedKey names a message by its content and that of its base.
type packedKey struct {
	sum, base lacepack.Sum
}

func (p *Packer) pack(raw []byte, sum lacepack.Sum, base Base) ([]byte, error) {
	k := packedKey{
		sum:  sum,
		base: lacepack.Checksum(base.Value),
	}
	p.mu.Lock()
	packed, ok := p.known[k]
	p.mu.Unlock()
	if ok {
		return packed, nil
	}
	packed, err := lacepack.Pack(raw, base.Value)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known = map[packedKey][]byte{}
	}
	if _, ok := p.known[k]; !ok {
		p.known[k] = packed
		p.order = append(p.order, k)
	}
	for len(p.order) > packedKept {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	return packed, nil
}
