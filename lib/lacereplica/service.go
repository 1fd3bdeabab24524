package lacereplica

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacepack"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// Watchers is how many instances of a region follow the platform: the lowest-ranked live ones.
const WatchersPerRegion = 2

const (
	// headTimeout bounds the read of the head, which does not grow: four of them fit into config.fresh, so that a lost answer
	// does not make an instance stale.
	headTimeout = time.Second
	// callTimeout bounds one small call to a peer, so that the answer counts before config.fresh is over. A
	// link of 30 kB/s that carries two large transfers delays a packet by 2.2 s.
	callTimeout = 3 * time.Second
	// silence is how long a peer may send nothing of an answer.
	silence = callTimeout
	// transferTimeout bounds an answer that grows with the configuration: the design scale's takes 17 s at 30 kB/s. One that
	// moves is not given up before, since whoever asks again needs the same bytes.
	transferTimeout = 2 * time.Minute
	// noticeBytes bounds a notice, which takes half a second at 30 kB/s. The receiver asks for a larger change, because an
	// answer may take as long as it moves and a request may not.
	noticeBytes = 16 << 10
	// transferBytes is the size from which an answer counts as a large transfer, and transfers how many of them an instance
	// sends at once: each delays the small messages on its link by a window of about 32 KB.
	transferBytes = 64 << 10
	transfers     = 2
)

// parallel bounds the calls in progress.
const parallel = 256

// ErrClosed means that the service has been closed. It tells a supervisor not to start the service again.
var ErrClosed = errors.WithMessage(suture.ErrDoNotRestart, "replica: closed")

// Peer is an instance as the membership knows it.
type Peer struct {
	Holder  laceunit.Holder
	Address laceunit.Address
	Region  laceunit.RegionID
	// Rank orders the live instances of a region, from 0.
	Rank int
}

// Fleet tells the last agreed membership; ok is false until there is one. Peers leaves the instance itself out.
type Membership interface {
	Self() Peer
	Peers() (peers []Peer, ok bool)
}

// Source reads accepted documents from the platform; laceconfig.Store is one.
type Source interface {
	Head(ctx context.Context) (laceconfig.Head, error)
	Load(ctx context.Context, head laceconfig.Head) (laceconfig.Snapshot, error)
}

// Sweeper is a source that can delete what no document refers to any more.
type Sweeper interface {
	Sweep(ctx context.Context) (int, error)
}

// sweepTicks is how many ticks lie between two sweeps; a sweep lists every body, 3 MB at the design scale.
const sweepTicks = 3600

// Option changes a service at construction.
type Option func(*Service)

// WithInstall sets the function that is told of each document that comes into force.
func WithInstall(f func(laceconfig.Document)) Option {
	return func(s *Service) { s.install = f }
}

// WithReject sets the function that is told of messages that could not be used.
func WithReject(f func(laceunit.Holder, error)) Option {
	return func(s *Service) { s.reject = f }
}

// WithScheme sets the scheme of peers' addresses that have none.
func WithScheme(scheme string) Option {
	return func(s *Service) { s.scheme = scheme }
}

// Service runs a replica; it serves lacewire.Config to peers.
type Service struct {
	source  Source
	fleet   Membership
	client  *http.Client
	install func(laceconfig.Document)
	reject  func(laceunit.Holder, error)
	scheme  string
	start   time.Time

	mu       sync.Mutex
	replica  *laceconfig.Replica
	peers    map[laceunit.Holder]Peer
	closed   bool
	ticks    int
	document atomic.Pointer[laceconfig.Document]
	slots    chan struct{}
	sending  chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	calls    sync.WaitGroup
}

