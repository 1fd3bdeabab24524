package lacerelay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceroute"
)

// fakeLink is a link whose saturation is set by a test.
type fakeLink struct {
	Link
	saturated bool
}

// Saturated implements Link.
func (l fakeLink) Saturated(time.Time) bool { return l.saturated }

// slowJob returns a request that is given up at its server after 120 ms and can be retried.
func slowJob() *job {
	return &job{
		route: &laceroute.Route{
			MaxAttempts: 2,
			RetryMode:   laceroute.Idempotent,
		},
		service:  "plain",
		deadline: time.Now().Add(200 * time.Millisecond),
	}
}

// Guards against a request that is sent to a second server because its response is slow on a saturated link, which uses
// the link twice, and against a slow server that keeps requests on a link with room.
func TestSlowResponseIsNotRepeatedOnSaturatedLink(t *testing.T) {
	for _, saturated := range []bool{true, false} {
		b := newTestRelay(t)
		b.options.Link = fakeLink{saturated: saturated}
		j := slowJob()
		stalled := make(chan struct{})
		b.respond = func(w http.ResponseWriter) {
			io.WriteString(w, "first part")
			http.NewResponseController(w).Flush()
			if !saturated {
				// The attempt has to be aborted while the response is incomplete.
				<-stalled
				return
			}
			<-time.After(responseTimeout(j.route, time.Until(j.deadline)) * 5 / 4)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a := b.runAttempt(ctx, j, b.pick(), func() {})
		cancel()
		close(stalled)
		want := attemptStalled
		if saturated {
			want = attemptComplete
		}
		if a.outcome != want {
			t.Errorf("saturated %t: %s (%s)", saturated, a.outcome, a.reason)
		}
	}
}

// Guards against healthy servers that are ejected because connections to them or responses of them time out behind the
// instance's own saturated link, and against failed servers that are not ejected on a link with room.
func TestSaturatedLinkEjectsNoServer(t *testing.T) {
	for name, c := range map[string]struct {
		err       error
		saturated bool
		ejected   bool
	}{
		"handshake on a saturated link":      {err: laceconn.ErrHandshakeTimeout, saturated: true},
		"handshake on a link with room":      {err: laceconn.ErrHandshakeTimeout, ejected: true},
		"connection error, saturated link":   {err: laceconn.ErrNotSent, saturated: true, ejected: true},
		"connection error, link with room":   {err: laceconn.ErrNotSent, ejected: true},
		"pool exhausted on a link with room": {err: laceconn.ErrPoolExhausted},
	} {
		b := newTestRelay(t)
		b.options.Link = fakeLink{saturated: c.saturated}
		j, d := slowJob(), b.pick()
		a := attempt{
			server:  d.Server,
			outcome: attemptNotSent,
		}
		a.neutral = b.connectionErrorIsNeutral(context.Background(), j, d.Server, errors.Wrap(c.err, "dial"), time.Now())
		b.recordAttempt(j, d, &a, time.Now())
		// An ejected server that is the only one gets a single request as a probe.
		b.pick()
		if ejected := b.pick().Verdict != lacebalancer.Assigned; ejected != c.ejected {
			t.Errorf("%s: ejected %t", name, ejected)
		}
	}
}

// Guards against a failed server that gets requests for as long as the link is saturated, and against a server that is
// blamed although it has answered since its first time-out.
func TestSilentServerIsBlamedOnSaturatedLink(t *testing.T) {
	var s silence
	x := silentServer{server: "s1"}
	start := time.Unix(1000, 0)
	if !s.excuses(start.Add(time.Second), x, start) || !s.excuses(start.Add(1900*time.Millisecond), x, start) {
		t.Error("a time-out shortly after the last answer is blamed on the server")
	}
	if s.excuses(start.Add(maxExcusedSilence), x, start.Add(time.Second)) {
		t.Error("a server that has long been silent is excused")
	}
	s.end("s1")
	if !s.excuses(start.Add(3*time.Second), x, start.Add(2*time.Second)) {
		t.Error("a server that has answered is blamed for its earlier silence")
	}
	x.handshake = true
	for at := time.Second; at < maxExcusedHandshakes; at += time.Second {
		if !s.excuses(start.Add(at), x, start) {
			t.Errorf("a delayed handshake is blamed on the server after %s", at)
		}
	}
	if s.excuses(start.Add(maxExcusedHandshakes), x, start) {
		t.Error("a server that has long answered no handshake is excused")
	}
	s.endHandshake("s1")
	if !s.excuses(start.Add(maxExcusedHandshakes), x, start.Add(time.Second)) {
		t.Error("a server that has answered a handshake is blamed for earlier ones")
	}
	for range minExcusedTimeouts {
		s.excuses(start.Add(maxExcusedHandshakes), x, start.Add(time.Second))
	}
	if !s.excuses(start.Add(time.Minute), x, start.Add(58*time.Second)) {
		t.Error("a server that got no request for long is blamed at its first time-out since")
	}
}

// Guards against a refusal after handshakes that the instance's own link has delayed while the request can still be
// sent, and against attempts without end.
func TestDelayedHandshakeIsTriedAgain(t *testing.T) {
	b := newTestRelay(t)
	j := slowJob()
	var attempts int
	for next := actionRetry; next == actionRetry; attempts++ {
		d := b.pick()
		a := attempt{
			server:  d.Server,
			outcome: attemptNotSent,
			neutral: true,
			delayed: true,
		}
		b.recordAttempt(j, d, &a, time.Now())
		next = nextAction(j.route, j.history, a.outcome, a.status, func() bool { return false })
	}
	if attempts != maxDelayed+maxNotSent || j.history.mayHaveRun {
		t.Errorf("%d attempts, may have run %t", attempts, j.history.mayHaveRun)
	}
}
