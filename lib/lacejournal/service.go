package lacejournal

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

const (
	// flushBatch bounds the entries of one submission.
	flushBatch = 64
	// flushRounds bounds one Flush; what is left goes with the next one.
	flushRounds = 256
	// dropDeadline bounds the notice that copies may be dropped; a lost notice costs memory until the copy holder
	// flushes the copy itself.
	dropDeadline = 2 * time.Second
	// dropsAtOnce bounds the notices in flight.
	dropsAtOnce = 32
)

// Peer carries entries to other instances.
type Peer interface {
	// Copy gives entries to a copy holder. Its errors are ErrSealed, ErrFull and those of the transport.
	Copy(ctx context.Context, to lacemember.Member, entries []Entry) error
	// Drop tells a copy holder which copies it may forget.
	Drop(ctx context.Context, to lacemember.Member, drops []Drop) error
	// Flush submits entries to the ledger through a member; missing results mean not submitted.
	Flush(ctx context.Context, to lacemember.Member, entries []Entry) ([]laceledger.Result, error)
	// Seal asks a copy holder to seal an owner and reports whether the ledger has all its copies.
	Seal(ctx context.Context, to lacemember.Member, owner laceunit.Holder) (bool, error)
}

// Drop names the start of a request whose copy may be forgotten.
type Drop struct {
	Owner   laceunit.Holder
	Request laceledger.Request
	Serial  uint64
}

// Fleet is what the journal needs of the membership.
type Fleet interface {
	Self() laceunit.Holder
	Record() lacemember.Record
	Reachable() bool
	Contacts() []lacemember.Member
	Flushed(request laceledger.Request)
}

// Service is the offline journal of one instance.
type Service struct {
	fleet   Fleet
	peer    Peer
	ledger  laceledger.Ledger
	metrics *metrics

	mu     sync.Mutex
	book   *State
	closed bool

	flushing sync.Mutex
	drops    chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// New returns a journal; registerer may be nil.
func New(fleet Fleet, peer Peer, ledger laceledger.Ledger, limits Limits, registerer prometheus.Registerer) *Service {
	s := &Service{
		fleet:   fleet,
		peer:    peer,
		ledger:  ledger,
		metrics: newMetrics(registerer),
		book:    NewState(limits),
		drops:   make(chan struct{}, dropsAtOnce),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close ends the background work and waits for it.
func (s *Service) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wait.Wait()
	return nil
}

// Start records a request and returns once enough copy holders have it. On an error the call must not be sent, and the
// entry is gone.
func (s *Service) Start(ctx context.Context, entry Entry, quorum Quorum, targets []lacemember.Member) error {
	s.mu.Lock()
	p, err := s.book.Start(entry, quorum)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := s.copy(ctx, p, targets); err != nil {
		s.Abandon(entry.Record.Request)
		return err
	}
	return nil
}

// Update records another attempt or the end of a request and returns once enough copy holders have it. On an error the
// entry stays as updated, and the end marker must wait until the ledger has it.
func (s *Service) Update(ctx context.Context, record laceledger.Offline) error {
	s.mu.Lock()
	p, err := s.book.Update(record)
	holders := s.book.CopyHolders(record.Request)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.copy(ctx, p, s.members(holders))
}

// Abandon drops a request whose call was certainly not sent.
func (s *Service) Abandon(request laceledger.Request) {
	s.mu.Lock()
	e, holders := s.book.Abandon(request)
	s.mu.Unlock()
	s.drop(e, holders)
}

// Find returns an own entry that the ledger lacks or whose end it lacks.
func (s *Service) Find(request laceledger.Request) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Find(request)
}

// Accept takes copies of another instance's entries.
func (s *Service) Accept(entries []Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		err := s.book.Accept(e)
		s.metrics.copies.WithLabelValues("taken", outcome(err)).Inc()
		if err != nil {
			return err
		}
	}
	s.metrics.observe(s.book)
	return nil
}

// Forget drops copies that their owners no longer need.
func (s *Service) Forget(drops []Drop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range drops {
		s.book.Drop(d.Owner, d.Request, d.Serial)
	}
	s.metrics.observe(s.book)
}

// copy sends a version to all targets at once and returns as soon as it has the copies that it needs.
func (s *Service) copy(ctx context.Context, p VersionedEntry, targets []lacemember.Member) error {
	request := p.Entry.Record.Request
	answers := make(chan bool, len(targets))
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrTooFewCopies
	}
	for _, t := range targets {
		s.book.MarkSent(request, t.Holder)
		s.wait.Go(func() { answers <- s.copyTo(ctx, p, t) })
	}
	s.metrics.observe(s.book)
	s.mu.Unlock()
	for range targets {
		if <-answers {
			return nil
		}
	}
	return errors.Wrapf(ErrTooFewCopies, "%d copy holders asked", len(targets))
}

func (s *Service) copyTo(ctx context.Context, p VersionedEntry, to lacemember.Member) bool {
	err := s.peer.Copy(ctx, to, []Entry{p.Entry})
	s.metrics.copies.WithLabelValues("given", outcome(err)).Inc()
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Acknowledge(p, to.Holder)
}

// drop tells copy holders in the background that they may forget an entry.
func (s *Service) drop(entry Entry, holders []laceunit.Holder) {
	drops := []Drop{{
		Owner:   entry.Owner,
		Request: entry.Record.Request,
		Serial:  entry.Serial,
	}}
	for _, m := range s.members(holders) {
		s.mu.Lock()
		closed := s.closed
		if !closed {
			s.wait.Add(1)
		}
		s.mu.Unlock()
		if closed {
			return
		}
		go func() {
			defer s.wait.Done()
			select {
			case s.drops <- struct{}{}:
				defer func() { <-s.drops }()
			case <-s.ctx.Done():
				return
			}
			ctx, cancel := context.WithTimeout(s.ctx, dropDeadline)
			defer cancel()
			_ = s.peer.Drop(ctx, m, drops)
		}()
	}
}

func (s *Service) members(holders []laceunit.Holder) []lacemember.Member {
	record := s.fleet.Record()
	var members []lacemember.Member
	for _, h := range holders {
		if m, ok := record.Find(h); ok {
			members = append(members, m)
		}
	}
	return members
}
