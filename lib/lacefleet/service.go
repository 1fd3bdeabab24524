package lacefleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// effectQueueSize bounds the queued effects; the machine repeats those that are dropped.
	effectQueueSize = 4096
	// dispatcherCount bounds the concurrent calls to peers.
	dispatcherCount = 16
)

// Option configures a service at construction.
type Option func(*Service)

// WithTransport sets the transport to other instances.
func WithTransport(transport Transport) Option { return func(s *Service) { s.transport = transport } }

// WithHistory sets the reader of the ledger; without it the instance never runs non-idempotent requests in an outage.
func WithHistory(history History) Option { return func(s *Service) { s.history = history } }

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(s *Service) { s.logger = logger } }

// WithRegisterer sets where metrics are registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(s *Service) { s.registerer = registerer }
}

// WithRandom sets the random source that selects the members to probe.
func WithRandom(random *rand.Rand) Option { return func(s *Service) { s.random = random } }

// Service is the default Fleet.
type Service struct {
	settings   Settings
	store      laceplatform.Store
	transport  Transport
	journal    Journal
	history    History
	logger     logr.Logger
	registerer prometheus.Registerer
	metrics    *metrics
	random     *rand.Rand
	startTime  time.Time

	mu      sync.Mutex
	machine *lacemember.Machine
	holder  laceunit.Holder
	lease   laceplatform.LeaseID
	// leaseExpiry is the earliest time at which the lease can expire. It and the times below are on the clock of now.
	leaseExpiry time.Duration
	// reachableSince is when the platform became reachable again after the last outage; it is zero before the first
	// one.
	reachableSince    time.Duration
	aliveIncarnations map[laceunit.InstanceID]laceunit.Incarnation
	// missingSince is when the alive keys of members were first seen missing.
	missingSince map[laceunit.Holder]time.Duration
	// removalUnknown reports whether the outcome of the last removal is unknown: its write may still take effect.
	removalUnknown   bool
	inFlight         map[peerRequest]bool
	removalCallbacks []func([]laceunit.Holder)
	changed          chan struct{}
	mode             lacemember.Mode

	effects        chan lacemember.Effect
	platformChecks chan struct{}
	expelled       chan struct{}
	expelOnce      sync.Once
	cancel         context.CancelFunc
	workers        sync.WaitGroup
}

var _ Fleet = (*Service)(nil)

// New returns a service that has not joined the membership yet.
func New(store laceplatform.Store, settings Settings, options ...Option) *Service {
	s := &Service{
		settings:          settings.withDefaults(),
		store:             store,
		logger:            logr.Discard(),
		random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		startTime:         time.Now(),
		aliveIncarnations: map[laceunit.InstanceID]laceunit.Incarnation{},
		missingSince:      map[laceunit.Holder]time.Duration{},
		inFlight:          map[peerRequest]bool{},
		changed:           make(chan struct{}),
		effects:           make(chan lacemember.Effect, effectQueueSize),
		platformChecks:    make(chan struct{}, 1),
		expelled:          make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.metrics = newMetrics(s.registerer)
	return s
}

// AttachJournal sets the offline journal, which is constructed with the service and so can't be an option; call it
// before Join.
func (s *Service) AttachJournal(journal Journal) {
	s.journal = journal
	s.OnRemoved(journal.SealRemoved)
}

// Join obtains an incarnation, joins the membership and starts the background work; it retries until ctx ends.
func (s *Service) Join(ctx context.Context) error {
	if err := s.joinWithRetry(ctx); err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	loops := []func(context.Context){
		s.renewLoop, s.recordWatchLoop, s.aliveWatchLoop, s.removalLoop, s.tickLoop, s.probeLoop, s.flushLoop,
	}
	for range dispatcherCount {
		loops = append(loops, s.dispatchLoop)
	}
	for _, l := range loops {
		s.workers.Go(func() { l(workCtx) })
	}
	return nil
}

// Close stops the background work and waits for it to end; it does not leave the membership.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.workers.Wait()
	return nil
}

