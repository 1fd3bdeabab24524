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
func (h *HTTPClient) Cancel(
	ctx context.Context, server laceunit.Address, id ScopedRequestID, attempt laceunit.AttemptID,
) error {
	body, err := json.Marshal(wireCancel{
		Request: string(id),
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
	return h.callControl(ctx, outboundRequest{
		server: server,
		method: http.MethodPost,
		path:   "/v1/cancel",
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	}, nil)
}

// Lookup implements Client. A 404 means StateAbsent only with the header Lace-Outcome: not_run. Without it, the server
// may not implement the lookup, and its 404 would be mistaken for a request that was not executed.
func (h *HTTPClient) Lookup(ctx context.Context, server laceunit.Address, id ScopedRequestID) (Status, error) {
	var w wireStatus
	err := h.callControl(ctx, outboundRequest{
		server: server,
		method: http.MethodGet,
		path:   "/v1/requests/" + url.PathEscape(string(id)),
	}, &w)
	var fault *Error
	switch {
	case errors.As(err, &fault) && fault.Effect == EffectNone && fault.Status == http.StatusNotFound:
		return Status{State: StateAbsent}, nil
	case err != nil:
		return Status{}, err
	}
	s, ok := w.status()
	if !ok || w.Request != string(id) {
		return Status{}, malformedError(server)
	}
	return s, nil
}

// Load implements Client.
func (h *HTTPClient) Load(ctx context.Context, server laceunit.Address) (Load, error) {
	var w wireLoad
	err := h.callControl(ctx, outboundRequest{
		server: server,
		method: http.MethodGet,
		path:   "/v1/load",
	}, &w)
	if err != nil {
		return Load{}, err
	}
	l, ok := w.load()
	if !ok {
		return Load{}, malformedError(server)
	}
	return l, nil
}

// Events implements Client.
func (h *HTTPClient) Events(ctx context.Context, server laceunit.Address, after uint64) (CacheEventPage, error) {
	var w wireEvents
	err := h.callControl(ctx, outboundRequest{
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
		return CacheEventPage{}, malformedError(server)
	}
	return page, nil
}

// callControl sends a control request and decodes the JSON response into result unless that is nil.
func (h *HTTPClient) callControl(ctx context.Context, out outboundRequest, result any) error {
	if _, ok := ctx.Deadline(); !ok || !out.useContextDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.limits.ControlTimeout)
		defer cancel()
	}
	resp, err := h.send(ctx, out)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readLimited(resp.Body, h.limits.MaxControlBytes)
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
	case result == nil:
		return nil
	default:
		if err = json.Unmarshal(body, result); err == nil {
			return nil
		}
		fault.Reason, fault.Cause = ErrMalformed, err
	}
	return fault
}

func malformedError(server laceunit.Address) *Error {
	return &Error{
		Effect: EffectUnknown,
		Reason: ErrMalformed,
		Server: server,
	}
}
