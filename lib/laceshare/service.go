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
	// stepInterval is how often the parts are looked at while a server has a limit.
	stepInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the store, which answers in milliseconds when it is well.
	callTimeout = 600 * time.Millisecond
	// releaseTries is how often a stopping instance writes a record that others change as well.
	releaseTries = 3
	// writeQueue bounds the writes that wait; what is left out is planned again.
	writeQueue = 64
)

// Shares takes in what answers say about the limits of their servers.
type LimitObserver interface {
	// Heard takes in what the answer to a request says that was sent at a moment. It takes effect before Heard returns.
	ObserveLimit(server Server, sent time.Time, limit laceconn.Limit)
}

var _ LimitObserver = (*Service)(nil)

// Limits are the limits that the balancer of this instance keeps to.
type Enforcer interface {
	// Limit sets what may be sent to a server, Unlimit ends that.
	Limit(s Server, a lacebalancer.Allowance)
	Unlimit(s Server)
	// Demand tells what requests lately asked of a server.
	Demand(s Server) lacebalancer.Demand
}

// Fleet is what is known of the instances and the servers.
type Fleet interface {
	// Members are the instances that take callers, this one included.
	Members() []laceunit.Holder
	// Live reports whether an incarnation is a member.
	Live(h laceunit.Holder) bool
	// Listed reports whether a server has an entry.
	Listed(s Server) bool
	// Age is how old the copy of the records may be.
	Age() time.Duration
}

// Options configure a service.
type Options struct {
	Self  laceunit.Holder
	Store laceplatform.Store
	// Prefix is where the records stand.
	Prefix   laceplatform.Key
	Enforcer Enforcer
	Fleet    Fleet
	// Clock is that of the balancer; none stands for the runtime's.
	Clock   func() time.Time
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Service keeps this instance to its part of what servers take.
type Service struct {
	options Options
	writes  chan Write

	mu   sync.Mutex
	book *Allocator
	// told is what the log last said about each server that the balancer has an allowance for.
	told map[Server]string
}

// New returns a service; Serve must run.
func New(options Options) *Service {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	return &Service{
		options: options,
		writes:  make(chan Write, writeQueue),
		book:    NewAllocator(options.Clock(), options.Self, rand.IntN),
		told:    map[Server]string{},
	}
}

// Heard implements Shares.
func (s *Service) ObserveLimit(server Server, sent time.Time, limit laceconn.Limit) {
	if !limit.Named && !s.knows(server) {
		return
	}
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	changed := false
	if limit.Named {
		changed = s.book.ObserveLimit(now, server, sent, limit.Rate)
	} else {
		changed = s.book.ObserveNoLimit(now, server, sent)
	}
	if changed {
		s.apply(now, server, age)
	}
}

func (s *Service) knows(server Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.HasLimit(server)
}

// Active reports whether a server has a limit.
func (s *Service) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.book.Servers()) > 0
}

// Stored takes in how the record at a key stands in the store at a revision, which is that of the entry. It asks nothing of the fleet, so that the copy of the records may
// be locked meanwhile.
func (s *Service) ApplyEntry(e laceplatform.Entry, removed bool) error {
	server, err := ParseKey(s.options.Prefix, e.Key)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	if removed {
		s.book.ApplyRemoval(now, server, e.Revision)
		return nil
	}
	r, err := Decode(e.Value)
	if err != nil {
		s.book.ApplyUnreadable(now, server, e.Revision)
		return err
	}
	s.book.ApplyRecord(now, server, r, e.Revision)
	return nil
}

