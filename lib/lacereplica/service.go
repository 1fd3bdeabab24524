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

// WatchersPerRegion is how many instances of a region poll the platform: the lowest-ranked live ones.
const WatchersPerRegion = 2

const (
	// headTimeout bounds a read of the head, whose size does not grow: four of them fit into config.fresh, so that one
	// lost response does not make an instance stale.
	headTimeout = time.Second
	// callTimeout bounds a small call to a peer, so that its reply can confirm the version before config.fresh has
	// elapsed. A link of 30 kB/s that carries two large transfers delays a packet by 2.2 s.
	callTimeout = 3 * time.Second
	// replyIdleTimeout bounds the time in which no data of a reply arrives.
	replyIdleTimeout = callTimeout
	// transferTimeout bounds a reply whose size grows with the configuration: the design scale's takes 17 s at 30 kB/s.
	// A transfer that makes progress is not aborted earlier, since a retry would need the same bytes.
	transferTimeout = 2 * time.Minute
	// maxNotificationBytes bounds a notification, which takes half a second at 30 kB/s. The receiver queries larger
	// changes, because a reply may take as long as it makes progress, and a request may not.
	maxNotificationBytes = 16 << 10
	// largeReplyBytes is the size from which a reply is a large transfer, and maxLargeReplies how many of them an
	// instance sends concurrently: each delays the small messages on its link by a window of about 32 KB.
	largeReplyBytes = 64 << 10
	maxLargeReplies = 2
)

// maxCalls bounds the calls in progress.
const maxCalls = 256

// ErrClosed means that the service has been closed. It tells a supervisor not to restart the service.
var ErrClosed = errors.WithMessage(suture.ErrDoNotRestart, "replica: closed")

// Peer is an instance in the membership.
type Peer struct {
	Holder  laceunit.Holder
	Address laceunit.Address
	Region  laceunit.RegionID
	// Rank orders the live instances of a region, from 0.
	Rank int
}

// Membership is the last agreed membership; ok is false until there is one. Peers does not include the instance itself.
type Membership interface {
	Self() Peer
	Peers() (peers []Peer, ok bool)
}

// Source reads accepted documents from the platform; laceconfig.Store implements it.
type Source interface {
	Head(ctx context.Context) (laceconfig.Head, error)
	Load(ctx context.Context, head laceconfig.Head) (laceconfig.Snapshot, error)
}

// Sweeper is a source that can delete data to which no document refers any more.
type Sweeper interface {
	Sweep(ctx context.Context) (int, error)
}

// sweepTicks is the number of ticks between two sweeps; a sweep lists every body, 3 MB at the design scale.
const sweepTicks = 3600

// Option configures a service.
type Option func(*Service)

// WithInstall sets the callback for each document that comes into force.
func WithInstall(f func(laceconfig.Document)) Option {
	return func(s *Service) { s.install = f }
}

// WithReject sets the callback for messages that could not be applied.
func WithReject(f func(laceunit.Holder, error)) Option {
	return func(s *Service) { s.reject = f }
}

// WithScheme sets the default scheme of peer addresses.
func WithScheme(scheme string) Option {
	return func(s *Service) { s.scheme = scheme }
}

// Service runs a replica and serves lacewire.Config to peers.
type Service struct {
	source     Source
	membership Membership
	client     *http.Client
	install    func(laceconfig.Document)
	reject     func(laceunit.Holder, error)
	scheme     string
	startedAt  time.Time

	mu              sync.Mutex
	replica         *laceconfig.Replica
	peers           map[laceunit.Holder]Peer
	closed          bool
	ticks           int
	document        atomic.Pointer[laceconfig.Document]
	callSlots       chan struct{}
	largeReplySlots chan struct{}
	ctx             context.Context
	cancel          context.CancelFunc
	callGroup       sync.WaitGroup
}

