package lacerelay

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// repeat is a reader that never ends.
type repeat struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *repeat) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.read += n
	return n, nil
}

// Guards against a server whose event has no end: it would fill the memory of the instance for as long as the caller
// waits.
func TestEndlessEvents(t *testing.T) {
	const most = 8 << 20
	for name, text := range map[string]string{
		"lines":    strings.Repeat("data: x\n", 64),
		"one line": strings.Repeat("x", 512),
	} {
		source := &repeat{text: text}
		_, err := readEvent(bufio.NewReaderSize(io.LimitReader(source, most), readerBytes))
		if err == nil || source.read > 2*eventBytes {
			t.Errorf("%s: %d bytes were read of one event: %v", name, source.read, err)
		}
	}
}

// Guards against events that are changed on their way.
func TestEventsStayWhole(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("\n\nid: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\ndata: cut"))
	for _, want := range []event{
		{text: []byte("id: 1\ndata: a\ndata: b\n\n"), id: "1"},
		{text: []byte("id: 2\r\ndata: c\r\n\r\n"), id: "2"},
	} {
		got, err := readEvent(r)
		if err != nil || string(got.text) != string(want.text) || got.id != want.id {
			t.Errorf("event %q with id %q, error %v", got.text, got.id, err)
		}
	}
	if _, err := readEvent(r); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a stream that ends within an event: error %v", err)
	}
}
