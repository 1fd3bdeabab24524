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
	// peerDeadline bounds one call to a peer; the transport ends a silent one before. Answers grow with the fleet and the
	// requests that have been started, and an answer that is given up is asked for again.
	peerDeadline = 30 * time.Second
	// tickEvery is the resolution of the machine's timers.
	tickEvery = 250 * time.Millisecond
	// lostProbes is how many members are probed in each interval while the platform is lost.
	lostProbes = 4
	// calmProbe is how many intervals pass between probes while the platform is within reach. The watch carries the
	// same news then, and one probe a second would take a fifth of the 4 KB/s that a node has.
	calmProbe = 4
	// workDeadline bounds one flush of the journal and one read of the ledger.
	workDeadline = 30 * time.Second
)

// enqueue hands an effect to the senders; a full queue drops it, and the machine's timers repeat it.
func (s *Service) enqueue(effect lacemember.Effect) {
	select {
	case s.effects <- effect:
	default:
		s.metrics.dropped.Inc()
	}
}

func (s *Service) dispatch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.effects:
			s.carry(ctx, e)
		}
	}
}

func (s *Service) carry(ctx context.Context, effect lacemember.Effect) {
	switch e := effect.(type) {
	case lacemember.Send:
		s.deliver(ctx, e)
	case lacemember.FlushJournal:
		if s.journal != nil {
			call, cancel := context.WithTimeout(ctx, workDeadline)
			defer cancel()
			_ = s.journal.Flush(call)
		}
	case lacemember.ReadHistory:
		s.readHistory(ctx, e)
	}
}

// errNotSent means that there is no way to other instances, or that the same question is under way.
var errNotSent = errors.New("fleet: message not sent")

// question is one that is under way; its answer may be large.
type question struct {
	to   laceunit.Holder
	kind string
}

// begin reports whether a message is to be sent. The machine repeats questions each second, and a second answer of the same
// member would take the link from the first.
func (s *Service) begin(q question) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[q] {
		return false
	}
	s.asking[q] = true
	return true
}

func (s *Service) end(q question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking, q)
}

func (s *Service) deliver(ctx context.Context, send lacemember.Send) {
	answer, err := s.call(ctx, send)
	if errors.Is(err, errNotSent) {
		return
	}
	s.metrics.sent.WithLabelValues(kindOf(send.Message), result(err)).Inc()
	if err == nil && answer != nil {
		s.run(lacemember.Received{Message: answer})
	}
}

// call sends a message to a member, which may be this one.
func (s *Service) call(ctx context.Context, send lacemember.Send) (lacemember.Message, error) {
	call, cancel := context.WithTimeout(ctx, peerDeadline)
	defer cancel()
	if send.To.Holder == s.Self() {
		return s.Receive(call, send.Message)
	}
	if s.transport == nil {
		return nil, errNotSent
	}
	switch send.Message.(type) {
	case lacemember.PromiseAsk, lacemember.AckAsk, lacemember.ProbeAsk:
		q := question{
			to:   send.To.Holder,
			kind: kindOf(send.Message),
		}
		if !s.begin(q) {
			return nil, errNotSent
		}
		// Before the machine takes the answer, because of which it may ask again.
		defer s.end(q)
	}
	return s.transport.Call(call, send.To, send.Message)
}

func (s *Service) readHistory(ctx context.Context, read lacemember.ReadHistory) {
	if s.history == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, workDeadline)
	defer cancel()
	requests, complete, err := s.history.Retained(call, read.Members)
	if err != nil {
		return
	}
	keys := make([]lacemember.Key, 0, len(requests))
	for _, r := range requests {
		keys = append(keys, lacemember.KeyOf(r))
	}
	s.run(lacemember.HistoryRead{
		ReadID:   read.ReadID,
		Complete: complete,
		Keys:     keys,
	})
}

// flush submits what the journal holds whenever there is a way to the ledger.
func (s *Service) flush(ctx context.Context) {
	if s.journal == nil {
		return
	}
	_ = lacekernel.Every(ctx, s.settings.ProbeInterval, func(ctx context.Context) {
		if s.Reachable() || len(s.Contacts()) > 0 {
			s.carry(ctx, lacemember.FlushJournal{})
		}
	})
}

func (s *Service) tick(ctx context.Context) {
	_ = lacekernel.Every(ctx, tickEvery, func(context.Context) {
		s.run(lacemember.Tick{})
	})
}

// probe asks a bounded number of random members: one in each few intervals while the platform is within reach, which
// spreads epochs and releases, and a few in each while it is lost, which finds a peer with contact.
func (s *Service) probe(ctx context.Context) {
	ticker := time.NewTicker(s.settings.ProbeInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
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
		if !s.Reachable() {
			count = lostProbes
		} else if turn%calmProbe > 0 {
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
