package lacerelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacereach"
)

const (
	// reachInterval is how often the state is checked.
	reachInterval = 50 * time.Millisecond
	// quietAge is how long no server has written anything, while a request waits for one, until servers are probed.
	quietAge = 300 * time.Millisecond
	// minQuietAge is the same for a request that has ended without an answer, since its caller waits for no longer.
	minQuietAge = 100 * time.Millisecond
	// reachProbeTimeout bounds a probe, also while the link delays handshakes.
	reachProbeTimeout = time.Second
)

// errIsolated means that an attempt was aborted because the instance reaches no server.
var errIsolated = errors.New("relay: no server is reachable from here")

// ReachOptions configure a Reach.
type ReachOptions struct {
	Backends *Backends
	Picker   *Picker
	// Peers are the instances to which requests are forwarded; without any, the instance is never isolated.
	Peers *Peers
	// Saturated reports whether the instance's own link delays packets, so that time-outs prove nothing; nil means never.
	Saturated func() bool
	// OnChange is called when the instance becomes isolated, or is not any more; nil does nothing.
	OnChange func(ctx context.Context, isolated bool)
	Log      *lacelog.Logger
	Metrics  *ReachMetrics
}

// Reach observes whether this instance reaches the backend servers. While it reaches none although they may be well, it
// is isolated, and requests are forwarded to other instances. A nil Reach means that servers are always reachable.
type Reach struct {
	options ReachOptions
	// heardAt is when a server last wrote something, in nanoseconds.
	heardAt atomic.Int64
	// rounds are the running rounds of probes.
	rounds sync.WaitGroup

	mu       sync.Mutex
	detector lacereach.Detector
	running  map[*reachAttempt]struct{}
}

// NewReach returns a Reach; the caller must run Serve.
func NewReach(options ReachOptions) *Reach {
	return &Reach{
		options: options,
		running: map[*reachAttempt]struct{}{},
	}
}

// reachAttempt is an attempt at a server. A nil reachAttempt is not observed.
type reachAttempt struct {
	cancel context.CancelCauseFunc
	// takeRetry takes a retry from the retry budget, so that the attempt may be aborted after the request was sent; nil if
	// the request can't be repeated. tookRetry is true once it has.
	takeRetry func() bool
	tookRetry atomic.Bool
	startedAt time.Time
	// sent is true once the request may be at a server; the lock of the Reach protects it.
	sent bool
	// heardAt is when the server last wrote something, in nanoseconds; zero before.
	heardAt atomic.Int64
}

// Serve implements suture.Service.
func (r *Reach) Serve(ctx context.Context) error {
	defer r.rounds.Wait()
	return lacekernel.RunEvery(ctx, reachInterval, func(context.Context) { r.step(ctx, time.Now()) })
}

