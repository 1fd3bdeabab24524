package lacebalancer

import (
	"cmp"
	"slices"
	"time"

	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/laceunit"
)

// Pick decides where a request goes. Sent and Refused are final; Waiting is followed by a decision with the same
// ticket out of Done, Report, Update or Tick, and possibly out of another Pick (see Displaced).
func (b *Balancer) Pick(now time.Time, request Request) (Decision, []Decision) {
	b.last++
	ticket := b.last
	p := b.pools[request.Pool]
	if p == nil || !p.usable() {
		return refusal(ticket, NoServer, b.routing.Probe), nil
	}
	if r, ok := p.stall(now); ok {
		if r = r.behind(p.queue.Len()); !r.worth(now, b.deadline(now, request)) {
			p.starve(now)
			return refusal(ticket, r.reason, b.spread(r.left)), nil
		}
	}
	if request.Retry {
		if b.retries < 1 {
			return refusal(ticket, RetryBudgetExhausted, b.retryAfter(p)), nil
		}
		b.retries--
	} else {
		b.retries = min(b.retries+b.routing.Retries, retryMost)
	}
	w := waiter{
		ticket:  ticket,
		request: request,
	}
	// A request must not overtake those that wait, unless it is more urgent. It must then not pass through the queue,
	// where it would take another one's place before it leaves.
	if top, ok := p.queue.Top(); !ok || request.Priority > top {
		if d, ok := b.place(now, p, w); ok {
			return d, nil
		}
	}
	return b.enqueue(now, p, w)
}

func (b *Balancer) enqueue(now time.Time, p *pool, w waiter) (Decision, []Decision) {
	displaced, ok := p.queue.Push(lacelimit.Item[waiter]{
		Account:  w.request.Account,
		Priority: w.request.Priority,
		Deadline: b.deadline(now, w.request),
		Value:    w,
	})
	if !ok {
		if w.request.Retry {
			b.retries++
		}
		return refusal(w.ticket, QueueFull, b.retryAfter(p)), nil
	}
	b.waiting[w.ticket] = p
	var others []Decision
	if displaced != nil {
		delete(b.waiting, displaced.Value.ticket)
		others = append(others, refusal(displaced.Value.ticket, Displaced, b.retryAfter(p)))
	}
	decision := Decision{
		Ticket:  w.ticket,
		Verdict: Waiting,
	}
	for _, d := range b.drain(now, p) {
		if d.Ticket == w.ticket {
			decision = d
			continue
		}
		others = append(others, d)
	}
	return decision, others
}

// drain decides as many waiting requests of a pool as it can.
func (b *Balancer) drain(now time.Time, p *pool) []Decision {
	if p.queue.Len() == 0 {
		return nil
	}
	var decisions []Decision
	refuse := func(items []lacelimit.Item[waiter], reason Reason) {
		for _, i := range items {
			delete(b.waiting, i.Value.ticket)
			decisions = append(decisions, refusal(i.Value.ticket, reason, b.retryAfter(p)))
		}
	}
	refuse(p.queue.Expire(now), DeadlineExceeded)
	if !p.usable() {
		refuse(p.queue.Drop(func(lacelimit.Item[waiter]) bool { return true }), NoServer)
		return decisions
	}
	if r, ok := p.stall(now); ok {
		for _, i := range p.queue.Drop(func(i lacelimit.Item[waiter]) bool { return !r.worth(now, i.Deadline) }) {
			delete(b.waiting, i.Value.ticket)
			decisions = append(decisions, refusal(i.Value.ticket, r.reason, b.spread(r.left)))
		}
		p.starve(now)
		return decisions
	}
	// A request that finds no server shows that those of the same or a lower priority find none either. Without this
	// an overloaded pool would scan its servers once per waiting account.
	full := laceunit.Priority(-1)
	for {
		var decision Decision
		_, ok := p.queue.Pop(func(w waiter) bool {
			if w.request.Priority <= full {
				return false
			}
			d, placed := b.place(now, p, w)
			if !placed && len(w.request.Exclude) == 0 && !w.request.NonIdempotent {
				full = w.request.Priority
			}
			decision = d
			return placed
		})
		if !ok {
			return decisions
		}
		delete(b.waiting, decision.Ticket)
		decisions = append(decisions, decision)
	}
}

func (b *Balancer) drainAll(now time.Time, pools []*pool) []Decision {
	var decisions []Decision
	for _, p := range pools {
		decisions = append(decisions, b.drain(now, p)...)
	}
	return decisions
}

