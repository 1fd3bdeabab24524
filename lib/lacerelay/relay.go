package lacerelay

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

const (
	// defaultTimeout applies to a request when neither its caller nor its route sets a timeout.
	defaultTimeout = time.Minute
	// bodyReadTimeout limits the time to read a request body.
	bodyReadTimeout = 10 * time.Second
	// reserveTimeout is how long a request may wait for a token reservation that has to draw tokens from the store. A
	// draw takes two calls of a few milliseconds, but draws are made at most once every 200 ms.
	reserveTimeout = 240 * time.Millisecond
	// writeGrace is how long after a request's deadline its response may still be written.
	writeGrace = 2 * time.Second
	// noConfigRetryAfter is the Retry-After of an instance that has no usable configuration yet.
	noConfigRetryAfter = 500 * time.Millisecond
	// otherInstanceRetryAfter is the Retry-After when other instances hold tokens of the account for their own callers:
	// the caller can retry at one of them immediately.
	otherInstanceRetryAfter = 100 * time.Millisecond
	// rebalanceRetryAfter is the Retry-After when only this instance has callers of the account. The tokens that
	// instances hold are rebalanced every second.
	rebalanceRetryAfter = time.Second
	// storeDownRetryAfter is the Retry-After while the store has not responded for storeDownAge. Outages of the store
	// last several seconds.
	storeDownRetryAfter = 3 * time.Second
	storeDownAge        = 3 * time.Second
	// drainingRetryAfter is the Retry-After of a stopping instance, whose callers should retry at another one.
	drainingRetryAfter = 10 * time.Millisecond
	// memoryRetryAfter is the Retry-After when clients hold all memory. What large requests hold is returned within
	// seconds, and other instances may have memory.
	memoryRetryAfter = time.Second
)

// Quota reserves tokens of client accounts.
type Quota interface {
	Reserve(
		ctx context.Context, account laceunit.AccountID, amount laceunit.Tokens,
	) (lacequota.Verdict, lacequota.State)
	Settle(account laceunit.AccountID, reserved, consumed laceunit.Tokens)
}

