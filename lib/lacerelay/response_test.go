package lacerelay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
)

// bareCodec passes nothing of a server's header on.
type bareCodec struct{ Codec }

// Answer implements Codec.
func (bareCodec) SetResponseHeader(http.Header, http.Header, Call) {}

// Refuse implements Codec.
func (bareCodec) WriteFault(w http.ResponseWriter, _ Call, f *lacefault.Fault) {
	w.WriteHeader(f.Code.Status())
}

// shortWriter takes some writes before its caller has gone.
type shortWriter struct {
	*httptest.ResponseRecorder

	left int
}

// Write implements http.ResponseWriter.
func (w *shortWriter) Write(p []byte) (int, error) {
	if w.left--; w.left < 0 {
		return 0, errors.New("write deadline exceeded")
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against a handler that returns as after a whole response when a write failed, a part was passed on, or nothing
// was; over HTTP/1.0 the response would look complete.
func TestOnlyWholeResponsesEnd(t *testing.T) {
	a := &attempt{
		status: http.StatusOK,
		header: http.Header{},
		body:   []byte("body"),
	}
	f := &lacefault.Fault{Code: lacefault.ServerFailed}
	event := func(s *response) error { return s.event(a, []byte("id: 1\n\n"), false) }
	for name, c := range map[string]struct {
		writes int
		holds  bool
		steps  []func(s *response) error
		ended  bool
	}{
		"nothing":                   {writes: 9},
		"events":                    {writes: 9, steps: []func(*response) error{event}},
		"stream":                    {writes: 9, steps: []func(*response) error{event, func(s *response) error { return s.finish(a) }}, ended: true},
		"refusal behind events":     {writes: 9, steps: []func(*response) error{event, func(s *response) error { return s.refuse(f) }}},
		"answer behind events":      {writes: 9, steps: []func(*response) error{event, func(s *response) error { return s.whole(a) }}},
		"refusal":                   {writes: 9, steps: []func(*response) error{func(s *response) error { return s.refuse(f) }}, ended: true},
		"refusal of a held stream":  {writes: 9, holds: true, steps: []func(*response) error{event, func(s *response) error { return s.refuse(f) }}, ended: true},
		"answer":                    {writes: 1, steps: []func(*response) error{func(s *response) error { return s.whole(a) }}, ended: true},
		"answer, write fails":       {steps: []func(*response) error{func(s *response) error { return s.whole(a) }}},
		"second event, write fails": {writes: 1, steps: []func(*response) error{event, event}},
		"held stream, write fails":  {holds: true, steps: []func(*response) error{event, func(s *response) error { return s.finish(a) }}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &response{
				codec: bareCodec{},
				w: &shortWriter{
					ResponseRecorder: httptest.NewRecorder(),
					left:             c.writes,
				},
				holds: c.holds,
			}
			for _, step := range c.steps {
				// The last step's failure shows in how the response ends.
				_ = step(s)
			}
			defer func() {
				if broken := recover() != nil; broken == c.ended {
					t.Errorf("broken off: %t", broken)
				}
			}()
			s.breakOff()
		})
	}
}
