package laceshare

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// reconcileInterval is how often writes are planned and allowances updated while a server has a limit.
	reconcileInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the store, which responds in milliseconds when it is healthy.
	callTimeout = 600 * time.Millisecond
	// releaseAttempts is how many times a stopping instance tries to write a record that others change concurrently.
	releaseAttempts = 3
	// writeQueueSize bounds the queue of pending writes; dropped writes are planned again.
	writeQueueSize = 64
)

// LimitObserver receives the limits that servers announce in their responses.
type LimitObserver interface {
	// ObserveLimit processes the limit in the response to a request that was sent at the given time. It takes effect
	// before ObserveLimit returns.
	ObserveLimit(server Server, sent time.Time, limit laceconn.RateLimit)
}

var _ LimitObserver = (*Service)(nil)

// Enforcer is the load balancer of this instance, which enforces the limits.
type Enforcer interface {
	// Limit sets how much may be sent to a server, Unlimit removes that bound.
	Limit(s Server, a lacebalancer.Allowance)
	Unlimit(s Server)
	// Demand returns the recent demand for a server.
	Demand(s Server) lacebalancer.Demand
}

// Fleet is this instance's view of the instances and the servers.
type Fleet interface {
	// Members returns the instances that accept callers, including this one.
	Members() []laceunit.Holder
	// Live reports whether a process is a member.
	Live(h laceunit.Holder) bool
	// Listed reports whether a server is in the list of backend servers.
	Listed(s Server) bool
	// Age returns the upper bound of the age of this instance's copy of the records.
	Age() time.Duration
}

// Options configure a service.
type Options struct {
	Self  laceunit.Holder
	Store laceplatform.Store
	// Prefix is the key prefix of the records.
	Prefix   laceplatform.Key
	Enforcer Enforcer
	Fleet    Fleet
	// Clock is the clock of the balancer; the default is time.Now.
	Clock   func() time.Time
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Service keeps the requests of this instance within its part of the servers' limits.
type Service struct {
	options Options
	writes  chan Write

	mu        sync.Mutex
	allocator *Allocator
	// loggedState is the last logged state of each server with an allowance.
	loggedState map[Server]string
}

// New returns a service; the caller must run Serve.
func New(options Options) *Service {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	return &Service{
		options:     options,
		writes:      make(chan Write, writeQueueSize),
		allocator:   NewAllocator(options.Clock(), options.Self, rand.IntN),
		loggedState: map[Server]string{},
	}
}

// ObserveLimit implements LimitObserver.
func (s *Service) ObserveLimit(server Server, sent time.Time, limit laceconn.RateLimit) {
	if !limit.Present && !s.hasLimit(server) {
		return
	}
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	changed := false
	if limit.Present {
		changed = s.allocator.ObserveLimit(now, server, sent, limit.Rate)
	} else {
		changed = s.allocator.ObserveNoLimit(now, server, sent)
	}
	if changed {
		s.apply(now, server, age)
	}
}

func (s *Service) hasLimit(server Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.HasLimit(server)
}

// Active reports whether any server has a limit.
func (s *Service) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.allocator.Servers()) > 0
}

// ApplyEntry applies a store entry, or its removal, at the revision of the entry. It doesn't call Fleet, so that the
// copy of the records may be locked meanwhile.
func (s *Service) ApplyEntry(e laceplatform.Entry, removed bool) error {
	server, err := ParseKey(s.options.Prefix, e.Key)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	if removed {
		s.allocator.ApplyRemoval(now, server, e.Revision)
		return nil
	}
	r, err := Decode(e.Value)
	if err != nil {
		s.allocator.ApplyUnreadable(now, server, e.Revision)
		return err
	}
	s.allocator.ApplyRecord(now, server, r, e.Revision)
	return nil
}

