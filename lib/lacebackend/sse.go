package lacebackend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelistener"
)

// eventReader reads the data of server-sent events, one event at a time, and limits their size.
type eventReader struct {
	reader *bufio.Reader
	// maxEventBytes limits the size of an event and of a line; remaining is how many bytes may still be read in total.
	maxEventBytes int
	remaining     int64
	data          lacelistener.Buffer
	line          lacelistener.Buffer
}

// newEventReader returns a reader that charges large events to a holding, which may be nil.
func newEventReader(r io.Reader, maxEventBytes int, maxTotalBytes int64, memory *lacelistener.Holding) *eventReader {
	return &eventReader{
		reader:        bufio.NewReaderSize(r, 4096),
		maxEventBytes: maxEventBytes,
		remaining:     maxTotalBytes,
		data:          lacelistener.NewBuffer(memory, lacelistener.Answer),
		line:          lacelistener.NewBuffer(memory, lacelistener.Answer),
	}
}

// next returns the data of the next event, which is valid until the next call. It returns io.EOF only if the input ends
// between events.
func (e *eventReader) next() ([]byte, error) {
	e.data.Reset()
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
				return e.data.Bytes(), nil
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
			value = append([]byte{'\n'}, value...)
		}
		hasData = true
		if len(e.data.Bytes())+len(value) > e.maxEventBytes {
			return nil, ErrTooLong
		}
		if err := e.data.Append(value); err != nil {
			return nil, ErrNoMemory
		}
	}
}

func (e *eventReader) readLine() ([]byte, error) {
	e.line.Reset()
	for {
		part, err := e.reader.ReadSlice('\n')
		e.remaining -= int64(len(part))
		if e.remaining < 0 || len(e.line.Bytes())+len(part) > e.maxEventBytes {
			return nil, ErrTooLong
		}
		if e.line.Append(part) != nil {
			return nil, ErrNoMemory
		}
		switch {
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(e.line.Bytes(), []byte("\n")), []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.line.Bytes()) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
