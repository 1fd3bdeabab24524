package lacepack

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Errors of packed messages.
var (
	// ErrMalformed means that a message can't be unpacked.
	ErrMalformed = errors.New("pack: message can't be unpacked")
	// ErrChecksumMismatch means that a message was packed with another dictionary or is corrupt.
	ErrChecksumMismatch = errors.New("pack: checksum mismatch")
)

const (
	// dictionaryID identifies the dictionary in a message; there is only one.
	dictionaryID = 1
	// minWindow and maxWindow bound the zstd window, the distance of back references in a packed message.
	minWindow = 64 << 10
	maxWindow = 8 << 20
)

// Sum is the checksum of an unpacked message.
type Sum uint64

// Checksum returns the checksum of a message.
func Checksum(data []byte) Sum { return Sum(xxhash.Sum64(data)) }

// Pack compresses a message. Unpack needs the same dictionary, which may be empty.
func Pack(data, dictionary []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(data) + len(dictionary))),
		zstd.WithEncoderCRC(false),
		zstd.WithSingleSegment(false),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	packed := e.EncodeAll(data, nil)
	return packed, errors.Wrap(e.Close(), "pack")
}

// windowSize returns the smallest power of two of at least size bytes, between minWindow and maxWindow.
func windowSize(size int) int {
	w := minWindow
	for w < size && w < maxWindow {
		w *= 2
	}
	return w
}

// Unpack decompresses a message of at most maxSize bytes that was packed with a dictionary, and verifies its checksum.
func Unpack(packed, dictionary []byte, maxSize int, sum Sum) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		// The library counts the whole window against its memory limit, so the size is checked afterwards.
		zstd.WithDecoderMaxMemory(uint64(max(maxSize, maxWindow))),
		zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	defer d.Close()
	data, err := d.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(data) > maxSize {
		return nil, errors.Wrap(ErrMalformed, "message is too large")
	}
	if Checksum(data) != sum {
		return nil, ErrChecksumMismatch
	}
	return data, nil
}