// New returns a service; client makes the calls to peers.
func New(
	source Source, membership Membership, client *http.Client, settings laceconfig.ReplicaSettings, options ...Option,
) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		source:     source,
		membership: membership,
		client:     withIdleTimeout(client),
		install:    func(laceconfig.Document) {},
		reject:     func(laceunit.Holder, error) {},
		scheme:     "http",
		startedAt:  time.Now(),
		replica: laceconfig.NewReplica(settings,
			rand.New(rand.NewPCG(uint64(settings.Self.Incarnation), uint64(time.Now().UnixNano())))),
		peers:           map[laceunit.Holder]Peer{},
		callSlots:       make(chan struct{}, maxCalls),
		largeReplySlots: make(chan struct{}, maxLargeReplies),
		ctx:             ctx,
		cancel:          cancel,
	}
	for _, o := range options {
		o(s)
	}
	d := s.replica.Document()
	s.document.Store(&d)
	return s
}

// withIdleTimeout returns a client that accepts packed replies and times out only when no data arrives.
func withIdleTimeout(client *http.Client) *http.Client {
	p := *client
	p.Transport = &lacepack.Transport{Base: &laceconn.TimeoutTransport{
		Base:                  client.Transport,
		ResponseHeaderTimeout: replyIdleTimeout,
		BodyIdleTimeout:       replyIdleTimeout,
	}}
	return &p
}

// Document returns the document in force; its version is 0 before the first one.
func (s *Service) Document() laceconfig.Document { return *s.document.Load() }

// Current returns the document in force, or nil before the first one. The pointer changes only when the document does.
func (s *Service) Current() *laceconfig.Document {
	d := s.document.Load()
	if d.Version == 0 {
		return nil
	}
	return d
}

// Freshness decides whether new requests are accepted now.
func (s *Service) Freshness() laceconfig.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Freshness(s.now())
}

// Status returns the version in force and its staleness.
func (s *Service) Status() laceconfig.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Status(s.now())
}

func (s *Service) now() time.Duration { return time.Since(s.startedAt) }

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

// Tick advances the replica once; Serve calls it every laceconfig.TickInterval.
func (s *Service) Tick() {
	view, rank := s.updateView(), s.membership.Self().Rank
	s.update(func() []laceconfig.Effect {
		s.sweepIfDue(rank)
		return s.replica.Tick(s.now(), view)
	})
}

// Refresh reads the platform immediately; it is called on the instance that has accepted an edit.
func (s *Service) Refresh() {
	s.update(func() []laceconfig.Effect { return []laceconfig.Effect{laceconfig.Read{}} })
}

// Close cancels the calls in progress and waits for them.
func (s *Service) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.callGroup.Wait()
	return nil
}

// Exchange implements lacewire.Config.
func (s *Service) Exchange(ctx context.Context, q *lacewire.ConfigStatus) (*lacewire.ConfigMessage, error) {
	var m laceconfig.Message
	s.update(func() []laceconfig.Effect {
		var effects []laceconfig.Effect
		m, effects = s.replica.HandleQuery(s.now(), lacewire.ToConfigStatus(q))
		return effects
	})
	reply := lacewire.FromConfigMessage(m)
	s.limitLargeReplies(ctx, reply)
	return reply, nil
}

// Notify implements lacewire.Config.
func (s *Service) Notify(_ context.Context, m *lacewire.ConfigMessage) (*lacewire.ConfigReceipt, error) {
	s.update(func() []laceconfig.Effect { return s.replica.HandleNotification(lacewire.ToConfigMessage(m)) })
	return &lacewire.ConfigReceipt{}, nil
}

// Handler returns the HTTP handler for peers, and the path that it serves.
func (s *Service) Handler() (path string, handler http.Handler) {
	h := lacewire.NewConfigServer(s)
	return h.PathPrefix(), s.releaseLargeReplySlots(lacepack.Handler(h))
}

func (s *Service) updateView() laceconfig.View {
	self := s.membership.Self()
	peers, ok := s.membership.Peers()
	v := laceconfig.View{
		Agreed:  ok,
		Region:  self.Region,
		Watcher: self.Rank < WatchersPerRegion,
	}
	peersByHolder := make(map[laceunit.Holder]Peer, len(peers))
	for _, p := range peers {
		peersByHolder[p.Holder] = p
		v.Peers = append(v.Peers, laceconfig.Member{
			Holder:  p.Holder,
			Region:  p.Region,
			Watcher: p.Rank < WatchersPerRegion,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peersByHolder
	return v
}
