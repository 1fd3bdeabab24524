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
	// sendQueue bounds the effects that wait; the machine repeats what is dropped.
	sendQueue = 4096
	// senders bounds the concurrent calls to peers.
	senders = 16
)

// Option changes a service at construction.
type Option func(*Service)

// WithTransport sets the way to other instances.
func WithTransport(transport Transport) Option { return func(s *Service) { s.transport = transport } }

// WithHistory sets the reader of the ledger; without it the instance never runs non-idempotent requests in an outage.
func WithHistory(history History) Option { return func(s *Service) { s.history = history } }

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(s *Service) { s.logger = logger } }

// WithRegisterer sets where metrics are registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(s *Service) { s.registerer = registerer }
}

// WithRandom sets the source that chooses the probed members.
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
	start      time.Time

	mu      sync.Mutex
	machine *lacemember.Machine
	holder  laceunit.Holder
	lease   laceplatform.LeaseID
	valid   time.Duration
	contact time.Duration
	alive   map[laceunit.InstanceID]laceunit.Incarnation
	missing map[laceunit.Holder]time.Duration
	unknown bool
	asking  map[question]bool
	told    []func([]laceunit.Holder)
	changed chan struct{}
	mode    lacemember.Mode

	effects  chan lacemember.Effect
	suspect  chan struct{}
	expelled chan struct{}
	expel    sync.Once
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

var _ Fleet = (*Service)(nil)

// New returns a service that has not joined.
func New(store laceplatform.Store, settings Settings, options ...Option) *Service {
	s := &Service{
		settings: settings.withDefaults(),
		store:    store,
		logger:   logr.Discard(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		start:    time.Now(),
		alive:    map[laceunit.InstanceID]laceunit.Incarnation{},
		missing:  map[laceunit.Holder]time.Duration{},
		asking:   map[question]bool{},
		changed:  make(chan struct{}),
		effects:  make(chan lacemember.Effect, sendQueue),
		suspect:  make(chan struct{}, 1),
		expelled: make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.metrics = newMetrics(s.registerer)
	return s
}

// Attach sets the offline journal, which needs the service itself; it must be called before Join.
func (s *Service) AttachJournal(journal Journal) {
	s.journal = journal
	s.OnRemoved(journal.SealRemoved)
}

// Join draws an incarnation, joins the membership and starts the background work; it retries until ctx ends.
func (s *Service) Join(ctx context.Context) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	loops := []func(context.Context){s.keep, s.follow, s.followAlive, s.sweep, s.tick, s.probe, s.flush}
	for range senders {
		loops = append(loops, s.dispatch)
	}
	for _, l := range loops {
		s.wait.Go(func() { l(inner) })
	}
	return nil
}

// Close stops the background work and waits for it; it leaves the membership as it is.
func (s *Service) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.wait.Wait()
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

// Receive takes a message from another instance and returns the answer, which is nil where there is none.
func (s *Service) Receive(ctx context.Context, message lacemember.Message) (lacemember.Message, error) {
	if seal, ok := message.(lacemember.SealAsk); ok {
		return s.seal(ctx, seal)
	}
	var answer lacemember.Message
	for _, e := range s.step(lacemember.Received{Message: message}) {
		send, ok := e.(lacemember.Send)
		if ok && answer == nil && answers(message, send.Message) {
			answer = send.Message
			continue
		}
		s.enqueue(e)
	}
	return answer, nil
}

func answers(ask, reply lacemember.Message) bool {
	var ok bool
	switch ask.(type) {
	case lacemember.PromiseAsk:
		_, ok = reply.(lacemember.PromiseReply)
	case lacemember.ProbeAsk:
		_, ok = reply.(lacemember.ProbeReply)
	case lacemember.AckAsk:
		_, ok = reply.(lacemember.AckReply)
	}
	return ok
}

func (s *Service) seal(ctx context.Context, ask lacemember.SealAsk) (lacemember.Message, error) {
	reply := lacemember.SealReply{
		From: s.Self(),
		Home: ask.Home,
	}
	if s.journal == nil {
		return reply, nil
	}
	flushed, err := s.journal.Seal(ctx, ask.Home)
	reply.Flushed = flushed && err == nil
	return reply, err
}

func (s *Service) now() time.Duration { return time.Since(s.start) }

// step runs the machine under the lock and handles what must be seen at once.
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
			for _, t := range s.told {
				if len(e.Removed) > 0 {
					t(e.Removed)
				}
			}
			s.notify()
		case lacemember.Expelled:
			s.expel.Do(func() { close(s.expelled) })
		}
	}
	if mode := s.machine.Mode(s.now()); mode != s.mode {
		s.logger.Info("mode changed", "from", s.mode.String(), "to", mode.String())
		s.mode = mode
		s.notify()
	}
	s.metrics.observe(s.machine, s.mode)
	return effects
}

// run steps the machine and queues the effects.
func (s *Service) run(input lacemember.Input) {
	for _, e := range s.step(input) {
		s.enqueue(e)
	}
}

func (s *Service) notify() {
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
			Code:       notJoined,
			RetryAfter: time.Second,
		}
	}
	return s.machine.Authorize(s.now(), request, idempotent)
}

// Abandon implements Fleet.
func (s *Service) Abandon(request laceledger.Request) {
	s.with(func(m *lacemember.Machine) { m.Abandon(request) })
}

// Flushed implements Fleet.
func (s *Service) Flushed(request laceledger.Request) {
	s.with(func(m *lacemember.Machine) { m.MarkFlushed(request) })
}

func (s *Service) with(use func(*lacemember.Machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine != nil {
		use(s.machine)
	}
}
