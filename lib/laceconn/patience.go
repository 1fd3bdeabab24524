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

// ErrSilent means that nothing of an answer arrived for too long.
var ErrStalled = errors.New("conn: no bytes arrived in time")

// Patient is a transport that gives a call up when nothing arrives for some time, and never for the length of a transfer that
// moves. The context of a request still bounds the whole of it.
type TimeoutTransport struct {
	// Base carries the calls; nil stands for the transport of net/http.
	Base http.RoundTripper
	// First bounds the wait for the header of an answer, Between the wait for each further piece; zero stands for no bound.
	ResponseHeaderTimeout time.Duration
	BodyIdleTimeout       time.Duration
}

// RoundTrip implements http.RoundTripper.
func (p *TimeoutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := p.Base
	if base == nil {
		base = http.DefaultTransport
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	wait := &patience{
		ctx:    ctx,
		cancel: cancel,
	}
	wait.start(p.ResponseHeaderTimeout)
	// A connection that is opened for the call has the time of its handshake beside that of the answer.
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { wait.start(p.ResponseHeaderTimeout) },
	})
	response, err := base.RoundTrip(r.WithContext(traced))
	if err != nil {
		err = wait.reason(err)
		wait.end()
		return nil, err
	}
	wait.start(p.BodyIdleTimeout)
	response.Body = &patientBody{
		ReadCloser: response.Body,
		wait:       wait,
		between:    p.BodyIdleTimeout,
	}
	return response, nil
}

// patience is a call that ends when its timer does.
type patience struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	over  bool
}

// start begins the wait for the next piece.
func (w *patience) start(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	if wait > 0 && !w.over {
		w.timer = time.AfterFunc(wait, func() { w.cancel(ErrStalled) })
	}
}

func (w *patience) end() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	w.start(0)
	w.cancel(nil)
}

// reason returns why a call failed.
func (w *patience) reason(err error) error {
	if errors.Is(context.Cause(w.ctx), ErrStalled) {
		return errors.Wrap(ErrStalled, err.Error())
	}
	return err
}

// patientBody is the body of an answer that may take as long as it moves.
type patientBody struct {
	io.ReadCloser
	wait    *patience
	between time.Duration
}

// Read implements io.Reader.
func (b *patientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.wait.start(b.between)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.wait.reason(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *patientBody) Close() error {
	err := b.ReadCloser.Close()
	b.wait.end()
	return err
}