// step starts a round of probes if one is due.
func (r *Reach) step(ctx context.Context, now time.Time) {
	r.mu.Lock()
	if since, quiet := r.quietSince(now); quiet && !r.saturated() {
		r.detector.Quiet(since)
	}
	undecided := r.detector.Since()
	r.mu.Unlock()
	if undecided.IsZero() {
		return
	}
	alone, targets := !r.options.Peers.any(), r.options.Backends.probeTargets()
	r.mu.Lock()
	r.detector.SetAlone(alone)
	count := r.detector.Begin(now, len(targets))
	r.mu.Unlock()
	if count == 0 {
		return
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	r.rounds.Add(1)
	go func() {
		defer r.rounds.Done()
		r.finish(ctx, probeAll(ctx, targets[:count]))
	}()
}

// quietSince returns since when requests have waited and no server has written anything, and whether that is long enough
// to be a sign; the lock must be held.
func (r *Reach) quietSince(now time.Time) (time.Time, bool) {
	since := now
	for a := range r.running {
		if a.startedAt.Before(since) {
			since = a.startedAt
		}
	}
	if heardAt := time.Unix(0, r.heardAt.Load()); heardAt.After(since) {
		since = heardAt
	}
	return since, now.Sub(since) >= quietAge
}

func (r *Reach) saturated() bool { return r.options.Saturated != nil && r.options.Saturated() }

// probeAll opens a connection to each of the servers at the same time.
func probeAll(ctx context.Context, targets []*backend) lacereach.Round {
	probeCtx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
	defer cancel()
	contacts := make(chan laceconn.Contact, len(targets))
	for _, x := range targets {
		go func() { contacts <- x.pool.Contact(probeCtx) }()
	}
	var round lacereach.Round
	for range targets {
		switch <-contacts {
		case laceconn.ContactMade:
			round.Answered++
		case laceconn.ContactRefused:
			round.Refused++
		case laceconn.ContactNone:
			round.Silent++
		}
	}
	return round
}

// finish applies the result of a round.
func (r *Reach) finish(ctx context.Context, round lacereach.Round) {
	now := time.Now()
	if ctx.Err() != nil || round.Silent > 0 && r.saturated() {
		// Nothing is known.
		round = lacereach.Round{}
	}
	r.mu.Lock()
	since, silent := r.detector.Since(), r.detector.Silent()
	changed, isolated := r.detector.Finish(now, round), r.detector.Isolated()
	if changed && isolated {
		silent = r.detector.Silent()
		r.abort(since, silent)
	}
	r.mu.Unlock()
	if !changed {
		return
	}
	// No server is to blame for what failed in the meantime.
	r.options.Picker.Reinstate(time.Since(since))
	r.options.Backends.dropIdle()
	r.options.Metrics.setIsolated(isolated)
	r.options.Log.Write(lacelog.Reach, lacelog.P("isolated", isolated), lacelog.P("silent", silent),
		lacelog.P(lacelog.Took, now.Sub(since).Milliseconds()))
	if r.options.OnChange != nil {
		r.options.OnChange(ctx, isolated)
	}
}

// abort ends the attempts that have not been sent, and in a silent isolation those that have not heard from their server
// since its beginning, as far as the retry budget covers their repetition. The lock must be held.
func (r *Reach) abort(since time.Time, silent bool) {
	for a := range r.running {
		hangs := silent && a.takeRetry != nil && !time.Unix(0, a.heardAt.Load()).After(since)
		if a.sent && hangs {
			a.tookRetry.Store(a.takeRetry())
		}
		if !a.sent || a.tookRetry.Load() {
			a.cancel(errIsolated)
		}
	}
}

// begin registers an attempt and returns its context; end must follow. takeRetry is nil if the request can't be repeated.
func (r *Reach) begin(ctx context.Context, takeRetry func() bool) (context.Context, *reachAttempt) {
	if r == nil {
		return ctx, nil
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &reachAttempt{
		cancel:    cancel,
		takeRetry: takeRetry,
		startedAt: time.Now(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[a] = struct{}{}
	if r.detector.Isolated() {
		cancel(errIsolated)
	}
	return attemptCtx, a
}

func (r *Reach) end(a *reachAttempt) {
	if a == nil {
		return
	}
	a.cancel(nil)
	now := time.Now()
	unheard := time.Unix(0, r.heardAt.Load()).Before(a.startedAt) && now.Sub(a.startedAt) >= minQuietAge
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, a)
	if unheard && !r.saturated() {
		r.detector.Quiet(a.startedAt)
	}
}

// beginSend records that the request is being sent, and returns false if it must not be sent to a server.
func (r *Reach) beginSend(a *reachAttempt) bool {
	if a == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.sent = !r.detector.Isolated()
	return a.sent
}

// hasRetry reports whether a retry was taken from the budget for the repetition of an attempt.
func (a *reachAttempt) hasRetry() bool { return a != nil && a.tookRetry.Load() }

// heard records that the server of an attempt has written something.
func (r *Reach) heard(a *reachAttempt) {
	if a == nil {
		return
	}
	now := time.Now().UnixNano()
	a.heardAt.Store(now)
	r.heardAt.Store(now)
}

// failed records that a connection to a server could not be opened or was lost.
func (r *Reach) failed() {
	if r == nil || r.saturated() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.Failed(time.Now())
}

// answered records that a server has answered a request on a new connection.
func (r *Reach) answered() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.Answered(time.Now())
}

// Isolated reports whether the instance reaches no server.
func (r *Reach) Isolated() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.Isolated()
}

// suspected reports whether the instance is isolated, or may be.
func (r *Reach) suspected() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.Suspected()
}

// probeTargets returns the servers that show whether servers are reachable.
func (b *Backends) probeTargets() []*backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := make([]*backend, 0, len(b.byID))
	for _, x := range b.byID {
		if !x.superseded && !x.Leaving && x.expiresAt.IsZero() {
			targets = append(targets, x)
		}
	}
	return targets
}

// dropIdle closes the idle connections to all servers.
func (b *Backends) dropIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.byID {
		x.pool.DropIdle()
	}
}
