package lacebackend

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceunit"
)

// Invoke implements Client. A status of 400 or more with the header Lace-Outcome: not_run means that the server
// rejected the request before executing it. Any other response is returned, whatever its status.
func (h *HTTPClient) Invoke(ctx context.Context, server laceunit.Address, request InvokeRequest) (Reply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.limits.InvokeTimeout)
		defer cancel()
	}
	header := endToEndHeader(request.Header)
	header.Set(headerRequest, string(request.RequestID))
	header.Set(headerAttempt, string(request.Attempt))
	resp, err := h.send(ctx, outboundRequest{
		server: server,
		method: request.Method,
		path:   request.Path,
		query:  request.Query,
		header: header,
		body:   request.Body,
	})
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	reportNotice(resp, request.OnNotice)
	reply, fault := checkReply(resp, request, h.limits.MaxReplyBytes)
	if fault == nil {
		return reply, nil
	}
	fault.Server, fault.Status, fault.RetryAfter = server, resp.StatusCode, retryAfter(resp.Header)
	if fault.Effect == EffectRan && ctx.Err() != nil {
		fault.Reason = ErrTimeout
	}
	return Reply{}, fault
}

// checkReply reads the complete response and validates that it belongs to this attempt and has its declared length.
func checkReply(resp *http.Response, request InvokeRequest, maxBytes int64) (Reply, *Error) {
	if resp.Header.Get(headerAttempt) != string(request.Attempt) {
		return Reply{}, replyError(EffectUnknown, ErrWrongAttempt, nil)
	}
	if resp.Header.Get(headerOutcome) == outcomeNotRun && resp.StatusCode >= http.StatusBadRequest {
		return Reply{}, replyError(EffectNone, ErrRefused, nil)
	}
	// Responses to HEAD have no body, whatever length they declare.
	noBody := resp.Body == http.NoBody
	// A response that is delimited by the end of the connection can't be distinguished from a truncated one.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !noBody {
		return Reply{}, replyError(EffectRan, ErrWrongLength, nil)
	}
	if resp.ContentLength > maxBytes && !noBody {
		return Reply{}, replyError(EffectRan, ErrTooLong, nil)
	}
	length := resp.ContentLength
	if noBody {
		length = 0
	}
	body, err := request.Memory.ReadAll(resp.Body, length, maxBytes, lacelistener.Answer)
	switch {
	case errors.Is(err, lacelistener.ErrShort):
		return Reply{}, replyError(EffectRan, ErrNoMemory, nil)
	case lacelistener.IsTooLong(err):
		return Reply{}, replyError(EffectRan, ErrTooLong, nil)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Reply{}, replyError(EffectRan, ErrWrongLength, err)
	case err != nil:
		return Reply{}, replyError(EffectRan, ErrIncomplete, err)
	}
	return Reply{
		Status: resp.StatusCode,
		Header: endToEndHeader(resp.Header),
		Body:   body,
	}, nil
}

func replyError(effect Effect, reason, cause error) *Error {
	return &Error{
		Effect: effect,
		Reason: reason,
		Cause:  cause,
	}
}

// endToEndHeader returns a copy of a header without hop-by-hop fields, the caller's credentials and the fields of the
// backend protocol. It also omits Idempotency-Key, because the transport retries requests that have this field.
func endToEndHeader(header http.Header) http.Header {
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
