package lacerelay

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// endlessReader repeats a text without end.
type endlessReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.read += n
	return n, nil
}

// Guards against a server that sends an endless event, or newlines without end instead: buffering it until the caller's
// deadline would exhaust the memory of the instance, and skipping them would keep a core busy.
func TestEventSizeIsBounded(t *testing.T) {
	const limit = 8 << 20
	for name, text := range map[string]string{
		"lines":    strings.Repeat("data: x\n", 64),
		"one line": strings.Repeat("x", 512),
		"newlines": strings.Repeat("\n", 512),
	} {
		source := &endlessReader{text: text}
		_, err := newEventReader(io.LimitReader(source, limit), nil).next()
		if err == nil || source.read > 2*maxEventBytes {
			t.Errorf("%s: read %d bytes of one event, error %v", name, source.read, err)
		}
	}
}

// Guards against events that are modified while they are forwarded.
func TestReadEventKeepsBytes(t *testing.T) {
	r := newEventReader(strings.NewReader("\n\nid: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\ndata: cut"), nil)
	for _, want := range []event{
		{raw: []byte("id: 1\ndata: a\ndata: b\n\n"), id: "1"},
		{raw: []byte("id: 2\r\ndata: c\r\n\r\n"), id: "2"},
	} {
		got, err := r.next()
		if err != nil || string(got.raw) != string(want.raw) || got.id != want.id {
			t.Errorf("event %q with id %q, error %v", got.raw, got.id, err)
		}
	}
	if _, err := r.next(); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("stream that ends within an event: error %v", err)
	}
}
