package laceorder

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"lacewingcove/lib/laceunit"
)

// maxQueuedJobs is the maximum number of queued orders per server.
const maxQueuedJobs = 64

// ErrQueueFull means that the queue of the server already has the maximum number of orders.
var ErrQueueFull = errors.New("order: too many orders wait for the server")

// ID identifies an order, so that a repeated submission is not queued twice. Orders with an empty ID are not
// deduplicated.
type ID string

// Job is an order with its target server.
type Job struct {
	ID      ID
	Server  laceunit.ServerID
	Address laceunit.Address
	// Fencing is true if the server checks fencing tokens and rejects stale ones.
	Fencing bool
	Order   Order
	// Cost is the number of tokens that a load takes from the rate limit of the weight store; zero for other orders.
	Cost int

	sequence uint64
	// maybeApplied is true if the order is being or was sent and no result or state read shows that it was not applied.
	maybeApplied bool
}

// Step is the kind of an action.
type Step int

// The steps.
const (
	// StepWait means that there is nothing to do before Action.At.
	StepWait Step = iota
	// StepRead means that the engine's state must be read; the caller then calls HandleState or HandleReadFailure.
	StepRead
	// StepSend means that the order must be sent; the caller then calls HandleOutcome.
	StepSend
)

// Action is the next step of the lease holder. Job is set for StepRead and StepSend, At for StepWait.
type Action struct {
	Step Step
	Job  Job
	At   time.Time
}

// Planner decides which order to send next. The caller must complete each action before it requests the next one.
type Planner struct {
	LeaseState

	loadLimiter *rate.Limiter
	queues      map[laceunit.ServerID]*serverQueue
	// rotation is the round-robin order of the servers.
	rotation     []laceunit.ServerID
	lastSequence uint64
}

type serverQueue struct {
	jobs []Job
	// readFence is the fencing token under which the state was last read; zero means that it must be read again.
	readFence laceunit.Fence
	// notBefore is the earliest time of the next action.
	notBefore time.Time
}

// NewPlanner returns a planner that limits loads to a rate and burst, to protect the weight store. A rate of zero or
// less means no limit.
func NewPlanner(timing Timing, perSecond float64, burst int) *Planner {
	limit := rate.Limit(perSecond)
	if perSecond <= 0 {
		limit = rate.Inf
	}
	return &Planner{
		LeaseState:  LeaseState{Timing: timing},
		loadLimiter: rate.NewLimiter(limit, burst),
		queues:      map[laceunit.ServerID]*serverQueue{},
	}
}

// Submit queues an order unless an order with the same id is already queued for the server.
func (p *Planner) Submit(job Job) error {
	q := p.queues[job.Server]
	if q == nil {
		q = &serverQueue{}
		p.queues[job.Server] = q
		p.rotation = append(p.rotation, job.Server)
	}
	if p.IsQueued(job.Server, job.ID) {
		return nil
	}
	if len(q.jobs) >= maxQueuedJobs {
		return errors.Wrap(ErrQueueFull, string(job.Server))
	}
	p.lastSequence++
	job.sequence, job.maybeApplied = p.lastSequence, false
	q.jobs = append(q.jobs, job)
	return nil
}

// IsQueued reports whether an order with the id is queued for the server.
func (p *Planner) IsQueued(server laceunit.ServerID, id ID) bool {
	q := p.queues[server]
	return q != nil && id != "" && q.index(id) >= 0
}

// Cancel removes an order from the queue. It reports whether the order may have been applied or may still be applied
// within the delivery timeout; for an order that is not queued it returns true.
func (p *Planner) Cancel(server laceunit.ServerID, id ID) (maybeApplied bool) {
	if !p.IsQueued(server, id) {
		return true
	}
	q := p.queues[server]
	i := q.index(id)
	maybeApplied = q.jobs[i].maybeApplied
	q.jobs = slices.Delete(q.jobs, i, i+1)
	return maybeApplied
}

func (q *serverQueue) index(id ID) int {
	return slices.IndexFunc(q.jobs, func(j Job) bool { return j.ID == id })
}

// Pending returns the number of queued orders.
func (p *Planner) Pending() int {
	n := 0
	for _, q := range p.queues {
		n += len(q.jobs)
	}
	return n
}

