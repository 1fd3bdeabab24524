package lacepack

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Errors of packed messages.
var (
	// ErrPacked means that a message can't be unpacked.
	ErrMalformed = errors.New("pack: message can't be unpacked")
	// ErrSum means that a message was packed against another base, or damaged.
	ErrChecksumMismatch = errors.New("pack: message differs from its checksum")
)

const (
	// baseID names the base in a message; it is the only one.
	baseID = 1
	// leastWindow and mostWindow bound how far back a packed message refers.
	leastWindow = 64 << 10
	mostWindow  = 8 << 20
)

// Sum is the checksum of an unpacked message.
type Sum uint64

// Checksum returns the checksum of a message.
func Checksum(text []byte) Sum { return Sum(xxhash.Sum64(text)) }

// Pack returns a message that Unpack reads with the same base, which may be empty.
func Pack(text, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(text) + len(base))),
		zstd.WithEncoderCRC(false),
		zstd.WithSingleSegment(false),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	packed := e.EncodeAll(text, nil)
	return packed, errors.Wrap(e.Close(), "pack")
}

// window returns the power of two that holds some bytes.
func window(n int) int {
	w := leastWindow
	for w < n && w < mostWindow {
		w *= 2
	}
	return w
}

// Unpack reads a message of at most some bytes that was packed against a base, and compares it with its checksum.
func Unpack(packed, base []byte, most int, sum Sum) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		// The library counts the whole window against its limit; the size is compared afterwards.
		zstd.WithDecoderMaxMemory(uint64(max(most, mostWindow))),
		zstd.WithDecoderMaxWindow(mostWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	defer d.Close()
	text, err := d.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(text) > most {
		return nil, errors.Wrap(ErrMalformed, "message is too large")
	}
	if Checksum(text) != sum {
		return nil, ErrChecksumMismatch
	}
	return text, nil
}