// Replace takes in a whole list of the records at a revision, for a copy that is read and not watched.
func (s *Service) Replace(entries []laceplatform.Entry, revision laceplatform.Revision) error {
	var failed error
	listed := make(map[laceplatform.Key]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if err := s.ApplyEntry(e, false); err != nil {
			failed = err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.book.Recorded() {
		if !listed[Key(s.options.Prefix, server)] {
			s.book.ApplyRemoval(s.options.Clock(), server, revision)
		}
	}
	return failed
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { s.write(ctx) })
	return lacekernel.Every(ctx, stepInterval, func(context.Context) { s.step() })
}

func (s *Service) step() {
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	// Another instance may have ended the limit of a server that the book no longer has.
	for x := range s.told {
		if !s.book.HasLimit(x) {
			s.apply(now, x, age)
		}
	}
	servers := s.book.Servers()
	if len(servers) == 0 {
		s.options.Metrics.observe(0)
		return
	}
	for _, w := range s.book.Plan(now, s.view(age)) {
		select {
		case s.writes <- w:
		default:
			s.options.Metrics.wrote(w.Cause, resultDropped)
		}
	}
	for _, x := range servers {
		s.apply(now, x, age)
	}
	s.options.Metrics.observe(len(s.book.Servers()))
}

func (s *Service) view(age time.Duration) PlanInput {
	f := s.options.Fleet
	return PlanInput{
		Age:     age,
		Members: f.Members(),
		Live:    f.Live,
		Listed:  f.Listed,
		Demand:  s.options.Enforcer.Demand,
	}
}

// apply makes the balancer keep to what may be sent to a server; the lock must be held.
func (s *Service) apply(now time.Time, server Server, age time.Duration) {
	a, ok := s.book.Allowance(now, server, age, len(s.options.Fleet.Members()))
	if !ok {
		s.options.Enforcer.Unlimit(server)
		s.options.Metrics.forget(server)
		if _, told := s.told[server]; told {
			delete(s.told, server)
			s.options.Log.Write(lacelog.Limit, lacelog.P(lacelog.Backend, server.ID), lacelog.P("state", "ended"))
		}
		return
	}
	s.options.Enforcer.Limit(server, a)
	s.options.Metrics.allow(server, a)
	s.tell(server, a, age)
}

// tell logs what may be sent to a server when that has changed.
func (s *Service) tell(server Server, a lacebalancer.Allowance, age time.Duration) {
	state := "part"
	switch {
	case age > MaxStaleness:
		state = "cut_off"
	case a.Rate <= 0:
		state = "no_part"
	}
	if s.told[server] == state {
		return
	}
	s.told[server] = state
	s.options.Log.Write(lacelog.Limit, lacelog.P(lacelog.Backend, server.ID), lacelog.P("state", state),
		lacelog.P("limit", a.Total), lacelog.P("rate", a.Rate), lacelog.P(lacelog.Age, age.Milliseconds()))
}

// write carries out writes until the context ends.
func (s *Service) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.writes:
			s.carry(ctx, w)
		}
	}
}

// carry carries out one write and takes in how it ended.
func (s *Service) carry(ctx context.Context, w Write) {
	revision, err := s.swap(ctx, w)
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	key := Key(s.options.Prefix, w.Server)
	conflict := &laceplatform.Conflict{}
	switch {
	case err == nil:
		s.book.ApplyWrite(now, w, revision)
		s.options.Metrics.wrote(w.Cause, resultDone)
		s.options.Log.Write(lacelog.Limit, lacelog.P(lacelog.Backend, w.Server.ID), lacelog.P("state", "written"),
			lacelog.P("cause", w.Cause), lacelog.P("limit", w.Record.Limit), lacelog.P("parts", len(w.Record.Parts)),
			lacelog.P("own", w.Record.count(s.options.Self)))
	case errors.As(err, &conflict):
		s.options.Metrics.wrote(w.Cause, resultConflict)
		s.learn(now, w, conflict.Entry(key))
	case errors.Is(err, laceplatform.ErrConflict):
		// This store does not tell how the record stands; the copy will.
		s.options.Metrics.wrote(w.Cause, resultConflict)
	default:
		s.options.Metrics.wrote(w.Cause, resultFailed)
		if ctx.Err() == nil {
			s.options.Log.Fault(err, "parts of a limit were not written", lacelog.P(lacelog.Backend, w.Server.ID))
		}
	}
	s.apply(now, w.Server, age)
}

// learn takes in a record as it stands, by the answer to a write that failed for it.
func (s *Service) learn(now time.Time, w Write, e laceplatform.Entry) {
	if e.Revision == 0 {
		s.book.ApplyRemoval(now, w.Server, w.Expect)
		return
	}
	r, err := Decode(e.Value)
	if err != nil {
		s.options.Log.Fault(err, "parts of a limit can't be read", lacelog.P(lacelog.Backend, w.Server.ID))
		s.book.ApplyUnreadable(now, w.Server, e.Revision)
		return
	}
	s.book.ApplyRecord(now, w.Server, r, e.Revision)
}

func (s *Service) swap(ctx context.Context, w Write) (laceplatform.Revision, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := Key(s.options.Prefix, w.Server)
	if w.Remove {
		err := s.options.Store.Delete(call, key, w.Expect)
		if errors.Is(err, laceplatform.ErrMissing) {
			return 0, nil
		}
		return 0, errors.Wrap(err, "share: remove record")
	}
	value, err := Encode(w.Record)
	if err != nil {
		return 0, err
	}
	revision, err := s.options.Store.Swap(call, laceplatform.Swap{
		Key:    key,
		Value:  value,
		Expect: w.Expect,
	})
	return revision, errors.Wrap(err, "share: write record")
}

// Release gives all parts back and waits for it, in a planned stop.
func (s *Service) Release(ctx context.Context) {
	for range releaseTries {
		for _, w := range s.stop() {
			s.carry(ctx, w)
		}
	}
}

// stop returns what is to be written so that this instance holds no parts; it uses none from here on.
func (s *Service) stop() []Write {
	age := s.options.Fleet.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.book.Stop()
	for _, w := range writes {
		s.apply(s.options.Clock(), w.Server, age)
	}
	return writes
}