// place sends a request if a server is open to it.
func (b *Balancer) place(now time.Time, p *pool, w waiter) (Decision, bool) {
	s, probe := b.choose(now, p, w.request)
	if s == nil {
		return Decision{}, false
	}
	estimate, age := s.estimate, time.Duration(0)
	if !s.reported.IsZero() {
		age = now.Sub(s.reported)
	}
	s.count(now, 1)
	if probe {
		s.probing = true
	}
	if s.pause != nil {
		s.pause.running++
	}
	if s.pace != nil {
		s.pace.take(now)
	}
	b.flights[w.ticket] = flight{
		server: s,
		pool:   p,
		probe:  probe,
		trial:  s.pause,
		at:     now,
		paced:  s.pace != nil,
	}
	return Decision{
		Ticket:  w.ticket,
		Verdict: Assigned,
		Server:  s.id,
		Address: s.address,

		LoadEstimate: estimate,
		ReportAge:    age,
	}, true
}

// choose returns the server for a request and whether the request is a probe. An ejected server whose rest is over
// gets the next request as its probe, so that it comes back even when the others have room.
func (b *Balancer) choose(now time.Time, p *pool, r Request) (*server, bool) {
	limit := depth + urgency*float64(max(r.Priority, laceunit.PriorityDraft))
	mean := p.view()
	exclude := r.Exclude
	if p.excluded(now, exclude) {
		exclude = nil
	}
	open := b.scratch[:0]
	var suspects, healthy, reported int
	var rested *server
	for _, s := range p.servers {
		if s.leaving || s.pausing(now) || slices.Contains(exclude, s.id) {
			continue
		}
		if s.ejected {
			if !s.probing && !s.restrained() && !s.limited(now) && (rested == nil || s.until.Before(rested.until)) {
				rested = s
			}
			continue
		}
		if s.limited(now) {
			s.pace.demand.LastThrottled = now
			if at, known := s.pace.opening(now); known && at.Before(b.deadline(now, r)) {
				healthy++
			}
			continue
		}
		healthy++
		if now.Sub(s.reported) < fresh {
			reported++
		}
		s.salt = p.order(b.salt)
		s.weigh(now, mean)
		if s.restrained() || s.slots > 0 && s.estimate >= limit*float64(s.slots) {
			continue
		}
		if now.Before(s.suspect) {
			suspects++
		}
		open = append(open, s)
	}
	b.scratch = open
	p.blind = 2*reported < healthy
	// With no healthy server left, waiting for the rest to end would only refuse what a probe might serve.
	if rested != nil && (healthy == 0 || !r.NonIdempotent && !now.Before(rested.until)) {
		return rested, true
	}
	if suspects > 0 && suspects < len(open) {
		open = slices.DeleteFunc(open, func(s *server) bool { return now.Before(s.suspect) })
	}
	if len(open) == 0 {
		return nil, false
	}
	return p.policy.Choose(open, r.Prefix, b.random), false
}

// order returns the salt of the rendezvous order that the pool uses.
func (p *pool) order(salt uint64) uint64 {
	if p.blind {
		return salt
	}
	return 0
}

func (p *pool) view() view {
	n := float64(len(p.servers))
	return view{
		local:  float64(p.local) / n,
		others: p.others / n,
	}
}

// usable reports whether the pool has a server that is not leaving.
func (p *pool) usable() bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return !s.leaving })
}

// excluded reports whether a list names every server that can be used now.
func (p *pool) excluded(now time.Time, list []laceunit.ServerID) bool {
	return len(list) > 0 && !slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.leaving && !s.shut(now) && !slices.Contains(list, s.id)
	})
}

// deadline is when a request no longer waits for a server.
func (b *Balancer) deadline(now time.Time, r Request) time.Time {
	latest := now.Add(b.routing.Wait)
	if r.Deadline.IsZero() || r.Deadline.After(latest) {
		return latest
	}
	return r.Deadline
}

// retryAfter estimates when a request has a chance again: the time the pool needs to serve what waits.
func (b *Balancer) retryAfter(p *pool) time.Duration {
	var slots float64
	for _, s := range p.servers {
		slots += s.Capacity()
	}
	wait := p.latency * float64(p.queue.Len()+1) / max(slots, 1)
	return min(max(time.Duration(wait*float64(time.Second)), 100*time.Millisecond), 30*time.Second)
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