// Expelled is closed when the process is no longer a member: it has left, or it was removed and must restart.
func (s *Service) Expelled() <-chan struct{} { return s.expelled }

// Changed returns a channel that is closed at the next change of the record or the mode.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Receive handles a message from another instance and returns the reply, which is nil if there is none.
func (s *Service) Receive(ctx context.Context, message lacemember.Message) (lacemember.Message, error) {
	if ask, ok := message.(lacemember.SealAsk); ok {
		return s.seal(ctx, ask)
	}
	var reply lacemember.Message
	for _, e := range s.step(lacemember.Received{Message: message}) {
		send, ok := e.(lacemember.Send)
		if ok && reply == nil && isReplyTo(message, send.Message) {
			reply = send.Message
			continue
		}
		s.enqueue(e)
	}
	return reply, nil
}

func isReplyTo(request, reply lacemember.Message) bool {
	var ok bool
	switch request.(type) {
	case lacemember.PromiseAsk:
		_, ok = reply.(lacemember.PromiseReply)
	case lacemember.ProbeAsk:
		_, ok = reply.(lacemember.ProbeReply)
	case lacemember.AckAsk:
		_, ok = reply.(lacemember.AckReply)
	}
	return ok
}

func (s *Service) seal(ctx context.Context, request lacemember.SealAsk) (lacemember.Message, error) {
	reply := lacemember.SealReply{
		From: s.Self(),
		Home: request.Home,
	}
	if s.journal == nil {
		return reply, nil
	}
	flushed, err := s.journal.Seal(ctx, request.Home)
	reply.Flushed = flushed && err == nil
	return reply, err
}

// now returns the monotonic time since the service was created.
func (s *Service) now() time.Duration { return time.Since(s.startTime) }

// step passes an input to the machine and returns the resulting effects. It applies record changes, expulsion and mode
// changes itself, before it releases the lock.
func (s *Service) step(input lacemember.Input) []lacemember.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine == nil {
		return nil
	}
	effects := s.machine.Step(s.now(), input)
	for _, e := range effects {
		switch e := e.(type) {
		case lacemember.Adopted:
			for _, c := range s.removalCallbacks {
				if len(e.Removed) > 0 {
					c(e.Removed)
				}
			}
			s.notifyChange()
		case lacemember.Expelled:
			s.expelOnce.Do(func() { close(s.expelled) })
		}
	}
	if mode := s.machine.Mode(s.now()); mode != s.mode {
		s.logger.Info("mode changed", "from", s.mode.String(), "to", mode.String())
		s.mode = mode
		s.notifyChange()
	}
	s.metrics.observe(s.machine, s.mode)
	return effects
}

// handleInput passes an input to the machine and enqueues the resulting effects.
func (s *Service) handleInput(input lacemember.Input) {
	for _, e := range s.step(input) {
		s.enqueue(e)
	}
}

// notifyChange closes the channel that Changed has returned; the lock is held.
func (s *Service) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Authorize implements Fleet.
func (s *Service) Authorize(request laceledger.Request, idempotent bool) lacemember.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine == nil {
		return lacemember.Decision{
			Verdict:    lacemember.Refuse,
			Code:       notJoinedCode,
			RetryAfter: time.Second,
		}
	}
	return s.machine.Authorize(s.now(), request, idempotent)
}

// Abandon implements Fleet.
func (s *Service) Abandon(request laceledger.Request) {
	s.withMachine(func(m *lacemember.Machine) { m.Abandon(request) })
}

// MarkFlushed implements Fleet.
func (s *Service) MarkFlushed(request laceledger.Request) {
	s.withMachine(func(m *lacemember.Machine) { m.MarkFlushed(request) })
}

// withMachine calls a function with the machine under the lock; before Join it does nothing.
func (s *Service) withMachine(access func(*lacemember.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine != nil {
		access(s.machine)
	}
}
