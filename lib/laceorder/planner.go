package laceorder

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"lacewingcove/lib/laceunit"
)

// maxJobs bounds the orders that wait for one server.
const maxJobs = 64

// ErrFull means that too many orders wait for the server.
var ErrQueueFull = errors.New("order: too many orders wait for the server")

// ID names an order that was asked for, so that asking again does not queue it twice; empty names none.
type ID string

// Job is an order for a server.
type Job struct {
	ID      ID
	Server  laceunit.ServerID
	Address laceunit.Address
	// Fencing is true when the server refuses old fencing tokens.
	Fencing bool
	Order   Order
	// Cost is what a load takes from the weight store, in the unit of its rate; zero for other orders.
	Cost int

	number uint64
	// tried is true while the order may have been carried out.
	tried bool
}

// Step says what a holder does next.
type Step int

// The steps.
const (
	// StepWait means that nothing can be done before the time of the action.
	StepWait Step = iota
	// StepRead means that the server's condition is to be read back; Read must follow.
	StepRead
	// StepSend means that the order is to be sent; Sent must follow.
	StepSend
)

// Action is a step with its subject.
type Action struct {
	Step Step
	Job  Job
	At   time.Time
}

// Planner decides which order goes out when; one action is under way at a time.
type Planner struct {
	LeaseState

	store   *rate.Limiter
	servers map[laceunit.ServerID]*target
	order   []laceunit.ServerID
	number  uint64
}

type target struct {
	jobs []Job
	// read is the fencing token under which the condition was last read back.
	read  laceunit.Fence
	quiet time.Time
}

// NewPlanner returns a planner that keeps loads within a rate and burst of the weight store; a rate of zero means no
// bound.
func NewPlanner(timing Timing, perSecond float64, burst int) *Planner {
	limit := rate.Limit(perSecond)
	if perSecond <= 0 {
		limit = rate.Inf
	}
	return &Planner{
		LeaseState: LeaseState{Timing: timing},
		store:      rate.NewLimiter(limit, burst),
		servers:    map[laceunit.ServerID]*target{},
	}
}

// Submit adds an order, unless one with the same id waits for the server.
func (p *Planner) Submit(job Job) error {
	t := p.servers[job.Server]
	if t == nil {
		t = &target{}
		p.servers[job.Server] = t
		p.order = append(p.order, job.Server)
	}
	if p.IsQueued(job.Server, job.ID) {
		return nil
	}
	if len(t.jobs) >= maxJobs {
		return errors.Wrap(ErrQueueFull, string(job.Server))
	}
	p.number++
	job.number, job.tried = p.number, false
	t.jobs = append(t.jobs, job)
	return nil
}

// Waits reports whether an order with the id waits for the server.
func (p *Planner) IsQueued(server laceunit.ServerID, id ID) bool {
	t := p.servers[server]
	return t != nil && id != "" && t.find(id) >= 0
}

// Withdraw drops an order. It reports whether the order may have been carried out, now or later within the delivery
// bound.
func (p *Planner) Cancel(server laceunit.ServerID, id ID) (tried bool) {
	if !p.IsQueued(server, id) {
		return true
	}
	t := p.servers[server]
	at := t.find(id)
	tried = t.jobs[at].tried
	t.jobs = slices.Delete(t.jobs, at, at+1)
	return tried
}

func (t *target) find(id ID) int {
	return slices.IndexFunc(t.jobs, func(j Job) bool { return j.ID == id })
}

// Pending returns how many orders wait.
func (p *Planner) Pending() int {
	n := 0
	for _, t := range p.servers {
		n += len(t.jobs)
	}
	return n
}

// Next returns the next action; servers take turns.
func (p *Planner) Next(now time.Time) Action {
	wait := Action{At: now.Add(p.Timing.TTL)}
	if !p.HoldsLease(now) {
		return wait
	}
	for i, id := range p.order {
		t := p.servers[id]
		if len(t.jobs) == 0 {
			continue
		}
		a := p.decide(now, t)
		if a.Step != StepWait {
			p.order = append(slices.Delete(p.order, i, i+1), id)
			return a
		}
		if a.At.Before(wait.At) {
			wait = a
		}
	}
	return wait
}

func (p *Planner) decide(now time.Time, t *target) Action {
	job := t.jobs[0]
	job.Order.Fence = p.fence
	settled := p.won
	if !job.Fencing {
		settled = p.won.Add(p.Timing.DrainPeriod())
	}
	if t.quiet.After(settled) {
		settled = t.quiet
	}
	switch {
	case now.Before(settled):
		return Action{At: settled}
	case t.read != p.fence:
		return Action{
			Step: StepRead,
			Job:  job,
		}
	case !p.MaySend(now, job.Fencing):
		// Only a renewal helps; it is due within a third of the time to live.
		return Action{At: now.Add(p.Timing.TTL / 8)}
	}
	if after := p.pace(now, job.Cost); after > 0 {
		return Action{At: now.Add(after)}
	}
	t.jobs[0].tried = true
	return Action{
		Step: StepSend,
		Job:  job,
	}
}

// pace takes a load's cost from the weight store's rate, or returns how long there is not enough. A load that costs
// more than the burst waits for a full bucket and leaves a debt.
func (p *Planner) pace(now time.Time, cost int) time.Duration {
	if cost <= 0 || p.store.Limit() == rate.Inf {
		return 0
	}
	burst := p.store.Burst()
	missing := float64(min(cost, burst)) - p.store.TokensAt(now)
	if missing > 0 {
		return time.Duration(missing/float64(p.store.Limit())*float64(time.Second)) + time.Millisecond
	}
	for ; cost > 0; cost -= burst {
		p.store.ReserveN(now, min(cost, burst))
	}
	return 0
}

// Read notes a read-back under a fencing token and drops the orders at the head that the condition meets already.
func (p *Planner) HandleState(server laceunit.ServerID, fence laceunit.Fence, condition EngineState) {
	t := p.servers[server]
	if t == nil || fence != p.fence {
		return
	}
	t.read = fence
	for len(t.jobs) > 0 && condition.Satisfies(t.jobs[0].Order) {
		t.jobs = t.jobs[1:]
	}
	if len(t.jobs) > 0 {
		// No earlier sending can still take effect when a condition is read, so the order was not carried out.
		t.jobs[0].tried = false
	}
}

// Unread notes that a read-back failed; the server rests before the next one.
func (p *Planner) HandleReadFailure(now time.Time, server laceunit.ServerID) {
	if t := p.servers[server]; t != nil {
		t.quiet = now.Add(p.Timing.DrainPeriod())
	}
}

// Sent notes what became of an order. One whose outcome is unknown is repeated only after a read-back, and that only
// when the order can no longer arrive.
func (p *Planner) HandleOutcome(now time.Time, job Job, outcome Outcome) {
	t := p.servers[job.Server]
	if t == nil {
		return
	}
	// The order may have been withdrawn while it was under way; the next one must not take its outcome.
	waits := len(t.jobs) > 0 && t.jobs[0].number == job.number
	if waits && (outcome == OutcomeNotApplied || outcome == OutcomeFenced) {
		t.jobs[0].tried = false
	}
	switch outcome {
	case OutcomeApplied:
		if waits {
			t.jobs = t.jobs[1:]
		}
	case OutcomeFenced:
		if job.Order.Fence == p.fence {
			p.MarkLost()
		}
	case OutcomeNotApplied, OutcomeUnknown:
		t.read = 0
		t.quiet = now.Add(p.Timing.DrainPeriod())
	}
}