// Replace applies a complete listing of the records at a revision, for a copy that is polled instead of watched. It
// returns the last error of an entry; the others are applied anyway.
func (s *Service) Replace(entries []laceplatform.Entry, revision laceplatform.Revision) error {
	var lastErr error
	present := make(map[laceplatform.Key]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if err := s.ApplyEntry(e, false); err != nil {
			lastErr = err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.allocator.Recorded() {
		if !present[Key(s.options.Prefix, server)] {
			s.allocator.ApplyRemoval(s.options.Clock(), server, revision)
		}
	}
	return lastErr
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { s.runWriter(ctx) })
	return lacekernel.RunEvery(ctx, reconcileInterval, func(context.Context) { s.reconcile() })
}

// reconcile plans the writes that are due and updates the allowances of all servers.
func (s *Service) reconcile() {
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	// Another instance may have ended the limit of a server, so that the allocator no longer tracks it.
	for x := range s.loggedState {
		if !s.allocator.HasLimit(x) {
			s.apply(now, x, age)
		}
	}
	servers := s.allocator.Servers()
	if len(servers) == 0 {
		s.options.Metrics.setServers(0)
		return
	}
	for _, w := range s.allocator.Plan(now, s.planInput(age)) {
		select {
		case s.writes <- w:
		default:
			s.options.Metrics.countWrite(w.Cause, resultDropped)
		}
	}
	for _, x := range servers {
		s.apply(now, x, age)
	}
	s.options.Metrics.setServers(len(s.allocator.Servers()))
}

func (s *Service) planInput(age time.Duration) PlanInput {
	f := s.options.Fleet
	return PlanInput{
		Age:     age,
		Members: f.Members(),
		Live:    f.Live,
		Listed:  f.Listed,
		Demand:  s.options.Enforcer.Demand,
	}
}

// apply passes the allowance of a server to the balancer; the lock must be held.
func (s *Service) apply(now time.Time, server Server, age time.Duration) {
	a, ok := s.allocator.Allowance(now, server, age, len(s.options.Fleet.Members()))
	if !ok {
		s.options.Enforcer.Unlimit(server)
		s.options.Metrics.removeServer(server)
		if _, logged := s.loggedState[server]; logged {
			delete(s.loggedState, server)
			s.options.Log.Write(lacelog.RateLimit, lacelog.P(lacelog.ServerID, server.ID), lacelog.P("state", "ended"))
		}
		return
	}
	s.options.Enforcer.Limit(server, a)
	s.options.Metrics.setAllowance(server, a)
	s.logState(server, a, age)
}

// logState logs the allowance of a server when its state has changed.
func (s *Service) logState(server Server, a lacebalancer.Allowance, age time.Duration) {
	state := "part"
	switch {
	case age > MaxStaleness:
		state = "cut_off"
	case a.Rate <= 0:
		state = "no_part"
	}
	if s.loggedState[server] == state {
		return
	}
	s.loggedState[server] = state
	s.options.Log.Write(lacelog.RateLimit, lacelog.P(lacelog.ServerID, server.ID), lacelog.P("state", state),
		lacelog.P("limit", a.Total), lacelog.P("rate", a.Rate), lacelog.P(lacelog.Age, age.Milliseconds()))
}

// runWriter executes the queued writes until the context ends.
func (s *Service) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.writes:
			s.executeWrite(ctx, w)
		}
	}
}

// executeWrite executes one write and applies its result.
func (s *Service) executeWrite(ctx context.Context, w Write) {
	revision, err := s.writeRecord(ctx, w)
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	key := Key(s.options.Prefix, w.Server)
	conflict := &laceplatform.Conflict{}
	switch {
	case err == nil:
		s.allocator.ApplyWrite(now, w, revision)
		s.options.Metrics.countWrite(w.Cause, resultDone)
		s.options.Log.Write(lacelog.RateLimit, lacelog.P(lacelog.ServerID, w.Server.ID), lacelog.P("state", "written"),
			lacelog.P("cause", w.Cause), lacelog.P("limit", w.Record.Limit), lacelog.P("parts", len(w.Record.Parts)),
			lacelog.P("own", w.Record.count(s.options.Self)))
	case errors.As(err, &conflict):
		s.options.Metrics.countWrite(w.Cause, resultConflict)
		s.applyConflict(now, w, conflict.Entry(key))
	case errors.Is(err, laceplatform.ErrConflict):
		// This store doesn't return the current record; the copy of the records will have it.
		s.options.Metrics.countWrite(w.Cause, resultConflict)
	default:
		s.options.Metrics.countWrite(w.Cause, resultFailed)
		if ctx.Err() == nil {
			s.options.Log.Error(err, "failed to write the parts of a rate limit",
				lacelog.P(lacelog.ServerID, w.Server.ID))
		}
	}
	s.apply(now, w.Server, age)
}

// applyConflict applies the current entry of a record, which the store returned for a conflicting write.
func (s *Service) applyConflict(now time.Time, w Write, e laceplatform.Entry) {
	if e.Revision == 0 {
		s.allocator.ApplyRemoval(now, w.Server, w.Expect)
		return
	}
	r, err := Decode(e.Value)
	if err != nil {
		s.options.Log.Error(err, "failed to decode the parts of a rate limit", lacelog.P(lacelog.ServerID, w.Server.ID))
		s.allocator.ApplyUnreadable(now, w.Server, e.Revision)
		return
	}
	s.allocator.ApplyRecord(now, w.Server, r, e.Revision)
}

// writeRecord executes a write as a compare-and-swap or a conditional delete.
func (s *Service) writeRecord(ctx context.Context, w Write) (laceplatform.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := Key(s.options.Prefix, w.Server)
	if w.Remove {
		err := s.options.Store.Delete(callCtx, key, w.Expect)
		if errors.Is(err, laceplatform.ErrMissing) {
			return 0, nil
		}
		return 0, errors.Wrap(err, "share: remove record")
	}
	value, err := Encode(w.Record)
	if err != nil {
		return 0, err
	}
	revision, err := s.options.Store.Swap(callCtx, laceplatform.Swap{
		Key:    key,
		Value:  value,
		Expect: w.Expect,
	})
	return revision, errors.Wrap(err, "share: write record")
}

// Release releases all parts in a planned stop and waits for the writes.
func (s *Service) Release(ctx context.Context) {
	for range releaseAttempts {
		for _, w := range s.planRelease() {
			s.executeWrite(ctx, w)
		}
	}
}

// planRelease returns the writes that release all parts of this instance, which uses none from here on.
func (s *Service) planRelease() []Write {
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.allocator.Stop()
	for _, w := range writes {
		s.apply(s.options.Clock(), w.Server, age)
	}
	return writes
}
