package lacerelay

import (
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceunit"
)

var (
	// errResponseStarted means that a part of another server response was already sent to the caller.
	errResponseStarted = errors.New("relay: response has begun")
	// errBufferFull means that a stream is too long to be buffered.
	errBufferFull = errors.New("relay: stream is too long for a caller of HTTP/1.0")
)

// response is the response to the caller, which nothing else starts or completes. Once a part of a stream was sent, the
// response can only be completed by the rest of that stream; a response that stays incomplete aborts the connection.
type response struct {
	codec Codec
	call  Call
	// setForwardHeaders sets the headers of a response to another instance; nil sets none.
	setForwardHeaders func(http.Header)
	w                 http.ResponseWriter
	// buffered is true when events are buffered until the end of their stream, because the caller can't distinguish a
	// truncated stream from a complete one (HTTP/1.0).
	buffered bool
	buffer   lacelistener.Buffer
	// status and header are those of the server that sent the first event, also after the stream is resumed at another
	// one.
	status int
	header http.Header
	// startedAt is when the first part was sent to the caller, complete is true once the response is completed.
	startedAt time.Time
	complete  bool
	// sent is how many bytes of the body were sent to the caller.
	sent laceunit.Bytes
	// events counts the events that were sent to the caller, bufferedEvents those in the buffer.
	events         int
	bufferedEvents int
}

// canContinueWith reports whether the response can start or continue with a server response that has this header.
func (s *response) canContinueWith(header http.Header) bool {
	return s.header == nil || mediaType(header) == mediaType(s.header)
}

func mediaType(h http.Header) string {
	// A media type whose parameters can't be parsed is returned without them.
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return t
}

// writeEvent forwards an event of a stream. It is not flushed with flushLater, when further events are ready to be sent
// together with it.
func (s *response) writeEvent(a *attempt, raw []byte, flushLater bool) error {
	s.adoptHeader(a)
	if s.buffered {
		if err := s.buffer.Append(raw); err != nil {
			return err
		}
		s.bufferedEvents++
		if len(s.buffer.Bytes()) > maxResponseBytes {
			return errBufferFull
		}
		return nil
	}
	if s.startedAt.IsZero() {
		s.writeHeader(-1)
	}
	s.events++
	if err := s.write(raw); err != nil || flushLater {
		return err
	}
	return s.flush()
}

// adoptHeader uses the header of a stream for the response, unless the stream resumes an earlier one.
func (s *response) adoptHeader(a *attempt) {
	if s.header == nil {
		s.status, s.header = a.status, a.header
	}
}

// writeHeader writes the header; a negative length stands for an unknown one.
func (s *response) writeHeader(length int) {
	s.codec.SetResponseHeader(s.w.Header(), s.header, s.call)
	s.prepareHeader()
	switch contentLength := s.header.Get("Content-Length"); {
	case s.call.Method != http.MethodHead && length >= 0:
		s.w.Header().Set("Content-Length", strconv.Itoa(length))
	case s.call.Method == http.MethodHead && contentLength != "":
		s.w.Header().Set("Content-Length", contentLength)
	}
	s.startedAt = time.Now()
	s.w.WriteHeader(s.status)
}

func (s *response) prepareHeader() {
	if s.setForwardHeaders != nil {
		s.setForwardHeaders(s.w.Header())
	}
}

func (s *response) write(p []byte) error {
	n, err := s.w.Write(p)
	s.sent += laceunit.Bytes(n)
	return err
}

func (s *response) flush() error {
	if s.startedAt.IsZero() {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}

// finishStream completes the response at the end of a stream.
func (s *response) finishStream(a *attempt) error {
	s.adoptHeader(a)
	if s.buffered {
		s.writeHeader(len(s.buffer.Bytes()))
		s.events = s.bufferedEvents
		err := s.write(s.buffer.Bytes())
		s.complete = err == nil
		return err
	}
	if s.startedAt.IsZero() {
		s.writeHeader(-1)
		s.complete = true
		return nil
	}
	err := s.flush()
	s.complete = err == nil
	return err
}

// writeComplete forwards a complete server response.
func (s *response) writeComplete(a *attempt) error {
	if !s.startedAt.IsZero() {
		return errResponseStarted
	}
	s.status, s.header = a.status, a.header
	s.writeHeader(len(a.body))
	err := s.write(a.body)
	s.complete = err == nil
	return err
}

// writeFault responds with a refusal or a failure.
func (s *response) writeFault(f *lacefault.Fault) error {
	if !s.startedAt.IsZero() {
		return errResponseStarted
	}
	s.prepareHeader()
	s.codec.WriteFault(s.w, s.call, f)
	s.complete = true
	return nil
}

// abortIfIncomplete aborts the connection if the response is incomplete, so that the caller can't mistake a truncated
// response for a complete one.
func (s *response) abortIfIncomplete() {
	if !s.complete {
		panic(http.ErrAbortHandler)
	}
}
