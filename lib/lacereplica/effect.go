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

// update runs a transition of the replica and performs the resulting effects.
func (s *Service) update(change func() []laceconfig.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, e := range change() {
		switch e := e.(type) {
		case laceconfig.Install:
			// The lock is held, so documents come into force in the order of their versions.
			s.document.Store(&e.Document)
			s.install(e.Document)
		case laceconfig.Reject:
			s.reject(e.Sender, e.Err)
		case laceconfig.Read:
			s.startCall(transferTimeout, func(ctx context.Context) { s.readPlatform(ctx, e.HeadOnly) },
				s.replica.HandleReadFailure)
		case laceconfig.Query:
			p, status, timeout := s.peers[e.To], s.replica.Status(s.now()), transferTimeout
			if e.StatusOnly {
				status.Sender, timeout = laceunit.Holder{}, callTimeout
			}
			s.startCall(timeout, func(ctx context.Context) { s.queryPeer(ctx, e.To, p, status) },
				func() { s.replica.HandleQueryFailure(e.To) })
		case laceconfig.Push:
			m := lacewire.FromConfigMessage(e.Message)
			if proto.Size(m) > maxNotificationBytes {
				m.Delta = nil
			}
			for _, to := range e.To {
				p := s.peers[to]
				s.startCall(callTimeout, func(ctx context.Context) { s.notify(ctx, p, m) }, func() {})
			}
		}
	}
}

// startCall runs a call in a goroutine, or calls rejected, with the lock held, when maxCalls calls are in progress.
func (s *Service) startCall(timeout time.Duration, call func(context.Context), rejected func()) {
	select {
	case s.callSlots <- struct{}{}:
	default:
		rejected()
		return
	}
	s.callGroup.Add(1)
	go func() {
		defer s.callGroup.Done()
		defer func() { <-s.callSlots }()
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		call(ctx)
	}()
}

// sweepIfDue periodically sweeps the source on the lowest-ranked instance of a region. Errors are ignored, since the
// next sweep deletes the same bodies.
func (s *Service) sweepIfDue(rank int) {
	sweeper, ok := s.source.(Sweeper)
	if ok && s.ticks%sweepTicks == 0 && rank == 0 {
		s.startCall(transferTimeout, func(ctx context.Context) { _, _ = sweeper.Sweep(ctx) }, func() {})
	}
	s.ticks++
}

func (s *Service) readPlatform(ctx context.Context, headOnly bool) {
	sentAt := s.now()
	headCtx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, err := s.source.Head(headCtx)
	var snap laceconfig.Snapshot
	if err == nil && !headOnly && head.Version > s.Document().Version {
		snap, err = s.source.Load(ctx, head)
	}
	s.update(func() []laceconfig.Effect {
		if err != nil || (snap.Content == nil && !headOnly && head.Version > s.replica.Version()) {
			s.replica.HandleReadFailure()
			return nil
		}
		return s.replica.HandleRead(sentAt, head.Version, snap.Content)
	})
}

func (s *Service) queryPeer(ctx context.Context, to laceunit.Holder, p Peer, status laceconfig.Status) {
	sentAt := s.now()
	m, err := s.clientFor(p).Exchange(ctx, lacewire.FromConfigStatus(status))
	s.update(func() []laceconfig.Effect {
		if err != nil {
			s.replica.HandleQueryFailure(to)
			return nil
		}
		return s.replica.HandleReply(sentAt, to, lacewire.ToConfigMessage(m))
	})
}

// notify ignores errors: a peer that misses a notification learns of the version from its next exchange.
func (s *Service) notify(ctx context.Context, p Peer, m *lacewire.ConfigMessage) {
	_, _ = s.clientFor(p).Notify(ctx, m)
}

func (s *Service) clientFor(p Peer) lacewire.Config {
	base := string(p.Address)
	if !strings.Contains(base, "://") {
		base = s.scheme + "://" + base
	}
	return lacewire.NewConfigProtobufClient(base, s.client)
}
