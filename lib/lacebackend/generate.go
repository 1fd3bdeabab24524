package lacebackend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Generate implements Client.
func (h *HTTPClient) Generate(ctx context.Context, server laceunit.Address, call GenerateRequest) (Stream, error) {
	body, err := json.Marshal(wireCall{}.from(call))
	if err != nil {
		return nil, &Error{
			Effect: EffectNone,
			Reason: ErrInvalidRequest,
			Server: server,
			Cause:  err,
		}
	}
	inner, cancel := context.WithCancel(ctx)
	// The timer ends an attempt that makes no progress; every chunk sets it back.
	timer := time.AfterFunc(h.bounds.IdleTimeout, cancel)
	resp, err := h.send(inner, outgoing{ //nolint:bodyclose // the stream closes the body
		server: server,
		method: http.MethodPost,
		path:   "/v1/generate",
		header: http.Header{
			"Content-Type": {"application/json"},
			"Accept":       {"text/event-stream"},
			headerRequest:  {string(call.RequestID)},
			headerAttempt:  {string(call.Attempt)},
		},
		body: body,
	})
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	notify(resp, call.OnNotice)
	s := &httpStream{
		server: server,
		bounds: h.bounds,
		body:   resp.Body,
		timer:  timer,
		cancel: cancel,
		inner:  inner,
	}
	if err := checkStart(server, resp, call.Attempt); err != nil {
		_ = s.Close()
		return nil, err
	}
	timer.Stop()
	s.decoder = decoder{
		events:  newEventReader(resp.Body, h.bounds.MaxEventBytes, h.bounds.MaxStreamBytes),
		attempt: call.Attempt,
		next:    call.FirstChunk,
		ended:   func() { timer.Reset(h.bounds.EndTimeout) },
	}
	return s, nil
}

// checkStart accepts only a stream of the attempt. An engine refuses before it runs with a status 4xx or 503.
func checkStart(server laceunit.Address, resp *http.Response, attempt laceunit.AttemptID) error {
	fault := &Error{
		Effect:     EffectUnknown,
		Reason:     ErrUnexpectedStatus,
		Server:     server,
		Status:     resp.StatusCode,
		RetryAfter: retryAfter(resp.Header),
	}
	switch {
	case resp.StatusCode/100 == 4, resp.StatusCode == http.StatusServiceUnavailable:
		fault.Effect, fault.Reason = EffectNone, ErrRefused
	case resp.Header.Get(headerAttempt) != string(attempt):
		fault.Reason = ErrWrongAttempt
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusInternalServerError:
		fault.Effect = EffectRan
	}
	return fault
}

type httpStream struct {
	server  laceunit.Address
	bounds  Limits
	decoder decoder
	body    io.ReadCloser
	timer   *time.Timer
	inner   context.Context
	cancel  context.CancelFunc
	once    sync.Once
}

// Next implements Stream.
func (s *httpStream) Next() (Chunk, error) {
	s.timer.Reset(s.bounds.IdleTimeout)
	c, err := s.decoder.chunk()
	// Between two calls the consumer may be slow; only the engine's silence counts.
	s.timer.Stop()
	if err == nil || errors.Is(err, io.EOF) {
		return c, err
	}
	fault := &Error{
		Effect: EffectRan,
		Reason: err,
		Server: s.server,
		Status: http.StatusOK,
	}
	switch {
	case errors.Is(err, ErrWrongAttempt):
		// The answer is another request's, so it proves nothing about this one.
		fault.Effect = EffectUnknown
	case errors.Is(err, ErrIncomplete) && s.inner.Err() != nil:
		fault.Effect, fault.Reason, fault.Cause = EffectUnknown, ErrTimeout, err
	case errors.Is(err, ErrIncomplete):
		fault.Effect = EffectUnknown
	}
	return Chunk{}, fault
}

// Close implements Stream.
func (s *httpStream) Close() error {
	s.once.Do(func() {
		s.timer.Stop()
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
