package lacenode

import (
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacedirectory"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

// Places in the store that instances write.
const (
	budgetPrefix laceplatform.Key = "lace/budget/"
	// fleetPrefix holds what all instances follow, so that one watch brings all of it.
	fleetPrefix  laceplatform.Key = "lace/fleet/"
	memberPrefix                  = fleetPrefix + "member/"
	limitPrefix                   = fleetPrefix + "limit/"
)

// affinityBound is how far above the mean a server may be loaded before a prompt goes to one that has not read its shared
// part. Reading a part of 5,000 tokens again costs as much time as a few running requests add; at usual load a server has
// few requests, so that a smaller bound moves prompts for chance alone (TestSharedPartsAreReadOnce).
const affinityBound = 3

// Names of the services in the kernel.
const (
	nameConfigs   lacekernel.Name = "configs"
	nameServers   lacekernel.Name = "servers"
	nameMembers   lacekernel.Name = "members"
	nameExchange  lacekernel.Name = "exchange"
	nameRegistrar lacekernel.Name = "registrar"
	nameQuota     lacekernel.Name = "quota"
	nameLimits    lacekernel.Name = "limits"
	namePlacer    lacekernel.Name = "placer"
	nameClock     lacekernel.Name = "clock"
	nameBackends  lacekernel.Name = "backends"
	nameListeners lacekernel.Name = "listeners"
	nameRole      lacekernel.Name = "role"
)

// Node is one instance.
type Node struct {
	settings Settings
	adapter  Adapter
	log      *lacelog.Logger
	registry *prometheus.Registry
	kernel   *lacekernel.Kernel

	routes    *laceroute.Current
	board     *lacedirectory.Directory
	registrar *lacedirectory.Registrar
	quota     *lacequota.Service
	limits    *laceshare.Service
	placer    *lacerelay.Picker
	backends  *lacerelay.Backends
	relay     *lacerelay.Relay
	link      *link
	followers []*lacemirror.Follower
	// pulse tells when the store last answered.
	pulse *laceplatform.ConnectivityTracker
	// vitals tell why a dependency may be lost.
	vitals   vitals
	rejected prometheus.Counter

	// clock is the machine's, nil when it can't be read.
	clock   func() lacequota.Instant
	leaving atomic.Bool
	// standby is true while other instances take the callers, following while they tell the news; callers that stay with an
	// instance keep it from standing by.
	standby   atomic.Bool
	following atomic.Bool
}

// New assembles an instance.
func New(settings Settings, adapter Adapter, log *lacelog.Logger) (*Node, error) {
	n := &Node{
		settings: settings,
		adapter:  adapter,
		log:      log,
		registry: prometheus.NewRegistry(),
		kernel:   lacekernel.New(),
		routes:   &laceroute.Current{},
		clock:    bootClock(log),
	}
	n.pulse = laceplatform.NewConnectivityTracker(uptime(n.clock))
	n.pulse.OnCallDuration(n.vitals.called)
	store, err := adapter.NewStore(settings, n.pulse, &n.vitals.control)
	if err != nil {
		return nil, errors.Wrap(err, "node: store")
	}
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.rejected = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lace_node_rejected_total",
		Help: "Entries of the store and messages of other instances that could not be read.",
	})
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lace_log_dropped_total",
		Help: "Log lines that were lost because the buffer was full.",
	}, func() float64 { return float64(log.Dropped()) })
	n.registry.MustRegister(n.rejected, dropped)
	n.vitals.register(n.registry)
	if err := n.assemble(store); err != nil {
		return nil, err
	}
	return n, n.register()
}

// newBalancer returns the balancer of an instance; all instances prefer the same server for a prompt.
func newBalancer(random lacebalancer.Random) (*lacebalancer.Balancer, error) {
	return lacebalancer.New(laceconfig.Routing{LoadFactor: affinityBound}, random, lacebalancer.WithSharedRendezvousOrder())
}

