package lacebackend

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Invoke implements Client. A server refuses a call before it runs with a status of 400 or more and the header
// Lace-Outcome: not_run; any other status is an answer and is returned.
func (h *HTTPClient) Invoke(ctx context.Context, server laceunit.Address, invocation InvokeRequest) (Reply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.bounds.InvokeTimeout)
		defer cancel()
	}
	header := forwarded(invocation.Header)
	header.Set(headerRequest, string(invocation.RequestID))
	header.Set(headerAttempt, string(invocation.Attempt))
	resp, err := h.send(ctx, outgoing{
		server: server,
		method: invocation.Method,
		path:   invocation.Path,
		query:  invocation.Query,
		header: header,
		body:   invocation.Body,
	})
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	notify(resp, invocation.OnNotice)
	reply, fault := checkReply(resp, invocation, h.bounds.MaxReplyBytes)
	if fault == nil {
		return reply, nil
	}
	fault.Server, fault.Status, fault.RetryAfter = server, resp.StatusCode, retryAfter(resp.Header)
	if fault.Effect == EffectRan && ctx.Err() != nil {
		fault.Reason = ErrTimeout
	}
	return Reply{}, fault
}

// checkReply reads the whole answer and returns it only when it is this attempt's and complete.
func checkReply(resp *http.Response, invocation InvokeRequest, maximum int64) (Reply, *Error) {
	if resp.Header.Get(headerAttempt) != string(invocation.Attempt) {
		return Reply{}, unusable(EffectUnknown, ErrWrongAttempt, nil)
	}
	if resp.Header.Get(headerOutcome) == outcomeNotRun && resp.StatusCode >= http.StatusBadRequest {
		return Reply{}, unusable(EffectNone, ErrRefused, nil)
	}
	// Answers to HEAD have no body, whatever length they name.
	empty := resp.Body == http.NoBody
	// An answer that ends with the connection can't be told from a cut one.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !empty {
		return Reply{}, unusable(EffectRan, ErrWrongLength, nil)
	}
	if resp.ContentLength > maximum && !empty {
		return Reply{}, unusable(EffectRan, ErrTooLong, nil)
	}
	body, err := readBounded(resp.Body, maximum)
	switch {
	case errors.Is(err, ErrTooLong):
		return Reply{}, unusable(EffectRan, ErrTooLong, nil)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Reply{}, unusable(EffectRan, ErrWrongLength, err)
	case err != nil:
		return Reply{}, unusable(EffectRan, ErrIncomplete, err)
	}
	return Reply{
		Status: resp.StatusCode,
		Header: forwarded(resp.Header),
		Body:   body,
	}, nil
}

func unusable(effect Effect, reason, cause error) *Error {
	return &Error{
		Effect: effect,
		Reason: reason,
		Cause:  cause,
	}
}

// forwarded copies a header without the fields that belong to one connection, to the caller's key or to this
// protocol. Idempotency-Key is among them because the transport repeats a request that carries it.
func forwarded(header http.Header) http.Header {
	h := header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for _, v := range header.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", "Authorization", "Idempotency-Key",
		"X-Idempotency-Key", headerRequest, headerAttempt, headerOutcome, headerLeaving, "Lace-Budget",
	} {
		h.Del(name)
	}
	return h
}
