package lacefleet

import (
	"context"
	"time"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacemember"
)

const (
	// peerDeadline bounds one call to a peer.
	peerDeadline = 2 * time.Second
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

func (s *Service) deliver(ctx context.Context, send lacemember.Send) {
	call, cancel := context.WithTimeout(ctx, peerDeadline)
	defer cancel()
	var answer lacemember.Message
	var err error
	switch {
	case send.To.Holder == s.Self():
		answer, err = s.Receive(call, send.Message)
	case s.transport == nil:
		return
	default:
		answer, err = s.transport.Call(call, send.To, send.Message)
	}
	s.metrics.sent.WithLabelValues(kindOf(send.Message), result(err)).Inc()
	if err == nil && answer != nil {
		s.run(lacemember.Received{Message: answer})
	}
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
		Read:     read.Read,
		Complete: complete,
		Keys:     keys,
	})
}

// flush submits what the journal holds whenever there is a way to the ledger.
func (s *Service) flush(ctx context.Context) {
	if s.journal == nil {
		return
	}
	_ = lacekernel.Every(ctx, s.settings.Probe, func(ctx context.Context) {
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
	ticker := time.NewTicker(s.settings.Probe)
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
