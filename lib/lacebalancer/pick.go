package lacebalancer

import (
	"cmp"
	"slices"
	"time"

	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceunit"
)

// Pick assigns, queues or refuses a request. Assigned and Refused are final; Waiting is followed by a decision with the
// same ticket from a later call that returns decisions, such as Done, Report, Update or Tick, and possibly from another
// Pick (see Displaced).
func (b *Balancer) Pick(now time.Time, request Request) (Decision, []Decision) {
	b.lastTicket++
	ticket := b.lastTicket
	p := b.pools[request.Pool]
	if p == nil || !p.usable(request.Version) {
		return refusal(ticket, NoServer, b.routing.EjectionTime), nil
	}
	if r, ok := b.stall(now, p, request.Version); ok {
		if r = r.withBacklog(p.queue.Len()); !r.worthQueueing(now, b.deadline(now, request)) {
			p.recordThrottled(now)
			return refusal(ticket, r.reason, b.withJitter(r.wait)), nil
		}
	}
	if request.Retry {
		if b.retryBudget < 1 {
			return refusal(ticket, RetryBudgetExhausted, b.queueRetryAfter(p)), nil
		}
		b.retryBudget--
	} else {
		b.retryBudget = min(b.retryBudget+b.routing.RetryRatio, maxRetryBudget)
	}
	w := waiter{
		ticket:  ticket,
		request: request,
	}
	// A request must not overtake queued ones unless its priority is higher. In that case it must bypass the queue, where
	// it could displace another request before it is assigned.
	if top, ok := p.queue.Top(); !ok || request.Priority > top {
		if d, ok := b.assign(now, p, w); ok {
			return d, nil
		}
	}
	return b.enqueue(now, p, w)
}

func (b *Balancer) enqueue(now time.Time, p *pool, w waiter) (Decision, []Decision) {
	var startBy time.Time
	if w.request.Prompt != nil {
		startBy = b.deadline(now, w.request)
		if wait := p.queueWait(p.queue.LenFrom(w.request.Priority)); now.Add(wait).After(startBy) {
			if w.request.Retry {
				b.retryBudget++
			}
			return refusal(w.ticket, NotInTime, boundRetryAfter(wait)), nil
		}
	}
	displaced, ok := p.queue.Push(lacelimit.Item[waiter]{
		Account:  w.request.queueAccount(),
		Priority: w.request.Priority,
		Deadline: b.deadline(now, w.request),
		StartBy:  startBy,
		Value:    w,
	})
	if !ok {
		if w.request.Retry {
			b.retryBudget++
		}
		return refusal(w.ticket, QueueFull, b.queueRetryAfter(p)), nil
	}
	b.waiting[w.ticket] = p
	var others []Decision
	if displaced != nil {
		delete(b.waiting, displaced.Value.ticket)
		others = append(others, refusal(displaced.Value.ticket, Displaced, b.queueRetryAfter(p)))
	}
	decision := Decision{
		Ticket:  w.ticket,
		Verdict: Waiting,
	}
	for _, d := range b.drainQueue(now, p) {
		if d.Ticket == w.ticket {
			decision = d
			continue
		}
		others = append(others, d)
	}
	return decision, others
}

// queueAccount returns the account under which the request is queued. The requests of an account for one version have a
// queue of their own: while its servers are full, they do not hold up those that other servers can take.
func (r Request) queueAccount() laceunit.AccountID {
	if r.Version == nil {
		return r.Account
	}
	return r.Account + "\x00" + laceunit.AccountID(*r.Version)
}

