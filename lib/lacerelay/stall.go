package lacerelay

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// errStalled means that an attempt was aborted because the server made no progress for too long.
var errStalled = errors.New("relay: server is silent")

const (
	// responseTimeoutGoals is the response timeout as a multiple of the route's response-time objective. A request that
	// is safe to retry goes to another server after this timeout.
	responseTimeoutGoals = 1.5
	// minResponseTimeout is a lower limit for routes with a short objective; servers need it for their longest calls.
	minResponseTimeout = 300 * time.Millisecond
	// maxResponseTimeoutShare is the share of the remaining time that an attempt may use without progress, so that
	// there is time left for a retry.
	maxResponseTimeoutShare = 0.6
	// expectedFirstEventFactor is the response timeout as a multiple of the estimated time to the first event. An attempt
	// that is given up makes another server process the whole prompt again.
	expectedFirstEventFactor = 3
	// idleTimeoutGaps is the idle timeout between events as a multiple of the route's longest gap that is still on
	// time.
	idleTimeoutGaps = 3
	// defaultGap applies to routes that do not specify a gap.
	defaultGap = time.Second
)

// stallTimer aborts an attempt that makes no progress: one without a first event or complete response within the
// response timeout, or without the next event within the idle timeout. Only attempts that can be retried are aborted.
// While the instance's own link is saturated, a part of a response is progress as well, and an attempt is aborted only
// if its server is silent for longer than the link explains.
type stallTimer struct {
	timer       *time.Timer
	idleTimeout time.Duration
	// progressAt is when the last part of the response arrived, or when the attempt began, in nanoseconds.
	progressAt atomic.Int64
	// sent is true once there is a connection to send the request on.
	sent atomic.Bool
}

// responseTimeout returns how long an attempt may take until the first event of a stream or the end of another
// response.
func responseTimeout(route *laceroute.Route, remaining time.Duration) time.Duration {
	timeout := max(time.Duration(responseTimeoutGoals*float64(route.LatencyObjective)), minResponseTimeout)
	return min(timeout, time.Duration(maxResponseTimeoutShare*float64(remaining)))
}

// withStallTimer returns a context for the next attempt, which is canceled when the server makes no progress for too
// long and the request can be retried at another server.
func (r *Relay) withStallTimer(
	ctx context.Context, j *job, server laceunit.ServerID,
) (context.Context, *stallTimer, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(nil) }
	if !retrySafe(j.route) || j.history.sent+1 >= j.route.MaxAttempts {
		return attemptCtx, &stallTimer{}, stop
	}
	gap := j.route.MaxEventGap
	if gap <= 0 {
		gap = defaultGap
	}
	s := &stallTimer{idleTimeout: idleTimeoutGaps * gap}
	s.recordProgress()
	timeout := max(responseTimeout(j.route, time.Until(j.deadline)), expectedFirstEventFactor*j.expectedFirstEvent)
	s.timer = time.AfterFunc(time.Until(j.deadline), func() {
		// Before the request is sent, the handshake has a timeout of its own on a saturated link.
		delayed := !s.sent.Load() && r.linkSaturated(time.Now())
		if attemptCtx.Err() == nil && (delayed || r.excused(j, server, s.lastProgress(), excusedRepeat)) {
			s.timer.Reset(timeout)
			return
		}
		if r.withRetryBudget(j.service, func(b *lacelimit.RetryBudget) bool {
			return b.Covers(time.Now(), r.options.Members())
		}) {
			cancel(errStalled)
		}
	})
	// The function uses the timer, which is assigned by now.
	s.timer.Reset(timeout)
	return attemptCtx, s, func() {
		stop()
		s.timer.Stop()
	}
}

// reset starts the idle timeout anew after an event has arrived.
func (s *stallTimer) reset() {
	if s.timer != nil {
		s.recordProgress()
		s.timer.Reset(s.idleTimeout)
	}
}

// begin records that the request is about to be sent.
func (s *stallTimer) begin() {
	s.recordProgress()
	s.sent.Store(true)
}

func (s *stallTimer) recordProgress() { s.progressAt.Store(time.Now().UnixNano()) }

func (s *stallTimer) lastProgress() time.Time { return time.Unix(0, s.progressAt.Load()) }

// observe returns a reader that records progress when parts of a response arrive.
func (s *stallTimer) observe(r io.Reader) io.Reader {
	return &progressReader{
		reader: r,
		timer:  s,
	}
}

type progressReader struct {
	reader io.Reader
	timer  *stallTimer
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if n > 0 {
		p.timer.recordProgress()
	}
	return n, err
}
