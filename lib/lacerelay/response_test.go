package lacerelay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
)

// stubCodec forwards nothing of a server's header.
type stubCodec struct{ Codec }

// SetResponseHeader implements Codec.
func (stubCodec) SetResponseHeader(http.Header, http.Header, Call) {}

// WriteFault implements Codec.
func (stubCodec) WriteFault(w http.ResponseWriter, _ Call, f *lacefault.Fault) {
	w.WriteHeader(f.Code.Status())
}

// limitedWriter accepts a number of writes and then fails, as after the caller disconnected.
type limitedWriter struct {
	*httptest.ResponseRecorder

	writesLeft int
}

// Write implements http.ResponseWriter.
func (w *limitedWriter) Write(p []byte) (int, error) {
	if w.writesLeft--; w.writesLeft < 0 {
		return 0, errors.New("write deadline exceeded")
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against a handler that returns normally although a write failed or only a part or nothing of a response was
// sent; over HTTP/1.0 the response would look complete.
func TestIncompleteResponseAbortsConnection(t *testing.T) {
	a := &attempt{
		status: http.StatusOK,
		header: http.Header{},
		body:   []byte("body"),
	}
	f := &lacefault.Fault{Code: lacefault.BackendServerFailed}
	event := func(s *response) error { return s.writeEvent(a, []byte("id: 1\n\n"), false) }
	for name, c := range map[string]struct {
		writes   int
		buffered bool
		steps    []func(s *response) error
		complete bool
	}{
		"nothing": {writes: 9},
		"events":  {writes: 9, steps: []func(*response) error{event}},
		"stream": {
			writes:   9,
			steps:    []func(*response) error{event, func(s *response) error { return s.finishStream(a) }},
			complete: true,
		},
		"refusal after events": {
			writes: 9,
			steps:  []func(*response) error{event, func(s *response) error { return s.writeFault(f) }},
		},
		"response after events": {
			writes: 9,
			steps:  []func(*response) error{event, func(s *response) error { return s.writeComplete(a) }},
		},
		"refusal": {
			writes:   9,
			steps:    []func(*response) error{func(s *response) error { return s.writeFault(f) }},
			complete: true,
		},
		"refusal, buffered stream": {
			writes:   9,
			buffered: true,
			steps:    []func(*response) error{event, func(s *response) error { return s.writeFault(f) }},
			complete: true,
		},
		"answer": {
			writes:   1,
			steps:    []func(*response) error{func(s *response) error { return s.writeComplete(a) }},
			complete: true,
		},
		"response, write fails": {
			steps: []func(*response) error{func(s *response) error { return s.writeComplete(a) }},
		},
		"second event, write fails": {writes: 1, steps: []func(*response) error{event, event}},
		"buffered stream, write fails": {
			buffered: true,
			steps:    []func(*response) error{event, func(s *response) error { return s.finishStream(a) }},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &response{
				codec: stubCodec{},
				w: &limitedWriter{
					ResponseRecorder: httptest.NewRecorder(),
					writesLeft:       c.writes,
				},
				buffered: c.buffered,
			}
			for _, step := range c.steps {
				// An error of the last step shows in whether the response is aborted.
				_ = step(s)
			}
			defer func() {
				if aborted := recover() != nil; aborted == c.complete {
					t.Errorf("connection aborted: %t", aborted)
				}
			}()
			s.abortIfIncomplete()
		})
	}
}