// RetryBounds are the parameters of the retry budget that all instances share.
type RetryBounds struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Options configure a relay.
type Options struct {
	Codec    Codec
	Routes   *laceroute.Current
	Quota    Quota
	Picker   *Picker
	Backends *Backends
	Retries  RetryBounds
	// Shares receives the rate limits in responses of servers and divides them between instances; nil disables this.
	Shares laceshare.LimitObserver
	// Quarantine keeps requests with prompt parts that crash servers away from the servers; nil disables this.
	Quarantine Quarantine
	// Streams keeps each stream at servers of its software version, also across attempts of its caller; nil binds only
	// the attempts of one request.
	Streams Streams
	// Freshness returns the freshness of the routing table; nil means that it is always fresh.
	Freshness func() Freshness
	// ServersLate reports whether changes of the servers are late because the instance's own link is saturated; nil means
	// never. It requires Link.
	ServersLate func() bool
	// Link does admission control by the bandwidth of the machine's network link; nil admits every request.
	Link Link
	// Reach observes whether servers are reachable, Peers are the instances to which requests are forwarded while none is;
	// nil disables this.
	Reach *Reach
	Peers *Peers
	// Members returns how many instances share the retry budget.
	Members func() int
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Relay is the reverse proxy that serves callers.
type Relay struct {
	options Options
	// stopping is true once new requests are refused, keepAlivesDisabled once each response closes its connection.
	stopping           atomic.Bool
	keepAlivesDisabled atomic.Bool
	running            atomic.Int64
	cpuTime            atomic.Int64
	silence            silence
	shutdown           shutdown
	startedAt          time.Time

	mu      sync.Mutex
	retries map[laceunit.ServiceID]*lacelimit.RetryBudget
}

// New returns a relay.
func New(options Options) *Relay {
	return &Relay{
		options:   options,
		startedAt: time.Now(),
		retries:   map[laceunit.ServiceID]*lacelimit.RetryBudget{},
	}
}

// DisableKeepAlives closes each connection after its response, so that callers reconnect elsewhere.
func (r *Relay) DisableKeepAlives() { r.keepAlivesDisabled.Store(true) }

// Stop refuses new requests, and those that have not been sent to a server and may not end before the given time. Running
// requests continue.
func (r *Relay) Stop(end time.Time) {
	r.stopping.Store(true)
	r.shutdown.start(end)
}

// Abort ends the running requests. Those without a part of their response are answered.
func (r *Relay) Abort() { r.shutdown.abort() }

// Running returns how many requests are being served.
func (r *Relay) Running() int { return int(r.running.Load()) }

const (
	// requestCPUTime and eventCPUTime are the processor time that a request and an event of a stream take on one core
	// of the users' machines (docs/CAPACITY.md).
	requestCPUTime = 1500 * time.Microsecond
	eventCPUTime   = 50 * time.Microsecond
)

// CPUTime returns the processor time that requests have taken so far, estimated from the number of requests and events.
func (r *Relay) CPUTime() time.Duration { return time.Duration(r.cpuTime.Load()) }

// job is the state of one caller's request while it is served.
type job struct {
	call           Call
	route          *laceroute.Route
	service        laceunit.ServiceID
	tokensPerEvent int
	// prompt is what the request needs at an engine; nil unless the service's requests are placed by their tokens.
	prompt *lacebalancer.Prompt
	// expectedFirstEvent is the estimate of the time to the first event at the picked server; zero means unknown.
	expectedFirstEvent time.Duration
	account            laceunit.AccountID
	rank               int
	version            laceunit.Version
	freshness          Freshness
	body               []byte
	// holding bounds the memory of the request; nil bounds nothing.
	holding  *lacelistener.Holding
	arrived  time.Time
	deadline time.Time

	// refusalFields are log fields that explain a refusal: the state of the account or of the link.
	refusalFields []lacelog.Pair
	history       attemptHistory
	// reserved is how many tokens are reserved for the request; reserving is false unless there is a reservation.
	reserved  laceunit.Tokens
	reserving bool
	// leaving are the servers that have announced in a response to this request that they leave.
	leaving []leavingServer
	// origin is nil unless another instance has forwarded the request.
	origin *origin
	// declined is true if the instance that forwarded the request has to try another one.
	declined bool
	// forwardOnly is true if the request is to be forwarded without a local attempt.
	forwardOnly bool
	// reach observes the current attempt.
	reach *reachAttempt
	link  linkUsage
	// sending is true while the request is at a server, and once its response has begun; the lock of the shutdown protects it.
	sending bool
	tried   []laceunit.ServerID
	// refusedBy are the servers that stated that they did not run the request.
	refusedBy []laceunit.ServerID
	// softwareVersion is that of the servers that wrote the events which the caller has; nil while it has none.
	softwareVersion *laceunit.SoftwareVersion
	// noted is true once Streams knows the stream of this request.
	noted bool
	// lastEventID is the id of the latest event, at which another server would resume the stream.
	lastEventID string
	response    response
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) { r.serveHTTP(w, q, nil) }

// serveHTTP serves a request of a caller or one that another instance has forwarded.
func (r *Relay) serveHTTP(w http.ResponseWriter, q *http.Request, from *origin) {
	removeForwardHeaders(q.Header)
	r.running.Add(1)
	defer r.running.Add(-1)
	if r.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	holding := lacelistener.FromContext(q.Context())
	j := &job{
		arrived: time.Now(),
		holding: holding,
		origin:  from,
		response: response{
			codec:    r.options.Codec,
			w:        w,
			buffered: !q.ProtoAtLeast(1, 1),
			buffer:   lacelistener.NewBuffer(holding, lacelistener.Answer),
		},
	}
	j.response.setForwardHeaders = j.setForwardHeaders
	if from != nil {
		j.history.sent, j.softwareVersion = from.params.attempts, from.params.software
	}
	defer r.releaseLink(j)
	defer r.endStreamNote(j)
	r.serve(w, q, j)
	j.response.abortIfIncomplete()
}

func (r *Relay) serve(w http.ResponseWriter, q *http.Request, j *job) {
	var err error
	j.call, err = r.options.Codec.DecodeCall(q)
	j.response.call = j.call
	if err != nil {
		r.refuse(j, newRefusal(lacefault.BadRequest, err.Error(), 0))
		return
	}
	j.lastEventID = j.call.LastEventID
	if f := r.admit(w, q, j); f != nil {
		r.refuse(j, f)
		if j.link.refused {
			r.drain(w, q, j)
		}
		return
	}
	if !r.forwardsFromStart(j) {
		if f := r.reserveTokens(q.Context(), j); f != nil {
			r.refuse(j, f)
			return
		}
		defer r.settle(j)
	}
	if j.origin == nil {
		// The instance that forwarded a request has counted it.
		r.withRetryBudget(j.service, func(b *lacelimit.RetryBudget) bool {
			b.Request(j.arrived)
			return true
		})
	}
	deadlineCtx, cancelDeadline := context.WithDeadline(q.Context(), j.deadline)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(deadlineCtx)
	defer cancel(nil)
	defer r.shutdown.track(j, cancel)()
	j.holding.Run()
	r.runAttempts(ctx, j)
}

// input returns the prompt tokens that a request costs. The prompt of a resumed stream was already paid for by the request
// that started it.
func (j *job) input() laceunit.Tokens {
	if j.call.LastEventID != "" {
		return 0
	}
	return j.call.Input
}

// admit determines the route, account, service and deadline of a request and reads its body, or returns a refusal.
func (r *Relay) admit(w http.ResponseWriter, q *http.Request, j *job) *lacefault.Fault {
	table := r.options.Routes.Load()
	if table == nil {
		return newRefusal(lacefault.ConfigurationStale, "no configuration yet", noConfigRetryAfter)
	}
	j.version = table.Version()
	if r.stopping.Load() {
		return stoppingFault(j)
	}
	j.freshness = r.tableFreshness()
	if j.freshness == Superseded {
		return newRefusal(lacefault.ConfigurationStale, "a newer configuration has not arrived yet", staleRetryAfter)
	}
	if f := r.lateFault(j); f != nil {
		r.spareLink(w, q, j)
		return f
	}
	var ok bool
	if j.route, ok = table.Match(j.call.Host, j.call.Path); !ok {
		return j.freshness.orStale(newRefusal(lacefault.NotFound, "no route", 0))
	}
	if f := j.authorize(table); f != nil {
		return j.freshness.orStale(f)
	}
	if j.service, ok = j.route.Target(xxhash.Sum64String(string(cmp.Or(j.streamID(), j.call.Attempt)))); !ok {
		return newRefusal(lacefault.NoBackendServer, "route has no service", noConfigRetryAfter)
	}
	if s, known := table.Service(j.service); known && s.Engine != nil {
		j.tokensPerEvent = s.Engine.MaxTokensPerEvent
		j.describePrompt(table, s.Engine)
	}
	timeout := j.call.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if t := j.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	j.deadline = j.arrived.Add(timeout)
	if f := r.admitToLink(w, q, j); f != nil {
		return f
	}
	if f := r.quarantineFault(j); f != nil {
		return f
	}
	if f := r.takeUp(q.Context(), j); f != nil {
		return f
	}
	return r.readBody(w, q, j, table.Limits().MaxBodyBytes)
}

func (j *job) authorize(table *laceroute.Table) *lacefault.Fault {
	j.rank = j.route.Rank
	if !table.KeyRequired() {
		return nil
	}
	a, ok := table.Account(j.call.Key)
	if !ok {
		if j.route.Anonymous {
			return nil
		}
		return newRefusal(lacefault.Unauthorized, "unknown key", 0)
	}
	j.account = a.ID
	if a.HasRank {
		j.rank = a.Rank
	}
	return nil
}

func (r *Relay) readBody(w http.ResponseWriter, q *http.Request, j *job, maxBytes int64) *lacefault.Fault {
	control := http.NewResponseController(w)
	// Setting a deadline fails only if the connection is gone, which shows when the body is read.
	_ = control.SetReadDeadline(j.arrived.Add(bodyReadTimeout))
	_ = control.SetWriteDeadline(j.deadline.Add(writeGrace))
	if q.ContentLength == 0 {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	if maxBytes <= 0 {
		maxBytes = 1 << 20
	}
	j.holding.Assign(string(j.account))
	body, err := j.holding.ReadAll(q.Body, q.ContentLength, maxBytes, lacelistener.Body)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		j.body = body
		return nil
	case lacelistener.IsTooLong(err):
		w.Header().Set("Connection", "close")
		return j.freshness.orStale(newRefusal(lacefault.TooLarge, "body is too large", 0))
	case errors.Is(err, lacelistener.ErrShort):
		w.Header().Set("Connection", "close")
		return newRefusal(lacefault.Overloaded, "clients hold all memory", memoryRetryAfter)
	default:
		return newRefusal(lacefault.BadRequest, "body could not be read: "+err.Error(), 0)
	}
}

// withRetryBudget calls f with the retry budget of a service while holding the lock.
func (r *Relay) withRetryBudget(service laceunit.ServiceID, f func(*lacelimit.RetryBudget) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.retries[service]
	if b == nil {
		b = &lacelimit.RetryBudget{
			Window: r.options.Retries.Window,
			Ratio:  r.options.Retries.Ratio,
			Slack:  r.options.Retries.Slack,
		}
		r.retries[service] = b
	}
	return f(b)
}

// retryBudgetCheck returns a function that takes one retry from the budget of the job's service, and reports whether
// the budget covered it.
func (r *Relay) retryBudgetCheck(j *job) func() bool {
	return func() bool {
		return r.withRetryBudget(j.service, func(b *lacelimit.RetryBudget) bool {
			return b.Allow(time.Now(), r.options.Members())
		})
	}
}

// refuse responds with an error instead of a server's response.
func (r *Relay) refuse(j *job, f *lacefault.Fault) {
	j.declined = r.hasLostServers(j, f)
	if err := j.response.writeFault(f); err != nil {
		r.finish(j, 0, "broken_off")
		return
	}
	if f.Outcome == lacefault.NotRun {
		r.options.Log.Write(lacelog.RequestRejected, append([]lacelog.Pair{
			lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P(lacelog.Reason, f.Code), lacelog.P("message", f.Message),
			lacelog.P(lacelog.Route, j.routeName()), lacelog.P(lacelog.Account, j.account),
			lacelog.P(lacelog.Version, j.version), lacelog.P(lacelog.RetryAfter, f.RetryAfter.Milliseconds()),
		}, j.refusalFields...)...)
	}
	r.finish(j, f.Code.Status(), string(f.Code))
}

// finish updates the metrics and the log at the end of a request.
func (r *Relay) finish(j *job, status int, outcome string) {
	duration := time.Since(j.arrived)
	r.cpuTime.Add(int64(requestCPUTime + time.Duration(j.response.events)*eventCPUTime))
	r.options.Metrics.observeRequest(j, outcome, duration)
	r.options.Log.Write(lacelog.Done, lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P(lacelog.Outcome, outcome),
		lacelog.P(lacelog.Status, status), lacelog.P(lacelog.Route, j.routeName()),
		lacelog.P(lacelog.Account, j.account),
		lacelog.P(lacelog.AttemptNumber, j.history.sent), lacelog.P(lacelog.Events, j.response.events),
		lacelog.P(lacelog.Took, duration.Milliseconds()), lacelog.P(lacelog.Version, j.version),
		lacelog.P("resumed", j.call.LastEventID != ""))
}

func (j *job) routeName() string {
	if j.route == nil {
		return ""
	}
	return j.route.Name
}

func newRefusal(code lacefault.Code, message string, retryAfter time.Duration) *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       code,
		Message:    message,
		RetryAfter: retryAfter,
	}
}
