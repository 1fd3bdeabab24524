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

// Selector runs the balancer of an instance; it implements Picker.
type Selector struct {
	board    *board[lacebalancer.Ticket, lacebalancer.Decision]
	balancer *lacebalancer.Balancer
	now      func() time.Time
	// shares is told what answers say about the limits of their servers; nil for nobody. The board's mutex guards it.
	shares laceshare.LimitObserver
	// servers are the usable backend servers; the board's mutex guards them.
	servers map[laceunit.ServerID]laceconfig.Server
}

// NewSelector returns a selector over a balancer.
func NewSelector(balancer *lacebalancer.Balancer, now func() time.Time) *Selector {
	return &Selector{
		board: newBoard[lacebalancer.Ticket, lacebalancer.Decision](balancer, func(d lacebalancer.Decision) lacebalancer.Ticket {
			return d.Ticket
		}),
		balancer: balancer,
		now:      now,
	}
}

// Serve decides what time decides until the context ends.
func (s *Selector) Serve(ctx context.Context) error {
	return s.board.serve(ctx, s.now)
}

// Do runs a step on the balancer and delivers the decisions that it frees; feeds and new documents use it.
func (s *Selector) Do(step func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision) {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	s.board.deliver(step(s.balancer, s.now()))
}

// Pick implements Picker.
func (s *Selector) Pick(ctx context.Context, choice PickRequest) (PickResult, *lacefault.Fault) {
	if t, ok := s.prefer(choice.Prefer); ok {
		return t, nil
	}
	request := lacebalancer.Request{
		Pool:          lacebalancer.ModelPool(choice.Model),
		Account:       choice.Account,
		Priority:      choice.Priority,
		Prefix:        uint64(choice.Prefix),
		Exclude:       choice.Exclude,
		NonIdempotent: choice.NonIdempotent,
		Retry:         choice.Retry,
	}
	if choice.Service != "" {
		request.Pool = lacebalancer.ServicePool(choice.Service)
	}
	began := s.now()
	b := s.board
	b.mu.Lock()
	decision, others := s.balancer.Pick(began, request)
	b.deliver(others)
	if decision.Verdict == lacebalancer.Waiting {
		c := b.await(decision.Ticket)
		b.mu.Unlock()
		decision = b.wait(ctx, decision.Ticket, c, s.balancer.Cancel, lacebalancer.Decision{
			Ticket:  decision.Ticket,
			Verdict: lacebalancer.Refused,
			Reason:  lacebalancer.DeadlineExceeded,
		})
	} else {
		b.mu.Unlock()
	}
	if decision.Verdict != lacebalancer.Assigned {
		return PickResult{}, selectFault(decision)
	}
	return s.ticket(decision), nil
}

// prefer returns a ticket for the server that already runs the request; the balancer counts it there once only.
func (s *Selector) prefer(id laceunit.ServerID) (PickResult, bool) {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	server, ok := s.servers[id]
	if !ok {
		return PickResult{}, false
	}
	return PickResult{
		Server:  id,
		Address: server.Address,
		Done:    func(AttemptResult) {},
	}, true
}

func (s *Selector) ticket(decision lacebalancer.Decision) PickResult {
	sent := s.now()
	return PickResult{
		Server:  decision.Server,
		Address: decision.Address,
		Done: func(result AttemptResult) {
			s.Do(func(b *lacebalancer.Balancer, now time.Time) []lacebalancer.Decision {
				if result == ResultOverrun {
					b.MarkSuspect(now, decision.Server)
				}
				return b.Done(now, decision.Ticket, balancerResult(result), now.Sub(sent))
			})
		},
		OnNotice:  func(notice lacebackend.Notice) { s.notice(decision.Ticket, notice) },
		IsBlocked: func() bool { return s.held(decision.Ticket) },
	}
}

// notice tells the balancer what an answer says about its server.
func (s *Selector) notice(ticket lacebalancer.Ticket, notice lacebackend.Notice) {
	s.limit(ticket, notice.Limit)
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

// held reports whether a server must not get a request that was meant for it.
func (s *Selector) held(ticket lacebalancer.Ticket) bool {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
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

func selectFault(d lacebalancer.Decision) *lacefault.Fault {
	f := refusal(lacefault.Overloaded, "no backend server has room for the request")
	f.RetryAfter = d.RetryAfter
	switch d.Reason {
	case lacebalancer.NoServer:
		f.Code, f.Message = lacefault.NoServer, "no backend server for the request is usable"
	case lacebalancer.Paused:
		f.Message = "all backend servers for the request have asked for a pause"
	case lacebalancer.RateLimited:
		f.Message = "all backend servers for the request get as many requests as they have said they take"
	case lacebalancer.RetryBudgetExhausted:
		f.Code, f.Message = lacefault.ServerFailed, "the backend server failed and the retry budget is spent"
	}
	return f
}

// Configure takes over the routing settings and the addresses of a document. The feed tells the balancer about the
// servers themselves, because it knows which of them are leaving.
func (s *Selector) Configure(d *laceconfig.Document) {
	s.Do(func(b *lacebalancer.Balancer, _ time.Time) []lacebalancer.Decision {
		s.servers = d.Servers
		// Documents are validated before they are accepted, so an unknown policy can't be in force.
		_ = b.Configure(d.Routing)
		return nil
	})
}
