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

// maxAnswer bounds an answer: a list of 512 slots with values of up to 64 KB, in base64.
const maxAnswer = 64 << 20

// errBusy is a refusal that another endpoint would repeat, since they share the rate.
var errBusy = errors.WithMessage(ErrUnavailable, MessageTooManyRequests)

// effect says what a repetition of a call would do.
type effect int

const (
	// reads may be repeated; nothing is lost when the outcome of one is unknown.
	reads effect = iota
	// repeats changes something, but a second time changes nothing more.
	repeats
	// once must not be sent again unless it was certainly not carried out.
	once
)

// request is one call before it is sent.
type request struct {
	kind   Kind
	effect effect
	path   string
	body   any
	text   []byte
}

// bound returns how long a call may take as a whole: a read may take as long as its answer moves, and what else there is has
// short answers.
func (c *Client) bound(r request) time.Duration {
	if r.effect == reads {
		return mostCall
	}
	return c.timeout + time.Duration(len(r.text))*time.Second/narrowRate
}

// call sends a request, to one endpoint after the other while that is safe, and decodes the answer.
func (c *Client) call(ctx context.Context, r request, answer any) error {
	var err error
	if r.text, err = json.Marshal(r.body); err != nil {
		return errors.WithMessage(ErrUnavailable, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, c.bound(r))
	defer cancel()
	first := int(c.preferred.Load())
	last := ErrUnavailable
	var maybe error
	for i := range c.endpoints {
		if ctx.Err() != nil {
			break
		}
		at := (first + i) % len(c.endpoints)
		began := time.Now()
		err := c.attempt(ctx, c.endpoints[at], r, answer, len(c.endpoints)-i)
		c.observe(r.kind, began, err)
		if settled(err) {
			c.preferred.Store(int64(at))
			return err
		}
		last = err
		if errors.Is(err, ErrUnknown) {
			if r.effect == once {
				return err
			}
			maybe = err
		}
	}
	switch {
	case maybe == nil:
		return last
	case r.effect == reads:
		return errors.WithMessage(ErrUnavailable, maybe.Error())
	default:
		return maybe
	}
}

// settled reports whether an error is an answer, so that another endpoint would say the same.
func settled(err error) bool {
	return err == nil || errors.Is(err, errBusy) || !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown)
}

// client returns the HTTP client of an attempt. One that may be repeated leaves a share of the time in which an answer has to
// begin to the other endpoints.
func (c *Client) client(ctx context.Context, r request, shares int) *http.Client {
	if r.effect == once {
		return c.patient(0, 0) // The bound of the call holds.
	}
	first := c.timeout / time.Duration(len(c.endpoints))
	if deadline, ok := ctx.Deadline(); ok {
		first = min(first, time.Until(deadline)/time.Duration(shares))
	}
	// Zero would stand for no bound.
	return c.patient(max(first, 1), c.timeout)
}

// attempt sends a request to one endpoint.
func (c *Client) attempt(ctx context.Context, endpoint string, r request, answer any, shares int) error {
	response, err := c.send(ctx, c.client(ctx, r, shares), endpoint, r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return errors.WithMessage(ErrUnknown, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return classify(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return errors.WithMessage(ErrUnknown, err.Error())
	}
	return nil
}

// send posts a request and returns the response. The failure is ErrUnavailable only if no connection was there to
// send on; once there was one, the request may have arrived.
func (c *Client) send(ctx context.Context, client *http.Client, endpoint string, r request) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+r.path, bytes.NewReader(r.text))
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	post.Header.Set("Content-Type", "application/json")
	if c.name != "" {
		post.Header.Set(ClientHeader, c.name)
	}
	response, err := client.Do(post)
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, errors.WithMessage(ErrUnknown, err.Error())
	default:
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
}

// classify turns an error response into an error of this layer. Only failures that are known to come before the
// execution count as not carried out: a 503 may also follow a proposal that timed out.
func classify(status int, body []byte) error {
	var f ErrorResponse
	if err := json.Unmarshal(body, &f); err != nil || f.Message == "" {
		return errors.WithMessage(ErrUnknown, http.StatusText(status))
	}
	switch f.Message {
	case MessageLeaseNotFound:
		return ErrLeaseGone
	case MessageTooLarge:
		return ErrTooLarge
	case MessageCompacted:
		return ErrCompacted
	case MessageTooManyRequests:
		return errBusy
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
