package lacereplica

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// do changes the replica and starts the calls that follow from it.
func (s *Service) do(change func() []laceconfig.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, e := range change() {
		switch e := e.(type) {
		case laceconfig.Install:
			// The replica's lock is held, so documents come into force in the order of their versions.
			s.document.Store(&e.Document)
			s.install(e.Document)
		case laceconfig.Reject:
			s.reject(e.Sender, e.Err)
		case laceconfig.Read:
			s.spawn(transferTimeout, func(ctx context.Context) { s.read(ctx, e.HeadOnly) }, s.replica.HandleReadFailure)
		case laceconfig.Query:
			p, status, timeout := s.peers[e.To], s.replica.Status(s.now()), transferTimeout
			if e.StatusOnly {
				status.Sender, timeout = laceunit.Holder{}, callTimeout
			}
			s.spawn(timeout, func(ctx context.Context) { s.ask(ctx, e.To, p, status) }, func() { s.replica.HandleQueryFailure(e.To) })
		case laceconfig.Push:
			m := lacewire.FromMessage(e.Message)
			if proto.Size(m) > noticeBytes {
				m.Delta = nil
			}
			for _, to := range e.To {
				p := s.peers[to]
				s.spawn(callTimeout, func(ctx context.Context) { s.notify(ctx, p, m) }, func() {})
			}
		}
	}
}

// spawn runs a call in its own goroutine within the bound; refused is told, under the lock, that there is no room.
func (s *Service) spawn(timeout time.Duration, call func(context.Context), refused func()) {
	select {
	case s.slots <- struct{}{}:
	default:
		refused()
		return
	}
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		call(ctx)
	}()
}

// sweep lets the first instance of a region sweep the source now and then; a sweep that fails is made up for by the next.
func (s *Service) sweep(rank int) {
	sweeper, ok := s.source.(Sweeper)
	if ok && s.ticks%sweepTicks == 0 && rank == 0 {
		s.spawn(transferTimeout, func(ctx context.Context) { _, _ = sweeper.Sweep(ctx) }, func() {})
	}
	s.ticks++
}

func (s *Service) read(ctx context.Context, short bool) {
	asked := s.now()
	brief, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, err := s.source.Head(brief)
	var snap laceconfig.Snapshot
	if err == nil && !short && head.Version > s.Document().Version {
		snap, err = s.source.Load(ctx, head)
	}
	s.do(func() []laceconfig.Effect {
		if err != nil || (snap.Content == nil && !short && head.Version > s.replica.Version()) {
			s.replica.HandleReadFailure()
			return nil
		}
		return s.replica.HandleRead(asked, head.Version, snap.Content)
	})
}

func (s *Service) ask(ctx context.Context, to laceunit.Holder, p Peer, status laceconfig.Status) {
	asked := s.now()
	m, err := s.dial(p).Exchange(ctx, lacewire.FromStatus(status))
	s.do(func() []laceconfig.Effect {
		if err != nil {
			s.replica.HandleQueryFailure(to)
			return nil
		}
		return s.replica.HandleReply(asked, to, lacewire.ToMessage(m))
	})
}

// notify ignores failures: whoever misses a notice hears of the version by an exchange.
func (s *Service) notify(ctx context.Context, p Peer, m *lacewire.ConfigMessage) {
	_, _ = s.dial(p).Notify(ctx, m)
}

func (s *Service) dial(p Peer) lacewire.Config {
	base := string(p.Address)
	if !strings.Contains(base, "://") {
		base = s.scheme + "://" + base
	}
	return lacewire.NewConfigProtobufClient(base, s.client)
}
