package lacebackend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// eventReader reads the data of server-sent events, one event at a time and within bounds.
type eventReader struct {
	reader *bufio.Reader
	// line bounds one event in bytes, left what may still be read.
	line int
	left int64
	data []byte
	raw  []byte
}

func newEventReader(r io.Reader, line int, total int64) *eventReader {
	return &eventReader{
		reader: bufio.NewReaderSize(r, 4096),
		line:   line,
		left:   total,
	}
}

// next returns the data of the next event, valid until the next call, and io.EOF only at the end of an event.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.readLine()
		if seen && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data"))
		if !ok || (len(value) > 0 && value[0] != ':') {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		if seen {
			e.data = append(e.data, '\n')
		}
		seen = true
		if len(e.data)+len(value) > e.line {
			return nil, ErrTooLong
		}
		e.data = append(e.data, value...)
	}
}

func (e *eventReader) readLine() ([]byte, error) {
	e.raw = e.raw[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.left -= int64(len(part))
		if e.left < 0 || len(e.raw)+len(part) > e.line {
			return nil, ErrTooLong
		}
		e.raw = append(e.raw, part...)
		switch {
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(e.raw, []byte("\n")), []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
