package lacegateway

import (
	"context"
	"time"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

// Selector runs the load balancer of an instance; it implements Picker.
type Selector struct {
	runner   *deciderRunner[lacebalancer.Ticket, lacebalancer.Decision]
	balancer *lacebalancer.Balancer
	now      func() time.Time
	// limitObserver receives the rate limits that servers announce; it may be nil. The runner's mutex guards it.
	limitObserver laceshare.LimitObserver
	// servers are the configured backend servers; the runner's mutex guards them.
	servers map[laceunit.ServerID]laceconfig.Server
}

// NewSelector returns a selector that uses a balancer.
func NewSelector(balancer *lacebalancer.Balancer, now func() time.Time) *Selector {
	return &Selector{
		runner: newRunner[lacebalancer.Ticket, lacebalancer.Decision](balancer, func(d lacebalancer.Decision) lacebalancer.Ticket {
			return d.Ticket
		}),
		balancer: balancer,
		now:      now,
	}
}

// Serve makes the decisions that depend on time, such as timeouts of queued requests, until the context ends.
func (s *Selector) Serve(ctx context.Context) error {
	return s.runner.serve(ctx, s.now)
}

// Do runs a function on the balancer and delivers the decisions that it returns; the feed and configuration updates use
// it.
func (s *Selector) Do(step func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.runner.deliver(step(s.balancer, s.now()))
}

// Pick implements Picker.
func (s *Selector) Pick(ctx context.Context, request PickRequest) (PickResult, *lacefault.Fault) {
	if t, ok := s.preferredServer(request.Prefer); ok {
		return t, nil
	}
	balancerRequest := lacebalancer.Request{
		Pool:          lacebalancer.ModelPool(request.Model),
		Account:       request.Account,
		Priority:      request.Priority,
		Prefix:        uint64(request.Prefix),
		Exclude:       request.Exclude,
		NonIdempotent: request.NonIdempotent,
		Retry:         request.Retry,
	}
	if request.Service != "" {
		balancerRequest.Pool = lacebalancer.ServicePool(request.Service)
	}
	now := s.now()
	r := s.runner
	r.mu.Lock()
	decision, others := s.balancer.Pick(now, balancerRequest)
	r.deliver(others)
	if decision.Verdict == lacebalancer.Waiting {
		c := r.register(decision.Ticket)
		r.mu.Unlock()
		decision = r.wait(ctx, decision.Ticket, c, s.balancer.Cancel, lacebalancer.Decision{
			Ticket:  decision.Ticket,
			Verdict: lacebalancer.Refused,
			Reason:  lacebalancer.DeadlineExceeded,
		})
	} else {
		r.mu.Unlock()
	}
	if decision.Verdict != lacebalancer.Assigned {
		return PickResult{}, pickFault(decision)
	}
	return s.pickResult(decision), nil
}

// preferredServer returns the server that already runs the request. It bypasses the balancer, so that the request is
// counted at the server only once.
func (s *Selector) preferredServer(id laceunit.ServerID) (PickResult, bool) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	server, ok := s.servers[id]
	if !ok {
		return PickResult{}, false
	}
	return PickResult{
		Server:    id,
		Address:   server.Address,
		Done:      func(AttemptResult) {},
		IsBlocked: func() bool { return !s.hasVersion(id, server.Version) },
	}, true
}

func (s *Selector) pickResult(decision lacebalancer.Decision) PickResult {
	assignedAt := s.now()
	version := s.version(decision.Server)
	return PickResult{
		Server:  decision.Server,
		Address: decision.Address,
		Done: func(result AttemptResult) {
			s.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
				if result == ResultOverrun {
					b.MarkSuspect(now, decision.Server)
				}
				return b.Done(now, decision.Ticket, balancerResult(result), now.Sub(assignedAt))
			})
		},
		OnNotice:  func(notice lacebackend.Notice) { s.handleNotice(decision.Ticket, notice) },
		IsBlocked: func() bool { return s.isBlocked(decision.Ticket) || !s.hasVersion(decision.Server, version) },
	}
}

// handleNotice applies what a response header says about the state of its server to the balancer.
func (s *Selector) handleNotice(ticket lacebalancer.Ticket, notice lacebackend.Notice) {
	s.reportLimit(ticket, notice.Limit)
	s.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
		var decisions []lacebalancer.Decision
		if notice.Leaving {
			_, decisions = b.MarkLeaving(now, ticket)
		}
		if notice.Pause <= 0 {
			return append(decisions, b.ResponseStarted(now, ticket)...)
		}
		_, more := b.Pause(now, ticket, notice.Pause)
		return append(decisions, more...)
	})
}

// version returns the software version of a server; empty if it is not known.
func (s *Selector) version(id laceunit.ServerID) laceunit.SoftwareVersion {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	return s.servers[id].Version
}

// hasVersion reports whether a server still has a software version. A stream that another one has begun can't be resumed
// there; a server that is no longer listed may complete its streams.
func (s *Selector) hasVersion(id laceunit.ServerID, version laceunit.SoftwareVersion) bool {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	server, ok := s.servers[id]
	return !ok || server.Version == version
}

// isBlocked reports whether an assigned request must no longer be sent to its server.
func (s *Selector) isBlocked(ticket lacebalancer.Ticket) bool {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	return s.balancer.BlockReason(s.now(), ticket) != lacebalancer.BlockNone
}

func balancerResult(result AttemptResult) lacebalancer.Result {
	switch result {
	case ResultSuccess, ResultOverrun:
		return lacebalancer.Success
	case ResultFailure:
		return lacebalancer.Failure
	default:
		return lacebalancer.Neutral
	}
}

func pickFault(d lacebalancer.Decision) *lacefault.Fault {
	f := refusal(lacefault.Overloaded, "no backend server has room for the request")
	f.RetryAfter = d.RetryAfter
	switch d.Reason {
	case lacebalancer.NoServer:
		f.Code, f.Message = lacefault.NoBackendServer, "no backend server for the request is usable"
	case lacebalancer.Paused:
		f.Message = "all backend servers for the request have asked for a pause"
	case lacebalancer.RateLimited:
		f.Message = "all backend servers for the request get as many requests as they have said they take"
	case lacebalancer.RetryBudgetExhausted:
		f.Code, f.Message = lacefault.BackendServerFailed, "the backend server failed and the retry budget is spent"
	}
	return f
}

// Configure applies the routing settings and the server addresses of a configuration document. The balancer gets its
// servers from the feed, which also detects leaving servers.
func (s *Selector) Configure(d *laceconfig.Document) {
	s.Do(func(b *lacebalancer.Balancer, _ time.Time) []lacebalancer.Decision {
		s.servers = d.Servers
		// Documents are validated before they are accepted, so the policy is known and Configure can't fail.
		_ = b.Configure(d.Routing)
		return nil
	})
}
