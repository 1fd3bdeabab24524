package lacelistener

import (
	"io"

	"github.com/pkg/errors"
)

// firstBytes is the first buffer for data of unknown length; data that says to be longer starts with it as well, since
// its client may never send it.
const firstBytes = 16 << 10

// errTooLong means that data exceeds the limit of ReadAll.
var errTooLong = errors.New("listener: data is too long")

// IsTooLong reports whether an error of ReadAll means that there was more data than allowed.
func IsTooLong(err error) bool { return errors.Is(err, errTooLong) }

// ReadAll reads data in pieces as the memory allows, and charges its buffer to the holding. length is what the sender
// says, or negative. At most limit bytes are allowed. What was read before an error is returned with it.
func (h *Holding) ReadAll(r io.Reader, length, limit int64, reason string) ([]byte, error) {
	if length > limit {
		return nil, errTooLong
	}
	// One byte more shows whether there is more data.
	most := limit + 1
	if length >= 0 {
		most = length + 1
	}
	size := min(int64(firstBytes), most)
	if err := h.Charge(size, reason); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return buffer, errTooLong
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return buffer, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		old := int64(cap(buffer))
		size = min(2*old, max(most, old+1))
		if err := h.Charge(size, reason); err != nil {
			return buffer, err
		}
		larger := make([]byte, len(buffer), size)
		copy(larger, buffer)
		buffer = larger
		h.Release(old)
	}
}