func (n *Node) assemble(store Store) error {
	self := lacedirectory.Member{
		Holder: laceunit.Holder{
			Instance:    n.settings.Instance,
			Incarnation: laceunit.Incarnation(rand.Uint64()>>1 + 1),
		},
		Place:         n.settings.Place,
		CallerAddress: n.settings.CallerAddress,
		PeerAddress:   n.settings.PeerAddress,

		Capacity: lacedirectory.Cores(n.settings.Machine.Cores),
		Link:     lacedirectory.Megabits(n.settings.Machine.LinkMbps),
	}
	n.board = lacedirectory.NewDirectory(self, n.log)
	n.registrar = lacedirectory.NewRegistrar(memberPrefix, self, store, n.log, n.Ready)
	n.quota = lacequota.New(lacequota.Options{
		Self:    self.Holder,
		Store:   store,
		Prefix:  budgetPrefix,
		Share:   n.settings.Quota.Share,
		Members: n.board,
		Lender:  newLender(n),
		Clock:   n.clock,
		WarmUp:  settleTime,
		Log:     n.log,
		Metrics: lacequota.NewMetrics(n.registry),
	})
	balancer, err := newBalancer(rand.IntN)
	if err != nil {
		return errors.Wrap(err, "node: balancer")
	}
	elapsed := elapsedClock(n.clock)
	n.placer = lacerelay.NewPicker(balancer, lacerelay.WithClock(elapsed))
	n.limits = n.divide(self.Holder, store, elapsed)
	n.backends = lacerelay.NewBackends(n.placer, n.log, n.connections)
	n.backends.CountTraffic(&n.vitals.traffic)
	n.link = newLink(n.settings.Machine.LinkMbps, n.registry)
	n.relay = lacerelay.New(lacerelay.Options{
		Codec:    n.adapter.Codec(),
		Routes:   n.routes,
		Quota:    n.quota,
		Picker:   n.placer,
		Backends: n.backends,
		Retries: lacerelay.RetryBounds{
			Window: n.settings.RetryBudget.Window,
			Ratio:  n.settings.RetryBudget.Ratio,
			Slack:  n.settings.RetryBudget.Slack,
		},
		Shares:    n.limits,
		Freshness: n.standing,
		Link:      n.link,
		Members:   n.board.ShareCount,
		Log:       n.log,
		Metrics:   lacerelay.NewMetrics(n.registry),
	})
	n.follow(store)
	return nil
}

// divide returns the service that keeps this instance to its part of what servers take.
func (n *Node) divide(self laceunit.Holder, store Store, elapsed func() time.Time) *laceshare.Service {
	return laceshare.New(laceshare.Options{
		Self:     self,
		Store:    store,
		Prefix:   limitPrefix,
		Enforcer: n.placer,
		Fleet:    fleet{node: n},
		Clock:    elapsed,
		Log:      n.log,
		Metrics:  laceshare.NewMetrics(n.registry),
	})
}

// follow sets up the copies of what stands in the store.
func (n *Node) follow(store Store) {
	keys := n.adapter.Keys()
	n.followers = []*lacemirror.Follower{
		lacemirror.NewFollower(keys.ConfigPrefix, store, n.pulse, n.log, n.configured),
		lacemirror.NewFollower(keys.ServerPrefix, store, n.pulse, n.log, n.served),
		lacemirror.NewFollower(fleetPrefix, store, n.pulse, n.log, n.fleetChanged),
	}
	for _, f := range n.followers {
		f.AddLogFields(n.vitals.pairs)
	}
	n.followers[serversFollower].SetNormalizer(n.meaning)
	for _, f := range n.followers[1:] {
		f.StartAfter(n.followers[0])
	}
	for _, f := range n.followers {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "lace_mirror_age_seconds",
			Help:        "Time since a copy of the store was known to be current.",
			ConstLabels: prometheus.Labels{"prefix": string(f.Prefix())},
		}, func() float64 { return age(n.pulse.Now(), f.Status().SyncedAt).Seconds() }))
	}
}

func (n *Node) register() error {
	services := []struct {
		name    lacekernel.Name
		service any
	}{
		{name: nameConfigs, service: n.followers[0]},
		{name: nameServers, service: n.followers[1]},
		{name: nameMembers, service: n.followers[2]},
		{name: nameBackends, service: n.backends},
		{name: namePlacer, service: n.placer},
		{name: nameQuota, service: n.quota},
		{name: nameLimits, service: n.limits},
		{name: nameRegistrar, service: n.registrar},
		{name: nameExchange, service: newExchange(n)},
		{name: nameClock, service: clock{n}},
		{name: nameRole, service: &role{node: n}},
	}
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.service); err != nil {
			return errors.Wrap(err, "node")
		}
	}
	return nil
}

// Ready reports whether the instance takes requests: it knows the configuration and the backend servers.
func (n *Node) Ready() bool {
	return n.routes.Load() != nil && n.followers[serversFollower].Status().Revision > 0 && !n.leaving.Load()
}

