package lacefleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

const (
	// peerTimeout bounds one call to a peer; the transport ends a call to an unresponsive peer sooner. Replies grow
	// with the fleet and with the number of started requests, and a reply that times out is requested again.
	peerTimeout = 30 * time.Second
	// tickInterval is the resolution of the machine's timers.
	tickInterval = 250 * time.Millisecond
	// lostProbeCount is how many members are probed in each interval while the platform is lost.
	lostProbeCount = 4
	// reachableProbeStride is the number of intervals per probe while the platform is reachable. The watch delivers the
	// same updates then, and one probe a second would take a fifth of the 4 KB/s that a node has.
	reachableProbeStride = 4
	// ledgerTimeout bounds one flush of the journal and one read of the ledger.
	ledgerTimeout = 30 * time.Second
)

// enqueue queues an effect for the dispatchers. If the queue is full it drops the effect; the machine's timers repeat
// it.
func (s *Service) enqueue(effect lacemember.Effect) {
	select {
	case s.effects <- effect:
	default:
		s.metrics.droppedEffects.Inc()
	}
}

func (s *Service) dispatchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.effects:
			s.execute(ctx, e)
		}
	}
}

func (s *Service) execute(ctx context.Context, effect lacemember.Effect) {
	switch e := effect.(type) {
	case lacemember.Send:
		s.deliver(ctx, e)
	case lacemember.FlushJournal:
		if s.journal != nil {
			flushCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
			defer cancel()
			_ = s.journal.Flush(flushCtx)
		}
	case lacemember.ReadHistory:
		s.readHistory(ctx, e)
	}
}

// errNotSent means that there is no transport, or that the same request to the same peer is still in flight.
var errNotSent = errors.New("fleet: message not sent")

// peerRequest identifies a request in flight.
type peerRequest struct {
	to   laceunit.Holder
	kind string
}

// beginRequest reports whether a request may be sent, and if so marks it as in flight. The machine repeats unanswered
// requests each second. A reply may be large, and a second reply of the same member would take bandwidth from the
// first.
func (s *Service) beginRequest(r peerRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[r] {
		return false
	}
	s.inFlight[r] = true
	return true
}

func (s *Service) endRequest(r peerRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
}

func (s *Service) deliver(ctx context.Context, send lacemember.Send) {
	reply, err := s.call(ctx, send)
	if errors.Is(err, errNotSent) {
		return
	}
	s.metrics.messages.WithLabelValues(messageKind(send.Message), resultLabel(err)).Inc()
	if err == nil && reply != nil {
		s.handleInput(lacemember.Received{Message: reply})
	}
}

// call sends a message to a member, which may be this instance itself, and returns the reply.
func (s *Service) call(ctx context.Context, send lacemember.Send) (lacemember.Message, error) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if send.To.Holder == s.Self() {
		return s.Receive(callCtx, send.Message)
	}
	if s.transport == nil {
		return nil, errNotSent
	}
	switch send.Message.(type) {
	case lacemember.PromiseAsk, lacemember.AckAsk, lacemember.ProbeAsk:
		r := peerRequest{
			to:   send.To.Holder,
			kind: messageKind(send.Message),
		}
		if !s.beginRequest(r) {
			return nil, errNotSent
		}
		// The request ends before the machine handles the reply, which may cause the same request again.
		defer s.endRequest(r)
	}
	return s.transport.Call(callCtx, send.To, send.Message)
}

func (s *Service) readHistory(ctx context.Context, read lacemember.ReadHistory) {
	if s.history == nil {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	requests, complete, err := s.history.Retained(readCtx, read.Members)
	if err != nil {
		return
	}
	keys := make([]lacemember.Key, 0, len(requests))
	for _, r := range requests {
		keys = append(keys, lacemember.KeyOf(r))
	}
	s.handleInput(lacemember.HistoryRead{
		ReadID:   read.ReadID,
		Complete: complete,
		Keys:     keys,
	})
}

// flushLoop flushes the journal periodically while the ledger is reachable, directly or through a peer.
func (s *Service) flushLoop(ctx context.Context) {
	if s.journal == nil {
		return
	}
	_ = lacekernel.RunEvery(ctx, s.settings.ProbeInterval, func(ctx context.Context) {
		if s.PlatformReachable() || len(s.PeersWithPlatform()) > 0 {
			s.execute(ctx, lacemember.FlushJournal{})
		}
	})
}

func (s *Service) tickLoop(ctx context.Context) {
	_ = lacekernel.RunEvery(ctx, tickInterval, func(context.Context) {
		s.handleInput(lacemember.Tick{})
	})
}

// probeLoop probes a bounded number of random members. While the platform is reachable, it probes one member every
// reachableProbeStride intervals, which spreads epochs and releases; while it is lost, lostProbeCount members in each
// interval, to find a peer that reaches the platform.
func (s *Service) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(s.settings.ProbeInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		changed := s.Changed()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
			if s.Mode() != lacemember.ModeLost {
				continue
			}
		}
		peers := s.Peers()
		count := 1
		if !s.PlatformReachable() {
			count = lostProbeCount
		} else if round%reachableProbeStride > 0 {
			continue
		}
		for _, i := range s.random.Perm(len(peers))[:min(count, len(peers))] {
			s.enqueue(lacemember.Send{
				To: peers[i],
				Message: lacemember.ProbeAsk{
					From:  s.Self(),
					Epoch: s.Record().Epoch,
				},
			})
		}
	}
}
