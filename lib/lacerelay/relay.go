package lacerelay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

const (
	// defaultWait is the time limit of a request when neither its caller nor its route sets one.
	defaultWait = time.Minute
	// bodyWait bounds the reading of a request's body.
	bodyWait = 10 * time.Second
	// reserveWait is how long a request may wait for a draw on the store, which takes two calls of a few milliseconds but
	// is not made more often than each 200 ms.
	reserveWait = 240 * time.Millisecond
	// writeSlack is how long after a request's deadline its answer may still be written.
	writeSlack = 2 * time.Second
	// startRetry is what a caller is told to wait for an instance that has no configuration yet.
	startRetry = 500 * time.Millisecond
	// spreadRetry is what a caller is told to wait when other instances hold tokens of its account for their own callers:
	// it can try at one of them at once.
	spreadRetry = 100 * time.Millisecond
	// evenRetry is the same when only this instance has callers of the account. Holdings are evened out each second.
	evenRetry = time.Second
	// awayRetry is the same while the store has not answered for awayAge; outages take several seconds.
	awayRetry = 3 * time.Second
	awayAge   = 3 * time.Second
	// stopRetry is what a caller is told that should go to another instance.
	stopRetry = 10 * time.Millisecond
)

// Quota reserves tokens of client accounts.
type Quota interface {
	Reserve(ctx context.Context, account laceunit.AccountID, most laceunit.Tokens) (lacequota.Verdict, lacequota.State)
	Settle(account laceunit.AccountID, most, consumed laceunit.Tokens)
}

// RetryBounds are the fleet's bounds on what is sent more than once.
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
	// Shares is told what answers say about the limits of their servers; nil for nobody.
	Shares laceshare.LimitObserver
	// Standing tells what the routing table may be used for; nil for everything.
	Freshness func() Freshness
	// Link decides whether the machine's link has room for a request; nil admits each.
	Link Link
	// Members is how many instances share the retry budget.
	Members func() int
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Relay serves callers.
type Relay struct {
	options Options
	// stopping is true once new requests are refused, closing once connections end with their answers.
	stopping atomic.Bool
	closing  atomic.Bool
	running  atomic.Int64
	work     atomic.Int64

	mu      sync.Mutex
	retries map[laceunit.ServiceID]*lacelimit.RetryBudget
}

// New returns a relay.
func New(options Options) *Relay {
	return &Relay{
		options: options,
		retries: map[laceunit.ServiceID]*lacelimit.RetryBudget{},
	}
}

// Closing makes callers leave: each answer ends its connection.
func (r *Relay) DisableKeepAlives() { r.closing.Store(true) }

// Stop refuses new requests; running ones go on.
func (r *Relay) Stop() { r.stopping.Store(true) }

// Running returns how many requests are being served.
func (r *Relay) Running() int { return int(r.running.Load()) }

const (
	// requestWork and eventWork are the processor time that a request and an event of a stream take on one core of the
	// users' machines, from the bill of played days (docs/CAPACITY.md).
	requestWork = 1500 * time.Microsecond
	eventWork   = 50 * time.Microsecond
)

// Work returns the processor time that requests have taken so far, estimated from their number.
func (r *Relay) CPUTime() time.Duration { return time.Duration(r.work.Load()) }

// job is one request on its way.
type job struct {
	call     Call
	route    *laceroute.Route
	service  laceunit.ServiceID
	stride   int
	account  laceunit.AccountID
	rank     int
	version  laceunit.Version
	standing Freshness
	body     []byte
	arrived  time.Time
	deadline time.Time

	// figures are what a refusal rests on: what was known of the account or of the link.
	figures  []lacelog.Pair
	progress progress
	room     room
	tried    []laceunit.ServerID
	// last is the id of the newest event.
	last     string
	response response
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.running.Add(1)
	defer r.running.Add(-1)
	if r.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{
		arrived: time.Now(),
		response: response{
			codec: r.options.Codec,
			w:     w,
			holds: !q.ProtoAtLeast(1, 1),
		},
	}
	defer r.release(j)
	r.serve(w, q, j)
	j.response.breakOff()
}