// drainQueue assigns or refuses as many queued requests of a pool as possible.
func (b *Balancer) drainQueue(now time.Time, p *pool) []Decision {
	if p.queue.Len() == 0 {
		return nil
	}
	var decisions []Decision
	refuse := func(items []lacelimit.Item[waiter], reason Reason) {
		for _, i := range items {
			delete(b.waiting, i.Value.ticket)
			decisions = append(decisions, refusal(i.Value.ticket, reason, b.queueRetryAfter(p)))
		}
	}
	refuse(p.queue.Expire(now), DeadlineExceeded)
	if !p.usable(nil) {
		refuse(p.queue.Drop(func(lacelimit.Item[waiter]) bool { return true }), NoServer)
		return decisions
	}
	if r, ok := b.stall(now, p, nil); ok {
		for _, i := range p.queue.Drop(func(i lacelimit.Item[waiter]) bool { return !r.worthQueueing(now, i.Deadline) }) {
			delete(b.waiting, i.Value.ticket)
			decisions = append(decisions, refusal(i.Value.ticket, r.reason, b.withJitter(r.wait)))
		}
		p.recordThrottled(now)
		return decisions
	}
	// If no server has capacity for a request, none has for requests of the same or a lower priority either. Without this
	// shortcut an overloaded pool would scan its servers once per queued account.
	blockedPriority := laceunit.Priority(-1)
	versionGone := false
	for {
		var decision Decision
		_, ok := p.queue.Pop(func(w waiter) bool {
			if w.request.Priority <= blockedPriority {
				return false
			}
			d, assigned := b.assign(now, p, w)
			if !assigned && len(w.request.Exclude) == 0 && !w.request.NonIdempotent && w.request.Version == nil {
				blockedPriority = w.request.Priority
			}
			versionGone = versionGone || !assigned && !p.usable(w.request.Version)
			decision = d
			return assigned
		})
		if !ok {
			break
		}
		delete(b.waiting, decision.Ticket)
		decisions = append(decisions, decision)
	}
	if versionGone {
		refuse(p.queue.Drop(func(i lacelimit.Item[waiter]) bool { return !p.usable(i.Value.request.Version) }), NoServer)
	}
	return decisions
}

func (b *Balancer) drainQueues(now time.Time, pools []*pool) []Decision {
	var decisions []Decision
	for _, p := range pools {
		decisions = append(decisions, b.drainQueue(now, p)...)
	}
	return decisions
}

// assign assigns a request to a server if one has capacity for it.
func (b *Balancer) assign(now time.Time, p *pool, w waiter) (Decision, bool) {
	var placing *placer
	if w.request.Prompt != nil {
		placing = &b.placer
		*placing = newPlacer(now, p, w.request.Prompt)
	}
	s, probe := b.selectServer(now, p, w.request, placing)
	if s == nil {
		return Decision{}, false
	}
	estimate, age := s.loadEstimate, time.Duration(0)
	if !s.reportTime.IsZero() {
		age = now.Sub(s.reportTime)
	}
	placed, report := b.place(placing, s)
	b.sendToBrittle(now, p, s)
	s.addInFlight(now, 1)
	if probe {
		s.probeInFlight = true
	}
	if s.pause != nil {
		s.pause.inFlight++
	}
	if s.rateLimiter != nil {
		s.rateLimiter.consume(now)
	}
	b.assigned[w.ticket] = assignedRequest{
		server:      s,
		pool:        p,
		probe:       probe,
		slowStart:   s.pause,
		assignedAt:  now,
		rateLimited: s.rateLimiter != nil,
		placement:   placed,
	}
	return Decision{
		Ticket:  w.ticket,
		Verdict: Assigned,
		Server:  s.id,
		Address: s.address,

		LoadEstimate: estimate,
		ReportAge:    age,
		Placement:    report,
	}, true
}

// selectServer returns the server for a request, nil for none, and whether the request is a probe. An ejected server
// whose ejection time is over gets the next request as a probe, so that it is reinstated even while others have
// capacity. A non-idempotent request is one only after maxUnprobed.
//
// With a placer, it chooses among the candidates instead of the pool's policy.
func (b *Balancer) selectServer(now time.Time, p *pool, r Request, placing *placer) (*server, bool) {
	utilizationLimit := baseUtilization + utilizationPerPriority*float64(max(r.Priority, laceunit.PriorityDraft))
	p.expireReports(now)
	mean, overloaded := p.meanLoad(), p.newLoadProbe()
	exclude := r.Exclude
	if p.allExcluded(now, r) {
		exclude = nil
	}
	candidates := b.scratch[:0]
	var suspectCount, healthyCount, freshCount int
	var probeTarget *server
	for _, s := range p.servers {
		if s.leaving || !s.has(r.Version) || s.paused(now) || slices.Contains(exclude, s.id) {
			continue
		}
		if b.holdBack(now, p, s) {
			healthyCount++
			continue
		}
		if s.ejected {
			probeTarget = s.orEarlierProbe(now, probeTarget)
			continue
		}
		if s.rateLimited(now) {
			if s.rateLimiter.throttle(now, b.deadline(now, r)) {
				healthyCount++
			}
			continue
		}
		healthyCount++
		if now.Sub(s.reportTime) < freshReportAge {
			freshCount++
		}
		s.salt = p.rendezvousSalt(b.salt)
		s.updateLoadEstimate(now, mean)
		if s.atSlowStartLimit() {
			continue
		}
		if limit := utilizationLimit * float64(s.slots); s.slots > 0 && s.loadEstimate >= limit {
			overloaded.consider(now, s, limit)
			continue
		}
		if now.Before(s.suspectUntil) {
			suspectCount++
		}
		candidates = append(candidates, s)
	}
	b.scratch = candidates
	p.reportsStale = 2*freshCount < healthyCount
	// With no healthy server left, waiting for the end of the ejection would refuse requests that a probe might serve.
	if probeTarget != nil && (healthyCount == 0 || probeTarget.mayBeProbedBy(now, r)) {
		return probeTarget, true
	}
	candidates = trusted(now, candidates, suspectCount)
	if len(candidates) == 0 {
		return p.probeLoad(now, overloaded), false
	}
	if placing != nil {
		return placing.choose(candidates, b.random), false
	}
	return p.policy.Choose(candidates, r.Prefix, b.random), false
}

