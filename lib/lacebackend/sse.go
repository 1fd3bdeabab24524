package lacebackend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// eventReader reads the data of server-sent events, one event at a time, and limits their size.
type eventReader struct {
	reader *bufio.Reader
	// maxEventBytes limits the size of an event and of a line; remaining is how many bytes may still be read in total.
	maxEventBytes int
	remaining     int64
	data          []byte
	lineBuffer    []byte
}

func newEventReader(r io.Reader, maxEventBytes int, maxTotalBytes int64) *eventReader {
	return &eventReader{
		reader:        bufio.NewReaderSize(r, 4096),
		maxEventBytes: maxEventBytes,
		remaining:     maxTotalBytes,
	}
}

// next returns the data of the next event, which is valid until the next call. It returns io.EOF only if the input ends
// between events.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if hasData && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
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
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		if len(e.data)+len(value) > e.maxEventBytes {
			return nil, ErrTooLong
		}
		e.data = append(e.data, value...)
	}
}

func (e *eventReader) readLine() ([]byte, error) {
	e.lineBuffer = e.lineBuffer[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.remaining -= int64(len(part))
		if e.remaining < 0 || len(e.lineBuffer)+len(part) > e.maxEventBytes {
			return nil, ErrTooLong
		}
		e.lineBuffer = append(e.lineBuffer, part...)
		switch {
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(e.lineBuffer, []byte("\n")), []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.lineBuffer) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
