package lacewire

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/lacepack"
)

// ErrMalformedDelta means that a packed delta of another instance can't be unpacked.
var ErrMalformedDelta = errors.New("wire: packed delta can't be unpacked")

const (
	// minPackedBytes is the size from which a delta is packed. Packing takes about a millisecond, and a smaller delta fits
	// into a round unpacked.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds the unpacked size of a delta from another instance. Values of the store have at most 1 MB,
	// and a list of the members or the servers of the largest fleet is smaller than a few of them.
	maxUnpackedBytes = 8 << 20
)

// Base is a value that both the sender and the receiver of a delta have, so that the delta can be packed against it.
type Base struct {
	Revision int64
	Value    []byte
}

// Pack returns a delta whose entries and removals are packed against a base, or the unchanged delta if it is small.
func (p *Packer) Pack(m *MirrorDelta, base Base) (*MirrorDelta, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(&MirrorDelta{
		Entries: m.GetEntries(),
		Removed: m.GetRemoved(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "wire: encode delta")
	}
	if len(raw) < minPackedBytes {
		return m, nil
	}
	sum := lacepack.Checksum(raw)
	packed, err := p.pack(raw, sum, base)
	if err != nil {
		return nil, err
	}
	return &MirrorDelta{
		Prefix:         m.GetPrefix(),
		From:           m.GetFrom(),
		Full:           m.GetFull(),
		Revision:       m.GetRevision(),
		Packed:         packed,
		BaseRevision:   base.Revision,
		Size:           int64(len(raw)),
		Sum:            uint64(sum),
		RemovalGraceMs: m.RemovalGraceMs,
		Era:            m.Era,
	}, nil
}

// UnpackDelta returns a delta with its entries and removals unpacked; base is the value that the query offered.
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
	if m.GetSize() <= 0 || m.GetSize() > maxUnpackedBytes || len(m.GetEntries()) > 0 || len(m.GetRemoved()) > 0 {
		return nil, errors.Wrap(ErrMalformedDelta, "size out of bounds")
	}
	raw, err := lacepack.Unpack(m.GetPacked(), base.Value, int(m.GetSize()), lacepack.Sum(m.GetSum()))
	if err != nil {
		return nil, errors.Wrap(ErrMalformedDelta, err.Error())
	}
	var content MirrorDelta
	if err := proto.Unmarshal(raw, &content); err != nil {
		return nil, errors.Wrap(ErrMalformedDelta, err.Error())
	}
	return &MirrorDelta{
		Prefix:         m.GetPrefix(),
		From:           m.GetFrom(),
		Full:           m.GetFull(),
		Revision:       m.GetRevision(),
		Entries:        content.GetEntries(),
		Removed:        content.GetRemoved(),
		RemovalGraceMs: m.RemovalGraceMs,
		Era:            m.Era,
	}, nil
}
