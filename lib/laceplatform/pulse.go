package laceplatform

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Contact tells how an instance stands with the store.
type Connectivity struct {
	// Answered is when the newest call that the store has answered was sent; zero means that none was.
	LastReachable laceunit.Uptime
	// Since is when the store answered again after a call without an answer, or for the first time.
	ReachableSince laceunit.Uptime
	// Failing is true when the last call that ended had no answer.
	Failing bool
}

// Pulse notes which calls the store answers. A call counts from when it was sent: an answer that waited in a process that
// was not running says nothing about the time after. The zero value counts from the first look at the clock.
type ConnectivityTracker struct {
	clock func() laceunit.Uptime
	// called is told how long calls took; nil for nobody.
	called func(time.Duration)

	mu      sync.Mutex
	contact Connectivity
	began   time.Time
}

// NewPulse returns a pulse on a clock; none stands for the steady clock of the process.
func NewConnectivityTracker(clock func() laceunit.Uptime) *ConnectivityTracker {
	return &ConnectivityTracker{clock: clock}
}

// OnCall sets who is told how long calls took, other than those that wait for changes; it must be called before Took.
func (p *ConnectivityTracker) OnCallDuration(called func(time.Duration)) { p.called = called }

// Took notes how long a call took that was sent at a moment, whether it was answered or given up.
func (p *ConnectivityTracker) ReportDuration(sent laceunit.Uptime) {
	if p.called != nil {
		p.called(p.Now().Sub(sent))
	}
}

// Now returns the present moment.
func (p *ConnectivityTracker) Now() laceunit.Uptime {
	if p.clock != nil {
		return p.clock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began.IsZero() {
		p.began = time.Now()
	}
	return laceunit.Uptime(time.Since(p.began)) + 1
}

// Note takes in how a call ended that was sent at a moment. A call that its sender has given up says nothing.
func (p *ConnectivityTracker) RecordResult(ctx context.Context, sent laceunit.Uptime, err error) {
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !answered(err) {
		p.contact.Failing = true
		return
	}
	if p.contact.Failing || p.contact.ReachableSince == 0 {
		p.contact.ReachableSince = now
	}
	p.contact.Failing = false
	p.contact.LastReachable = max(p.contact.LastReachable, sent)
}

// Contact returns how the instance stands with the store.
func (p *ConnectivityTracker) Connectivity() Connectivity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contact
}

// answered reports whether a call with such an end was answered by the store.
func answered(err error) bool {
	return err == nil || errors.Is(err, ErrMissing) || errors.Is(err, ErrConflict) || errors.Is(err, ErrLeaseGone) ||
		errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge)
}
