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
	// maxBatchEntries limits the entries of one submission.
	maxBatchEntries = 64
	// maxFlushBatches limits the batches of one flush; the next flush submits the remaining entries.
	maxFlushBatches = 256
	// dropTimeout is the timeout of a notification that copies may be dropped. If a notification is lost, the copy uses
	// memory until the copy holder flushes it.
	dropTimeout = 2 * time.Second
	// maxConcurrentDrops limits the notifications in flight.
	maxConcurrentDrops = 32
)

// Peer sends journal calls to other instances.
type Peer interface {
	// Copy sends entries to a copy holder. Its errors are ErrSealed, ErrFull, ErrNotFound and those of the transport.
	Copy(ctx context.Context, to lacemember.Member, entries []Entry) error
	// Drop notifies a copy holder of the copies that it may delete.
	Drop(ctx context.Context, to lacemember.Member, drops []Drop) error
	// Flush submits entries to the ledger through a member; entries without a result were not submitted.
	Flush(ctx context.Context, to lacemember.Member, entries []Entry) ([]laceledger.Result, error)
	// Seal asks a copy holder to seal an owner and reports whether the ledger has all its copies.
	Seal(ctx context.Context, to lacemember.Member, owner laceunit.Holder) (bool, error)
}

// Drop identifies the start of a request whose copy may be deleted.
type Drop struct {
	Owner   laceunit.Holder
	Request laceledger.Request
	Serial  uint64
}

// Fleet is the part of the membership service that the journal uses.
type Fleet interface {
	Self() laceunit.Holder
	Record() lacemember.Record
	PlatformReachable() bool
	PeersWithPlatform() []lacemember.Member
	MarkFlushed(request laceledger.Request)
}

// Service is the offline journal of one instance.
type Service struct {
	fleet   Fleet
	peer    Peer
	ledger  laceledger.Ledger
	metrics *metrics

	mu     sync.Mutex
	state  *State
	closed bool

	flushing   sync.Mutex
	dropSlots  chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New returns a journal; registerer may be nil.
func New(fleet Fleet, peer Peer, ledger laceledger.Ledger, limits Limits, registerer prometheus.Registerer) *Service {
	s := &Service{
		fleet:     fleet,
		peer:      peer,
		ledger:    ledger,
		metrics:   newMetrics(registerer),
		state:     NewState(limits),
		dropSlots: make(chan struct{}, maxConcurrentDrops),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close cancels the background work and waits until it has ended.
func (s *Service) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.background.Wait()
	return nil
}

// Start adds an entry and returns when its quorum of copy holders has acknowledged it. On an error the call must not be
// sent, and the entry is deleted.
func (s *Service) Start(ctx context.Context, entry Entry, quorum Quorum, targets []lacemember.Member) error {
	s.mu.Lock()
	v, err := s.state.Start(entry, quorum)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := s.copy(ctx, v, targets); err != nil {
		s.Abandon(entry.Record.Request)
		return err
	}
	return nil
}

// Update records another attempt or the end of a request and returns when its quorum of copy holders has acknowledged
// it. On an error the entry stays updated, and the end marker must not be sent until the ledger has the entry.
func (s *Service) Update(ctx context.Context, record laceledger.Offline) error {
	s.mu.Lock()
	v, err := s.state.Update(record)
	holders := s.state.CopyHolders(record.Request)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.copy(ctx, v, s.members(holders))
}

// Abandon deletes the entry of a request whose call was definitely not sent.
func (s *Service) Abandon(request laceledger.Request) {
	s.mu.Lock()
	e, holders := s.state.Abandon(request)
	s.mu.Unlock()
	s.notifyDrop(e, holders)
}

// Find returns an own entry that is not in the ledger yet, or only without its end.
func (s *Service) Find(request laceledger.Request) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Find(request)
}

// Accept stores copies of another instance's entries.
func (s *Service) Accept(entries []Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		err := s.state.Accept(e)
		s.metrics.copies.WithLabelValues("taken", resultLabel(err)).Inc()
		if err != nil {
			return err
		}
	}
	s.metrics.observe(s.state)
	return nil
}

// Forget deletes copies that their owners no longer need.
func (s *Service) Forget(drops []Drop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range drops {
		s.state.Drop(d.Owner, d.Request, d.Serial)
	}
	s.metrics.observe(s.state)
}

// copy sends a version of an entry to all targets concurrently and returns as soon as it has its quorum of copies.
func (s *Service) copy(ctx context.Context, v VersionedEntry, targets []lacemember.Member) error {
	request := v.Entry.Record.Request
	acks := make(chan bool, len(targets))
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrTooFewCopies
	}
	for _, t := range targets {
		s.state.MarkSent(request, t.Holder)
		s.background.Go(func() { acks <- s.copyTo(ctx, v, t) })
	}
	s.metrics.observe(s.state)
	s.mu.Unlock()
	for range targets {
		if <-acks {
			return nil
		}
	}
	return errors.Wrapf(ErrTooFewCopies, "sent to %d copy holders", len(targets))
}

func (s *Service) copyTo(ctx context.Context, v VersionedEntry, to lacemember.Member) bool {
	err := s.peer.Copy(ctx, to, []Entry{v.Entry})
	s.metrics.copies.WithLabelValues("given", resultLabel(err)).Inc()
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Acknowledge(v, to.Holder)
}

// notifyDrop notifies copy holders in the background that they may delete an entry.
func (s *Service) notifyDrop(entry Entry, holders []laceunit.Holder) {
	drops := []Drop{{
		Owner:   entry.Owner,
		Request: entry.Record.Request,
		Serial:  entry.Serial,
	}}
	for _, m := range s.members(holders) {
		s.mu.Lock()
		closed := s.closed
		if !closed {
			s.background.Add(1)
		}
		s.mu.Unlock()
		if closed {
			return
		}
		go func() {
			defer s.background.Done()
			select {
			case s.dropSlots <- struct{}{}:
				defer func() { <-s.dropSlots }()
			case <-s.ctx.Done():
				return
			}
			ctx, cancel := context.WithTimeout(s.ctx, dropTimeout)
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