func (r *Relay) serve(w http.ResponseWriter, q *http.Request, j *job) {
	var err error
	j.call, err = r.options.Codec.DecodeCall(q)
	j.response.call = j.call
	if err != nil {
		r.refuse(j, fault(lacefault.BadRequest, err.Error(), 0))
		return
	}
	j.last = j.call.LastEventID
	if f := r.admit(w, q, j); f != nil {
		r.refuse(j, f)
		if j.room.refused {
			drain(w, q, j)
		}
		return
	}
	most := j.call.Input + j.call.MaxOutput
	metered := j.call.Metered && j.account != ""
	if metered {
		if f := r.reserve(q.Context(), j, most); f != nil {
			r.refuse(j, f)
			return
		}
		defer func() { r.options.Quota.Settle(j.account, most, j.consumed()) }()
	}
	r.retry(j.service, func(b *lacelimit.RetryBudget) bool {
		b.Request(j.arrived)
		return true
	})
	ctx, cancel := context.WithDeadline(q.Context(), j.deadline)
	defer cancel()
	r.run(ctx, j)
}

// consumed is what a request costs: its prompt once and the events that were passed on. A request of which the caller
// got nothing costs nothing, and the prompt of a stream that its caller resumes was paid for with its beginning.
func (j *job) consumed() laceunit.Tokens {
	if j.response.events == 0 {
		return 0
	}
	input := j.call.Input
	if j.call.LastEventID != "" {
		input = 0
	}
	return input + min(j.call.MaxOutput, laceunit.Tokens(j.response.events*max(j.stride, 1)))
}

// admit finds the route, the account and the time limit, and reads the body.
func (r *Relay) admit(w http.ResponseWriter, q *http.Request, j *job) *lacefault.Fault {
	table := r.options.Routes.Load()
	if table == nil {
		return fault(lacefault.Stale, "no configuration yet", startRetry)
	}
	j.version = table.Version()
	if r.stopping.Load() {
		return fault(lacefault.Draining, "instance is stopping", stopRetry)
	}
	j.standing = r.standing()
	if j.standing == Superseded {
		return fault(lacefault.Stale, "a newer configuration has not arrived yet", staleRetry)
	}
	var ok bool
	if j.route, ok = table.Match(j.call.Host, j.call.Path); !ok {
		return j.standing.lacks(fault(lacefault.NotFound, "no route", 0))
	}
	if f := j.authorize(table); f != nil {
		return j.standing.lacks(f)
	}
	if j.service, ok = j.route.Target(xxhash.Sum64String(string(j.call.Attempt))); !ok {
		return fault(lacefault.NoServer, "route has no service", startRetry)
	}
	if s, known := table.Service(j.service); known && s.Engine != nil {
		j.stride = s.Engine.MaxTokensPerEvent
	}
	wait := j.call.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if t := j.route.Timeout; t > 0 {
		wait = min(wait, t)
	}
	j.deadline = j.arrived.Add(wait)
	if f := r.enter(w, q, j); f != nil {
		return f
	}
	return r.read(w, q, j, table.Limits().MaxBodyBytes)
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
		return fault(lacefault.Unauthorized, "unknown key", 0)
	}
	j.account = a.ID
	if a.HasRank {
		j.rank = a.Rank
	}
	return nil
}

func (r *Relay) read(w http.ResponseWriter, q *http.Request, j *job, most int64) *lacefault.Fault {
	control := http.NewResponseController(w)
	// Errors of deadlines mean that the connection has gone, which reading finds out.
	_ = control.SetReadDeadline(j.arrived.Add(bodyWait))
	_ = control.SetWriteDeadline(j.deadline.Add(writeSlack))
	if q.ContentLength == 0 {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	if most <= 0 {
		most = 1 << 20
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, most))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		j.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return j.standing.lacks(fault(lacefault.TooLarge, "body is too large", 0))
	}
	return fault(lacefault.BadRequest, "body could not be read: "+err.Error(), 0)
}