// The indices of the copies of the configuration, of the backend servers and of what instances write.
const (
	configsFollower = 0
	serversFollower = 1
	fleetFollower   = 2
)

// Addresses implements Directory.
func (n *Node) Addresses(place laceunit.Place) ([]laceunit.Address, time.Duration) {
	if n.routes.Load() == nil {
		return nil, 0
	}
	return n.board.Addresses(place), n.settings.DirectoryTTL
}

// connections returns how many connections this instance may have to a server of a service: its share of what the
// server takes, and at least a few, since instances do not all use a server at the same time.
func (n *Node) connections(id laceunit.ServiceID) int {
	table := n.routes.Load()
	if table == nil {
		return 0
	}
	s, ok := table.Service(id)
	if !ok || s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/n.board.Size(), fewConnections)
}

// settleTime is how long instances that start together take until they all know each other.
const settleTime = 2 * time.Second

// fewConnections is the least number of connections that an instance may have to a server.
const fewConnections = 8

// configured takes over a configuration.
func (n *Node) configured(changes []lacemirror.Change, source lacemirror.Source) {
	for _, c := range changes {
		if c.Removed || c.Entry.Key != n.adapter.Keys().ConfigKey {
			continue
		}
		document, err := n.adapter.DecodeDocument(c.Entry.Value)
		if err != nil {
			n.reject(c.Entry, err)
			continue
		}
		t := laceroute.NewTable(document)
		if current := n.routes.Load(); current != nil && t.Version() <= current.Version() {
			continue
		}
		// The totals come first, so that no request is admitted under a table whose accounts are not known yet.
		n.quota.Configure(t)
		n.routes.Advance(t)
		n.log.Write(lacelog.Config, lacelog.P(lacelog.Version, t.Version()), lacelog.P(lacelog.Revision, c.Entry.Revision),
			lacelog.P("routes", len(document.Routes)), lacelog.P("accounts", len(document.Accounts)),
			lacelog.P("peer", source.FromPeer))
	}
}

// served takes over backend servers.
func (n *Node) served(changes []lacemirror.Change, source lacemirror.Source) {
	var listed []lacerelay.Backend
	var missing []laceunit.ServerID
	for _, c := range changes {
		id := n.adapter.ServerID(c.Entry.Key)
		if c.Removed {
			missing = append(missing, id)
			continue
		}
		b, err := n.adapter.DecodeBackend(c.Entry)
		if err != nil {
			n.reject(c.Entry, err)
			missing = append(missing, id)
			continue
		}
		listed = append(listed, b)
	}
	n.backends.Apply(time.Now(), listed, missing, source.RemovalsFinalAt)
}

// fleetChanged takes over instances and the parts of servers' limits.
func (n *Node) fleetChanged(changes []lacemirror.Change, source lacemirror.Source) {
	for _, c := range changes {
		switch {
		case strings.HasPrefix(string(c.Entry.Key), string(memberPrefix)):
			n.joined(c, source)
		case strings.HasPrefix(string(c.Entry.Key), string(limitPrefix)):
			if c.Removed {
				c.Entry.Revision = source.Revision
			}
			if err := n.limits.ApplyEntry(c.Entry, c.Removed); err != nil {
				n.reject(c.Entry, err)
			}
		default:
			n.reject(c.Entry, errors.New("node: unknown key"))
		}
	}
}

// joined takes over an instance.
func (n *Node) joined(c lacemirror.Change, source lacemirror.Source) {
	m, err := lacedirectory.Decode(c.Entry.Value)
	switch {
	case err != nil:
		n.reject(c.Entry, err)
	case c.Removed:
		n.board.Remove(time.Now(), m.Holder.Instance, source.RemovalsFinalAt)
	default:
		n.board.Put(m)
	}
}

func (n *Node) reject(e laceplatform.Entry, err error) {
	n.rejected.Inc()
	n.log.Write(lacelog.Rejected, lacelog.P("key", e.Key), lacelog.P(lacelog.Revision, e.Revision),
		lacelog.P(lacelog.Reason, err.Error()))
}

// malformed notes a message of another instance that can't be meant.
func (n *Node) malformed(what, source string) {
	n.rejected.Inc()
	n.log.Write(lacelog.Rejected, lacelog.P("message", what), lacelog.P("from", source))
}
