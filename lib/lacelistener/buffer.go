package lacelistener

// uncharged is the size up to which a buffer is not charged beside its connection.
const uncharged = firstBytes

// Buffer is a growing buffer that is charged to a holding when it is large.
type Buffer struct {
	holding *Holding
	reason  string
	data    []byte
}

// NewBuffer returns an empty buffer that is charged to a holding, which may be nil.
func NewBuffer(holding *Holding, reason string) Buffer {
	return Buffer{
		holding: holding,
		reason:  reason,
	}
}

// Bytes returns the content, which is valid until the next call of Append or Reset.
func (b *Buffer) Bytes() []byte { return b.data }

// Reset removes the content and keeps the memory.
func (b *Buffer) Reset() { b.data = b.data[:0] }

// Append appends data; it returns ErrShort if there is no memory for it.
func (b *Buffer) Append(data []byte) error {
	err := b.reserve(len(data))
	if err == nil {
		b.data = append(b.data, data...)
	}
	return err
}

// AppendString appends text like Append.
func (b *Buffer) AppendString(text string) error {
	err := b.reserve(len(text))
	if err == nil {
		b.data = append(b.data, text...)
	}
	return err
}

// reserve makes room for a number of bytes.
func (b *Buffer) reserve(n int) error {
	if cap(b.data)-len(b.data) >= n {
		return nil
	}
	size := max(2*cap(b.data), len(b.data)+n)
	if size > uncharged {
		if err := b.holding.Charge(int64(size), b.reason); err != nil {
			return err
		}
	}
	larger := make([]byte, len(b.data), size)
	copy(larger, b.data)
	b.release()
	b.data = larger
	return nil
}

// Close returns the memory; the buffer is empty then.
func (b *Buffer) Close() {
	b.release()
	b.data = nil
}

func (b *Buffer) release() {
	if cap(b.data) > uncharged {
		b.holding.Release(int64(cap(b.data)))
	}
}