func (r *Relay) reserve(ctx context.Context, j *job, most laceunit.Tokens) *lacefault.Fault {
	limited, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	verdict, state := r.options.Quota.Reserve(limited, j.account, most)
	if verdict == lacequota.Reserved {
		return nil
	}
	j.figures = []lacelog.Pair{
		lacelog.P(lacelog.Tokens, most), lacelog.P("paid", state.Paid), lacelog.P(lacelog.Cap, state.Cap),
		lacelog.P(lacelog.Used, state.Used), lacelog.P(lacelog.Held, state.Reserved), lacelog.P("others", state.OthersSpent),
		lacelog.P("lost", state.Lost), lacelog.P("free", state.Unallocated),
		lacelog.P(lacelog.Age, time.Since(state.UpdatedAt).Milliseconds()),
	}
	if verdict == lacequota.Exhausted {
		return j.standing.lacks(fault(lacefault.BudgetSpent, "prepaid tokens are spent", 0))
	}
	return fault(lacefault.BudgetBlocked, "prepaid tokens are not at this instance", budgetRetry(state))
}

// budgetRetry is when a caller whose tokens are not at this instance has a chance again.
func budgetRetry(s lacequota.State) time.Duration {
	switch {
	case s.UsedElsewhere:
		return spreadRetry
	case time.Since(s.UpdatedAt) > awayAge:
		return awayRetry
	default:
		return evenRetry
	}
}

// retry works on the retry budget of a service.
func (r *Relay) retry(service laceunit.ServiceID, f func(*lacelimit.RetryBudget) bool) bool {
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

// mayRepeat draws on the retry budget of the job's service.
func (r *Relay) mayRepeat(j *job) func() bool {
	return func() bool {
		return r.retry(j.service, func(b *lacelimit.RetryBudget) bool {
			return b.Allow(time.Now(), r.options.Members())
		})
	}
}

// refuse ends a request that is not answered by a server.
func (r *Relay) refuse(j *job, f *lacefault.Fault) {
	if err := j.response.refuse(f); err != nil {
		r.finish(j, 0, "broken_off")
		return
	}
	if f.Outcome == lacefault.NotRun {
		r.options.Log.Write(lacelog.Refused, append([]lacelog.Pair{
			lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P(lacelog.Reason, f.Code), lacelog.P("message", f.Message),
			lacelog.P(lacelog.Route, j.name()), lacelog.P(lacelog.Account, j.account), lacelog.P(lacelog.Version, j.version),
			lacelog.P(lacelog.Retry, f.RetryAfter.Milliseconds()),
		}, j.figures...)...)
	}
	r.finish(j, f.Code.Status(), string(f.Code))
}

// finish counts and logs the end of a request.
func (r *Relay) finish(j *job, status int, outcome string) {
	took := time.Since(j.arrived)
	r.work.Add(int64(requestWork + time.Duration(j.response.events)*eventWork))
	r.options.Metrics.done(j, outcome, took)
	r.options.Log.Write(lacelog.Done, lacelog.P(lacelog.Request, j.call.Attempt), lacelog.P(lacelog.Outcome, outcome),
		lacelog.P(lacelog.Status, status), lacelog.P(lacelog.Route, j.name()), lacelog.P(lacelog.Account, j.account),
		lacelog.P(lacelog.Number, j.progress.sends), lacelog.P(lacelog.Events, j.response.events),
		lacelog.P(lacelog.Took, took.Milliseconds()), lacelog.P(lacelog.Version, j.version))
}

func (j *job) name() string {
	if j.route == nil {
		return ""
	}
	return j.route.Name
}

func fault(code lacefault.Code, message string, after time.Duration) *lacefault.Fault {
	return &lacefault.Fault{
		Outcome:    lacefault.NotRun,
		Code:       code,
		Message:    message,
		RetryAfter: after,
	}
}
