package lacebackend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Cancel implements Client.
func (h *HTTPClient) Cancel(ctx context.Context, server laceunit.Address, request ScopedRequestID, attempt laceunit.AttemptID) error {
	body, err := json.Marshal(wireCancel{
		Request: string(request),
		Attempt: string(attempt),
	})
	if err != nil {
		return &Error{
			Effect: EffectNone,
			Reason: ErrInvalidRequest,
			Server: server,
			Cause:  err,
		}
	}
	return h.control(ctx, outgoing{
		server: server,
		method: http.MethodPost,
		path:   "/v1/cancel",
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	}, nil)
}

// Find implements Client. A 404 counts as absent only with the header Lace-Outcome: not_run, so that the answer of a
// server without this lookup is not taken for a request that did not run.
func (h *HTTPClient) Lookup(ctx context.Context, server laceunit.Address, request ScopedRequestID) (Status, error) {
	var w wireStatus
	err := h.control(ctx, outgoing{
		server: server,
		method: http.MethodGet,
		path:   "/v1/requests/" + url.PathEscape(string(request)),
	}, &w)
	var fault *Error
	switch {
	case errors.As(err, &fault) && fault.Effect == EffectNone && fault.Status == http.StatusNotFound:
		return Status{State: StateAbsent}, nil
	case err != nil:
		return Status{}, err
	}
	s, ok := w.status()
	if !ok || w.Request != string(request) {
		return Status{}, malformed(server)
	}
	return s, nil
}

// Load implements Client.
func (h *HTTPClient) Load(ctx context.Context, server laceunit.Address) (Load, error) {
	var w wireLoad
	err := h.control(ctx, outgoing{
		server: server,
		method: http.MethodGet,
		path:   "/v1/load",
	}, &w)
	if err != nil {
		return Load{}, err
	}
	l, ok := w.load()
	if !ok {
		return Load{}, malformed(server)
	}
	return l, nil
}

// Events implements Client.
func (h *HTTPClient) Events(ctx context.Context, server laceunit.Address, after uint64) (CacheEventPage, error) {
	var w wireEvents
	err := h.control(ctx, outgoing{
		server: server,
		method: http.MethodGet,
		path:   "/v1/cache/events",
		query:  "after=" + strconv.FormatUint(after, 10),
	}, &w)
	if err != nil {
		return CacheEventPage{}, err
	}
	page, ok := w.events(after)
	if !ok {
		return CacheEventPage{}, malformed(server)
	}
	return page, nil
}

// control makes a short call and parses the JSON answer, if one is wanted.
func (h *HTTPClient) control(ctx context.Context, out outgoing, into any) error {
	if _, ok := ctx.Deadline(); !ok || !out.patient {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.bounds.ControlTimeout)
		defer cancel()
	}
	resp, err := h.send(ctx, out)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBounded(resp.Body, h.bounds.MaxControlBytes)
	fault := &Error{
		Effect:     EffectUnknown,
		Reason:     ErrUnexpectedStatus,
		Server:     out.server,
		Status:     resp.StatusCode,
		RetryAfter: retryAfter(resp.Header),
		Cause:      err,
	}
	switch {
	case err != nil && ctx.Err() != nil:
		fault.Reason = ErrTimeout
	case errors.Is(err, ErrTooLong):
		fault.Reason, fault.Cause = ErrTooLong, nil
	case err != nil:
		fault.Reason = ErrIncomplete
	case resp.StatusCode/100 != 2:
		if resp.Header.Get(headerOutcome) == outcomeNotRun {
			fault.Effect, fault.Reason = EffectNone, ErrRefused
		}
	case into == nil:
		return nil
	default:
		if err = json.Unmarshal(body, into); err == nil {
			return nil
		}
		fault.Reason, fault.Cause = ErrMalformed, err
	}
	return fault
}

func malformed(server laceunit.Address) *Error {
	return &Error{
		Effect: EffectUnknown,
		Reason: ErrMalformed,
		Server: server,
	}
}