// Next returns the next action. Servers are served round-robin.
func (p *Planner) Next(now time.Time) Action {
	wait := Action{At: now.Add(p.Timing.TTL)}
	if !p.HoldsLease(now) {
		return wait
	}
	for i, id := range p.rotation {
		q := p.queues[id]
		if len(q.jobs) == 0 {
			continue
		}
		a := p.nextFor(now, q)
		if a.Step != StepWait {
			p.rotation = append(slices.Delete(p.rotation, i, i+1), id)
			return a
		}
		if a.At.Before(wait.At) {
			wait = a
		}
	}
	return wait
}

// nextFor returns the next action for the first order in a queue.
func (p *Planner) nextFor(now time.Time, q *serverQueue) Action {
	job := q.jobs[0]
	job.Order.Fence = p.fence
	readyAt := p.acquiredAt
	if !job.Fencing {
		readyAt = p.acquiredAt.Add(p.Timing.DrainPeriod())
	}
	if q.notBefore.After(readyAt) {
		readyAt = q.notBefore
	}
	switch {
	case now.Before(readyAt):
		return Action{At: readyAt}
	case q.readFence != p.fence:
		return Action{
			Step: StepRead,
			Job:  job,
		}
	case !p.MaySend(now, job.Fencing):
		// The send window has ended. A renewal opens it again and is due within a third of the TTL.
		return Action{At: now.Add(p.Timing.TTL / 8)}
	}
	if delay := p.takeTokens(now, job.Cost); delay > 0 {
		return Action{At: now.Add(delay)}
	}
	q.jobs[0].maybeApplied = true
	return Action{
		Step: StepSend,
		Job:  job,
	}
}

// takeTokens takes the cost of a load from the token bucket, or returns the time until enough tokens are available.
// A load that costs more than the burst waits for a full bucket and overdraws it.
func (p *Planner) takeTokens(now time.Time, cost int) time.Duration {
	if cost <= 0 || p.loadLimiter.Limit() == rate.Inf {
		return 0
	}
	burst := p.loadLimiter.Burst()
	deficit := float64(min(cost, burst)) - p.loadLimiter.TokensAt(now)
	if deficit > 0 {
		return time.Duration(deficit/float64(p.loadLimiter.Limit())*float64(time.Second)) + time.Millisecond
	}
	for ; cost > 0; cost -= burst {
		p.loadLimiter.ReserveN(now, min(cost, burst))
	}
	return 0
}

// HandleState handles an engine state that was read under a fencing token. It removes the orders at the head of the
// queue that the state already satisfies, and ignores a state that was read under another token.
func (p *Planner) HandleState(server laceunit.ServerID, fence laceunit.Fence, state EngineState) {
	q := p.queues[server]
	if q == nil || fence != p.fence {
		return
	}
	q.readFence = fence
	for len(q.jobs) > 0 && state.Satisfies(q.jobs[0].Order) {
		q.jobs = q.jobs[1:]
	}
	if len(q.jobs) > 0 {
		// The state is read only when no earlier attempt can still take effect, so this order was not applied.
		q.jobs[0].maybeApplied = false
	}
}

// HandleReadFailure handles a failed read of the state; the next one is delayed by the drain period.
func (p *Planner) HandleReadFailure(now time.Time, server laceunit.ServerID) {
	if q := p.queues[server]; q != nil {
		q.notBefore = now.Add(p.Timing.DrainPeriod())
	}
}

// HandleOutcome handles the outcome of an order that was sent. An order with an unknown outcome is sent again only
// after the state was read, and the state is read only when the order can no longer arrive.
func (p *Planner) HandleOutcome(now time.Time, job Job, outcome Outcome) {
	q := p.queues[job.Server]
	if q == nil {
		return
	}
	// The order may have been canceled while it was in flight; its outcome must not be applied to the next order.
	queued := len(q.jobs) > 0 && q.jobs[0].sequence == job.sequence
	if queued && (outcome == OutcomeNotApplied || outcome == OutcomeFenced) {
		q.jobs[0].maybeApplied = false
	}
	switch outcome {
	case OutcomeApplied:
		if queued {
			q.jobs = q.jobs[1:]
		}
	case OutcomeFenced:
		if job.Order.Fence == p.fence {
			p.MarkLost()
		}
	case OutcomeNotApplied, OutcomeUnknown:
		q.readFence = 0
		q.notBefore = now.Add(p.Timing.DrainPeriod())
	}
}
