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
func (h *HTTPClient) Generate(ctx context.Context, server laceunit.Address, request GenerateRequest) (Stream, error) {
	body, err := json.Marshal(wireGenerateRequest{}.from(request))
	if err != nil {
		return nil, &Error{
			Effect: EffectNone,
			Reason: ErrInvalidRequest,
			Server: server,
			Cause:  err,
		}
	}
	streamCtx, cancel := context.WithCancel(ctx)
	// The timer cancels an attempt that makes no progress; it restarts with every chunk.
	timer := time.AfterFunc(h.limits.IdleTimeout, cancel)
	resp, err := h.send(streamCtx, outboundRequest{ //nolint:bodyclose // the stream closes the body
		server: server,
		method: http.MethodPost,
		path:   "/v1/generate",
		header: http.Header{
			"Content-Type": {"application/json"},
			"Accept":       {"text/event-stream"},
			headerRequest:  {string(request.RequestID)},
			headerAttempt:  {string(request.Attempt)},
		},
		body: body,
	})
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	reportNotice(resp, request.OnNotice)
	s := &httpStream{
		server: server,
		limits: h.limits,
		body:   resp.Body,
		timer:  timer,
		cancel: cancel,
		ctx:    streamCtx,
	}
	if err := checkStreamHeader(server, resp, request.Attempt); err != nil {
		_ = s.Close()
		return nil, err
	}
	timer.Stop()
	s.decoder = decoder{
		events:    newEventReader(resp.Body, h.limits.MaxEventBytes, h.limits.MaxStreamBytes, request.Memory),
		attempt:   request.Attempt,
		nextIndex: request.FirstChunk,
		onEnd:     func() { timer.Reset(h.limits.EndTimeout) },
	}
	return s, nil
}

// checkStreamHeader accepts only a stream of the attempt. A status 4xx or 503 means that the engine rejected the
// request before executing it.
func checkStreamHeader(server laceunit.Address, resp *http.Response, attempt laceunit.AttemptID) error {
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
	limits  Limits
	decoder decoder
	body    io.ReadCloser
	timer   *time.Timer
	ctx     context.Context
	cancel  context.CancelFunc
	once    sync.Once
}

// Next implements Stream.
func (s *httpStream) Next() (Chunk, error) {
	s.timer.Reset(s.limits.IdleTimeout)
	c, err := s.decoder.nextChunk()
	// The timer doesn't run between two calls, since a slow consumer is not a stalled engine.
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
		// The response belongs to another request and says nothing about the execution of this one.
		fault.Effect = EffectUnknown
	case errors.Is(err, ErrIncomplete) && s.ctx.Err() != nil:
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
