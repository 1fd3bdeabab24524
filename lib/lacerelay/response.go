package lacerelay

import (
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
)

var (
	// errBegun means that a part of another answer has reached the caller.
	errBegun = errors.New("relay: response has begun")
	// errHeld means that a stream is too long to be held.
	errHeld = errors.New("relay: stream is too long for a caller of HTTP/1.0")
)

// response is what the caller of one request gets. Only here a response begins and ends. One that has begun can end as
// the whole stream of which it is a part, and in no other way; what does not end breaks the connection off.
type response struct {
	codec Codec
	call  Call
	w     http.ResponseWriter
	// holds is true when events wait for the end of their stream, because the caller can't tell a cut one from a whole one.
	holds bool
	held  []byte
	// status and header are those of the server that sent the first event; they stay when the stream is resumed.
	status int
	header http.Header
	// begun is when the first part reached the caller, ended is true once the response has its end.
	begun time.Time
	ended bool
	// events counts the events that the caller got, waiting those that are held.
	events  int
	waiting int
}

// goesOn reports whether an answer can be a part of the response.
func (s *response) goesOn(header http.Header) bool {
	return s.header == nil || mediaType(header) == mediaType(s.header)
}

func mediaType(h http.Header) string {
	// A type with parameters that can't be read is still a type.
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return t
}

// event passes an event of a stream on; with more, others are ready and are sent together with it.
func (s *response) event(a *attempt, text []byte, more bool) error {
	s.open(a)
	if s.holds {
		s.held = append(s.held, text...)
		s.waiting++
		if len(s.held) > answerBytes {
			return errHeld
		}
		return nil
	}
	if s.begun.IsZero() {
		s.begin(-1)
	}
	s.events++
	if _, err := s.w.Write(text); err != nil || more {
		return err
	}
	return s.flush()
}

// open takes over the header of a stream, unless it goes on with an earlier one.
func (s *response) open(a *attempt) {
	if s.header == nil {
		s.status, s.header = a.status, a.header
	}
}

// begin writes the header; a negative length is not named.
func (s *response) begin(length int) {
	s.codec.SetResponseHeader(s.w.Header(), s.header, s.call)
	switch named := s.header.Get("Content-Length"); {
	case s.call.Method != http.MethodHead && length >= 0:
		s.w.Header().Set("Content-Length", strconv.Itoa(length))
	case s.call.Method == http.MethodHead && named != "":
		s.w.Header().Set("Content-Length", named)
	}
	s.begun = time.Now()
	s.w.WriteHeader(s.status)
}

func (s *response) flush() error {
	if s.begun.IsZero() {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}

// finish ends a stream that is whole.
func (s *response) finish(a *attempt) error {
	s.open(a)
	if s.holds {
		s.begin(len(s.held))
		s.events = s.waiting
		_, err := s.w.Write(s.held)
		s.ended = err == nil
		return err
	}
	if s.begun.IsZero() {
		s.begin(-1)
		s.ended = true
		return nil
	}
	err := s.flush()
	s.ended = err == nil
	return err
}

// whole passes a complete answer on.
func (s *response) whole(a *attempt) error {
	if !s.begun.IsZero() {
		return errBegun
	}
	s.status, s.header = a.status, a.header
	s.begin(len(a.body))
	_, err := s.w.Write(a.body)
	s.ended = err == nil
	return err
}

// refuse answers with a refusal or a failure.
func (s *response) refuse(f *lacefault.Fault) error {
	if !s.begun.IsZero() {
		return errBegun
	}
	s.codec.WriteFault(s.w, s.call, f)
	s.ended = true
	return nil
}

// breakOff ends the handler without the end of the response, so that a cut one can't be taken for a whole one.
func (s *response) breakOff() {
	if !s.ended {
		panic(http.ErrAbortHandler)
	}
}
