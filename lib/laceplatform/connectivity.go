package laceplatform

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Connectivity is the state of the connection between an instance and the store.
type Connectivity struct {
	// LastReachable is when the latest call that received a response was sent; zero means that no call has received one.
	LastReachable laceunit.Uptime
	// ReachableSince is when the first response arrived, or the first one after a call without a response.
	ReachableSince laceunit.Uptime
	// Failing is true if the last completed call received no response.
	Failing bool
	// Era is the latest era of the store in any response. LastReachable may be in it, so that it proves nothing about a
	// copy of an earlier era.
	Era Era
}

// ConnectivityTracker records which calls the store responds to. A response proves that the store was reachable when
// the call was sent, not when the response is read: it may have waited while the process was suspended. The zero value
// uses a clock that starts with its first reading.
type ConnectivityTracker struct {
	clock func() laceunit.Uptime
	// onCallDuration receives the duration of each call; it may be nil.
	onCallDuration func(time.Duration)

	mu           sync.Mutex
	connectivity Connectivity
	startedAt    time.Time
}

// NewConnectivityTracker returns a tracker that uses a clock; nil means the monotonic clock of the process.
func NewConnectivityTracker(clock func() laceunit.Uptime) *ConnectivityTracker {
	return &ConnectivityTracker{clock: clock}
}

// OnCallDuration sets a callback for the duration of calls, except those that wait for changes. It must be called
// before ReportDuration.
func (t *ConnectivityTracker) OnCallDuration(report func(time.Duration)) { t.onCallDuration = report }

// ReportDuration reports the duration of a call sent at sentAt, whether it received a response or was abandoned.
func (t *ConnectivityTracker) ReportDuration(sentAt laceunit.Uptime) {
	if t.onCallDuration != nil {
		t.onCallDuration(t.Now().Sub(sentAt))
	}
}

// Now returns the current time of the clock.
func (t *ConnectivityTracker) Now() laceunit.Uptime {
	if t.clock != nil {
		return t.clock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.IsZero() {
		t.startedAt = time.Now()
	}
	return laceunit.Uptime(time.Since(t.startedAt)) + 1
}

// RecordResult records the result of a call sent at sentAt. It ignores a call that its caller canceled, since that says
// nothing about the store.
func (t *ConnectivityTracker) RecordResult(ctx context.Context, sentAt laceunit.Uptime, err error) {
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isResponse(err) {
		t.connectivity.Failing = true
		return
	}
	if t.connectivity.Failing || t.connectivity.ReachableSince == 0 {
		t.connectivity.ReachableSince = now
	}
	t.connectivity.Failing = false
	t.connectivity.LastReachable = max(t.connectivity.LastReachable, sentAt)
}

// RecordEra records the era in a response, before its result. It reports whether the store was restored since the
// previous responses.
func (t *ConnectivityTracker) RecordEra(era Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.connectivity.Era {
		return false
	}
	t.connectivity.Era = era
	return true
}

// Connectivity returns the current state.
func (t *ConnectivityTracker) Connectivity() Connectivity {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connectivity
}

// isResponse reports whether a call with this result received a response from the store.
func isResponse(err error) bool {
	return err == nil || errors.Is(err, ErrMissing) || errors.Is(err, ErrConflict) ||
		errors.Is(err, ErrLeaseNotFound) || errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge)
}