// New returns a service; client makes the calls to peers.
func New(source Source, fleet Membership, client *http.Client, rule laceconfig.ReplicaSettings, options ...Option) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		source:  source,
		fleet:   fleet,
		client:  patient(client),
		install: func(laceconfig.Document) {},
		reject:  func(laceunit.Holder, error) {},
		scheme:  "http",
		start:   time.Now(),
		replica: laceconfig.NewReplica(rule, rand.New(rand.NewPCG(uint64(rule.Self.Incarnation), uint64(time.Now().UnixNano())))),
		peers:   map[laceunit.Holder]Peer{},
		slots:   make(chan struct{}, parallel),
		sending: make(chan struct{}, transfers),
		ctx:     ctx,
		cancel:  cancel,
	}
	for _, o := range options {
		o(s)
	}
	d := s.replica.Document()
	s.document.Store(&d)
	return s
}

// patient returns a client that takes packed answers, for as long as they move.
func patient(client *http.Client) *http.Client {
	p := *client
	p.Transport = &lacepack.Transport{Base: &laceconn.TimeoutTransport{
		Base:                  client.Transport,
		ResponseHeaderTimeout: silence,
		BodyIdleTimeout:       silence,
	}}
	return &p
}

// Document returns the document in force; its version is 0 before the first one.
func (s *Service) Document() laceconfig.Document { return *s.document.Load() }

// Current returns the document in force, or nil before the first one. The pointer changes only with the document.
func (s *Service) Current() *laceconfig.Document {
	d := s.document.Load()
	if d.Version == 0 {
		return nil
	}
	return d
}

// Fresh decides whether new work is taken now.
func (s *Service) Freshness() laceconfig.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Freshness(s.now())
}

// Status returns the version in force and the age of its confirmation.
func (s *Service) Status() laceconfig.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Status(s.now())
}

func (s *Service) now() time.Duration { return time.Since(s.start) }

// Serve ticks the replica until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	t := time.NewTicker(laceconfig.TickInterval)
	defer t.Stop()
	for {
		s.Tick()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ctx.Done():
			return ErrClosed
		case <-t.C:
		}
	}
}

// Tick advances the replica once; Serve calls it each laceconfig.Period.
func (s *Service) Tick() {
	view, rank := s.view(), s.fleet.Self().Rank
	s.do(func() []laceconfig.Effect {
		s.sweep(rank)
		return s.replica.Tick(s.now(), view)
	})
}

// Learn reads the platform now; the instance that has accepted an edit calls it.
func (s *Service) Refresh() {
	s.do(func() []laceconfig.Effect { return []laceconfig.Effect{laceconfig.Read{}} })
}

// Close ends the calls in progress and waits for them.
func (s *Service) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.calls.Wait()
	return nil
}

// Exchange implements lacewire.Config.
func (s *Service) Exchange(ctx context.Context, q *lacewire.ConfigStatus) (*lacewire.ConfigMessage, error) {
	var m laceconfig.Message
	s.do(func() []laceconfig.Effect {
		var effects []laceconfig.Effect
		m, effects = s.replica.HandleQuery(s.now(), lacewire.ToStatus(q))
		return effects
	})
	answer := lacewire.FromMessage(m)
	s.admit(ctx, answer)
	return answer, nil
}

// Notify implements lacewire.Config.
func (s *Service) Notify(_ context.Context, m *lacewire.ConfigMessage) (*lacewire.ConfigReceipt, error) {
	s.do(func() []laceconfig.Effect { return s.replica.HandleNotification(lacewire.ToMessage(m)) })
	return &lacewire.ConfigReceipt{}, nil
}

// Handler returns the HTTP handler for peers, and the path that it serves.
func (s *Service) Handler() (path string, handler http.Handler) {
	h := lacewire.NewConfigServer(s)
	return h.PathPrefix(), s.bounded(lacepack.Handler(h))
}

func (s *Service) view() laceconfig.View {
	self := s.fleet.Self()
	peers, ok := s.fleet.Peers()
	v := laceconfig.View{
		Agreed:  ok,
		Region:  self.Region,
		Watcher: self.Rank < WatchersPerRegion,
	}
	known := make(map[laceunit.Holder]Peer, len(peers))
	for _, p := range peers {
		known[p.Holder] = p
		v.Peers = append(v.Peers, laceconfig.Member{
			Holder:  p.Holder,
			Region:  p.Region,
			Watcher: p.Rank < WatchersPerRegion,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = known
	return v
}
