package laceconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled means that no bytes of a response arrived within the timeout.
var ErrStalled = errors.New("conn: no bytes arrived in time")

// TimeoutTransport is an http.RoundTripper that aborts a call when no bytes arrive for some time. It does not limit the
// total duration of a transfer that makes progress; only the context of the request does.
type TimeoutTransport struct {
	// Base sends the requests; nil means http.DefaultTransport.
	Base http.RoundTripper
	// ResponseHeaderTimeout limits the wait for the response header, BodyIdleTimeout the wait for further bytes of the
	// body; zero means no limit.
	ResponseHeaderTimeout time.Duration
	BodyIdleTimeout       time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *TimeoutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := &stallTimer{
		ctx:    ctx,
		cancel: cancel,
	}
	timer.reset(t.ResponseHeaderTimeout)
	// The timeout restarts once the request is written, so that dialing a connection doesn't reduce the time for the
	// response.
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { timer.reset(t.ResponseHeaderTimeout) },
	})
	response, err := base.RoundTrip(r.WithContext(tracedCtx))
	if err != nil {
		err = timer.wrapError(err)
		timer.stop()
		return nil, err
	}
	timer.reset(t.BodyIdleTimeout)
	response.Body = &stallTimerBody{
		ReadCloser: response.Body,
		timer:      timer,
		timeout:    t.BodyIdleTimeout,
	}
	return response, nil
}

// stallTimer cancels the context of a call when no bytes arrive within a timeout.
type stallTimer struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// reset restarts the timer; zero disables it.
func (t *stallTimer) reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	if timeout > 0 && !t.stopped {
		t.timer = time.AfterFunc(timeout, func() { t.cancel(ErrStalled) })
	}
}

// stop ends the call and releases its context.
func (t *stallTimer) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.reset(0)
	t.cancel(nil)
}

// wrapError returns ErrStalled with the text of the error if the timer has caused the error.
func (t *stallTimer) wrapError(err error) error {
	if errors.Is(context.Cause(t.ctx), ErrStalled) {
		return errors.Wrap(ErrStalled, err.Error())
	}
	return err
}

// stallTimerBody is a response body that restarts the timer of its call whenever bytes arrive.
type stallTimerBody struct {
	io.ReadCloser
	timer   *stallTimer
	timeout time.Duration
}

// Read implements io.Reader.
func (b *stallTimerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.reset(b.timeout)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.timer.wrapError(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *stallTimerBody) Close() error {
	err := b.ReadCloser.Close()
	b.timer.stop()
	return err
}
