package laceplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxResponseBytes bounds a response: a list of 512 slots with values of up to 64 KB, in base64.
const maxResponseBytes = 64 << 20

// errRateLimited is not retried at another endpoint, since all endpoints share the rate limit.
var errRateLimited = errors.WithMessage(ErrUnavailable, MessageTooManyRequests)

// retrySafety is whether a call may be retried when its outcome is unknown.
type retrySafety int

const (
	// readOnly calls may be retried; an unknown outcome is harmless.
	readOnly retrySafety = iota
	// idempotent calls change state, but a second execution changes nothing more.
	idempotent
	// nonIdempotent calls must not be retried unless they were definitely not executed.
	nonIdempotent
)

// request is a call to send.
type request struct {
	kind        Kind
	retrySafety retrySafety
	path        string
	body        any
	payload     []byte
}

// maxDuration returns the total time limit of a call. A read may take as long as its response keeps arriving, up to
// maxReadDuration. The other calls have short responses, so that only the size of the request extends the limit.
func (c *Client) maxDuration(r request) time.Duration {
	if r.retrySafety == readOnly {
		return maxReadDuration
	}
	return c.timeout + time.Duration(len(r.payload))*time.Second/minLinkRate
}

// call sends a request and decodes the response into out. It tries the endpoints in turn as long as a retry is safe.
func (c *Client) call(ctx context.Context, r request, out any) error {
	var err error
	if r.payload, err = json.Marshal(r.body); err != nil {
		return errors.WithMessage(ErrUnavailable, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, c.maxDuration(r))
	defer cancel()
	start := int(c.preferred.Load())
	lastErr := ErrUnavailable
	var unknownErr error
	for i := range c.endpoints {
		if ctx.Err() != nil {
			break
		}
		index := (start + i) % len(c.endpoints)
		startedAt := time.Now()
		err := c.attempt(ctx, c.endpoints[index], r, out, len(c.endpoints)-i)
		c.observe(r.kind, startedAt, err)
		if isFinal(err) {
			c.preferred.Store(int64(index))
			return err
		}
		lastErr = err
		if errors.Is(err, ErrUnknown) {
			if r.retrySafety == nonIdempotent {
				return err
			}
			unknownErr = err
		}
	}
	switch {
	case unknownErr == nil:
		return lastErr
	case r.retrySafety == readOnly:
		return errors.WithMessage(ErrUnavailable, unknownErr.Error())
	default:
		return unknownErr
	}
}

// isFinal reports whether an error is the result of the call, which another endpoint would return as well.
func isFinal(err error) bool {
	return err == nil || errors.Is(err, errRateLimited) ||
		!errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown)
}

// attemptClient returns the HTTP client of an attempt. If the call may be retried, the time for the response header is
// divided among the remaining endpoints.
func (c *Client) attemptClient(ctx context.Context, r request, endpointsLeft int) *http.Client {
	if r.retrySafety == nonIdempotent {
		return c.newHTTPClient(0, 0) // The time limit of the call applies.
	}
	firstByteTimeout := c.timeout / time.Duration(len(c.endpoints))
	if deadline, ok := ctx.Deadline(); ok {
		firstByteTimeout = min(firstByteTimeout, time.Until(deadline)/time.Duration(endpointsLeft))
	}
	// Zero would mean no limit.
	return c.newHTTPClient(max(firstByteTimeout, 1), c.timeout)
}

// attempt sends a request to one endpoint.
func (c *Client) attempt(ctx context.Context, endpoint string, r request, out any, endpointsLeft int) error {
	response, err := c.send(ctx, c.attemptClient(ctx, r, endpointsLeft), endpoint, r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.WithMessage(ErrUnknown, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return classify(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.WithMessage(ErrUnknown, err.Error())
	}
	return nil
}

// send posts a request and returns the response. The error is ErrUnavailable only if there was no connection to send
// the request on; otherwise the request may have arrived.
func (c *Client) send(ctx context.Context, client *http.Client, endpoint string, r request) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+r.path, bytes.NewReader(r.payload))
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	if c.clientName != "" {
		httpRequest.Header.Set(ClientHeader, c.clientName)
	}
	response, err := client.Do(httpRequest)
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, errors.WithMessage(ErrUnknown, err.Error())
	default:
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
}

// classify maps an error response to an error of this package. Only errors that are known to precede the execution
// become ErrUnavailable: a 503 may also be the response to a proposal that timed out.
func classify(status int, body []byte) error {
	var f ErrorResponse
	if err := json.Unmarshal(body, &f); err != nil || f.Message == "" {
		return errors.WithMessage(ErrUnknown, http.StatusText(status))
	}
	switch f.Message {
	case MessageLeaseNotFound:
		return ErrLeaseNotFound
	case MessageTooLarge:
		return ErrTooLarge
	case MessageCompacted:
		return ErrCompacted
	case MessageTooManyRequests:
		return errRateLimited
	case MessageNoLeader, MessageNotStarted:
		return errors.WithMessage(ErrUnavailable, f.Message)
	}
	switch f.Code {
	case CodeInvalidArgument, CodePermissionDenied, CodeResourceExhausted, CodeUnimplemented, CodeUnauthenticated:
		return errors.WithMessage(ErrUnavailable, f.Message)
	default:
		return errors.WithMessage(ErrUnknown, f.Message)
	}
}