// trusted returns the candidates without a number of suspect ones, unless all are suspect.
func trusted(now time.Time, candidates []*server, suspects int) []*server {
	if suspects == 0 || suspects == len(candidates) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(s *server) bool { return now.Before(s.suspectUntil) })
}

// orEarlierProbe returns the ejected server s if it can be probed before another one, which may be nil, and otherwise that
// one.
func (s *server) orEarlierProbe(now time.Time, other *server) *server {
	if s.probeInFlight || s.atSlowStartLimit() || s.rateLimited(now) ||
		other != nil && !s.ejectedUntil.Before(other.ejectedUntil) {
		return other
	}
	return s
}

// mayBeProbedBy reports whether a request may probe an ejected server although another one is healthy.
func (s *server) mayBeProbedBy(now time.Time, r Request) bool {
	if r.NonIdempotent {
		return now.Sub(s.ejectedUntil) >= maxUnprobed
	}
	return !now.Before(s.ejectedUntil)
}

// rendezvousSalt returns the salt of the pool's rendezvous order: that of the instance while load reports are stale,
// and a common one otherwise.
func (p *pool) rendezvousSalt(instanceSalt uint64) uint64 {
	if p.reportsStale {
		return instanceSalt
	}
	return 0
}

func (p *pool) meanLoad() meanLoad {
	n := float64(len(p.servers))
	return meanLoad{
		localLoad:  float64(p.localLoad) / n,
		remoteLoad: p.remoteLoad / n,
	}
}

// usable reports whether the pool has a server of a version, nil for any, that is not leaving.
func (p *pool) usable(version *laceunit.SoftwareVersion) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return !s.leaving && s.has(version) })
}

// has reports whether the server's software has a version; nil means any.
func (s *server) has(version *laceunit.SoftwareVersion) bool {
	return version == nil || s.version == *version
}

// allExcluded reports whether a request excludes every server that it could get now.
func (p *pool) allExcluded(now time.Time, r Request) bool {
	return len(r.Exclude) > 0 && !slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.leaving && s.has(r.Version) && !s.unavailable(now) && !slices.Contains(r.Exclude, s.id)
	})
}

// deadline returns when a queued request expires.
func (b *Balancer) deadline(now time.Time, r Request) time.Time {
	if r.Prompt != nil && !r.Deadline.IsZero() {
		return r.Deadline.Add(-b.pools[r.Pool].serviceTime(r.Prompt))
	}
	latest := now.Add(b.routing.QueueTimeout)
	if r.Deadline.IsZero() || r.Deadline.After(latest) {
		return latest
	}
	return r.Deadline
}

// queueRetryAfter estimates a retry delay as the time that the pool needs to serve its queue.
func (b *Balancer) queueRetryAfter(p *pool) time.Duration {
	return boundRetryAfter(p.queueWait(p.queue.Len()))
}

func boundRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, 100*time.Millisecond), 30*time.Second)
}

// queueWait estimates the time that the pool needs to serve a number of queued requests and one more.
func (p *pool) queueWait(queued int) time.Duration {
	var slots float64
	for _, s := range p.servers {
		slots += s.Capacity()
	}
	wait := p.latency * float64(queued+1) / max(slots, 1)
	return time.Duration(wait * float64(time.Second))
}

func refusal(ticket Ticket, reason Reason, after time.Duration) Decision {
	return Decision{
		Ticket:     ticket,
		Verdict:    Refused,
		Reason:     reason,
		RetryAfter: after,
	}
}

func sortedPools(m map[Pool]*pool) []Pool {
	names := make([]Pool, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	slices.SortFunc(names, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return names
}
