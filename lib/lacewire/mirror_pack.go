package lacewire

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/lacepack"
)

// ErrDelta means that a packed delta of another instance can't be read.
var ErrMalformedDelta = errors.New("wire: packed delta can't be read")

const (
	// packedLeast is the size from which a delta is packed: packing takes about a millisecond, and a round has room for smaller ones.
	packedLeast = 4 << 10
	// packedMost bounds what another instance may make this one unpack. The store's values have at most 1 MB, and a list of
	// the members or the servers of the largest fleet is smaller than a few of them.
	packedMost = 8 << 20
)

// Base is a value that both sides of an exchange hold.
type Base struct {
	Revision int64
	Value    []byte
}

// Pack returns a delta with its entries and removals packed against a base, or the delta itself when it is small.
func (p *Packer) Pack(m *MirrorDelta, base Base) (*MirrorDelta, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(&MirrorDelta{
		Entries: m.GetEntries(),
		Removed: m.GetRemoved(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "wire: encode delta")
	}
	if len(raw) < packedLeast {
		return m, nil
	}
	sum := lacepack.Checksum(raw)
	packed, err := p.pack(raw, sum, base)
	if err != nil {
		return nil, err
	}
	return &MirrorDelta{
		Prefix:       m.GetPrefix(),
		From:         m.GetFrom(),
		Full:         m.GetFull(),
		Revision:     m.GetRevision(),
		Packed:       packed,
		BaseRevision: base.Revision,
		Size:         int64(len(raw)),
		Sum:          uint64(sum),
	}, nil
}

// UnpackDelta returns a delta with its entries and removals; base is the value that the question has offered.
func UnpackDelta(m *MirrorDelta, base Base) (*MirrorDelta, error) {
	if len(m.GetPacked()) == 0 {
		return m, nil
	}
	if m.GetBaseRevision() != 0 && m.GetBaseRevision() != base.Revision {
		return nil, errors.Wrap(ErrMalformedDelta, "packed against a base that was not offered")
	}
	if m.GetBaseRevision() == 0 {
		base = Base{}
	}
	if m.GetSize() <= 0 || m.GetSize() > packedMost || len(m.GetEntries()) > 0 || len(m.GetRemoved()) > 0 {
		return nil, errors.Wrap(ErrMalformedDelta, "size out of bounds")
	}
	raw, err := lacepack.Unpack(m.GetPacked(), base.Value, int(m.GetSize()), lacepack.Sum(m.GetSum()))
	if err != nil {
		return nil, errors.Wrap(ErrMalformedDelta, err.Error())
	}
	var held MirrorDelta
	if err := proto.Unmarshal(raw, &held); err != nil {
		return nil, errors.Wrap(ErrMalformedDelta, err.Error())
	}
	return &MirrorDelta{
		Prefix:   m.GetPrefix(),
		From:     m.GetFrom(),
		Full:     m.GetFull(),
		Revision: m.GetRevision(),
		Entries:  held.GetEntries(),
		Removed:  held.GetRemoved(),
	}, nil
}
