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
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacequarantine"
	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/lacestream"
	"lacewingcove/lib/laceunit"
)

// Key prefixes in the store that instances write.
const (
	budgetPrefix laceplatform.Key = "lace/budget/"
	// fleetPrefix is the common prefix of what all instances write and follow, so that one watch covers it.
	fleetPrefix   laceplatform.Key = "lace/fleet/"
	memberPrefix                   = fleetPrefix + "member/"
	limitPrefix                    = fleetPrefix + "limit/"
	crashPrefix                    = fleetPrefix + "crash/"
	verdictPrefix                  = fleetPrefix + "verdict/"
	versionPrefix                  = fleetPrefix + "version/"
	// streamPrefix is not followed: it is read only when a stream is taken up that is not known.
	streamPrefix laceplatform.Key = "lace/stream/"
)

// affinityLoadFactor is the maximum load of a server relative to the mean up to which prompts are assigned to it
// because it has their shared prefix cached. Computing a prefix of 5,000 tokens again takes as much time as a few
// concurrent requests add. At typical load a server has few requests, so that a smaller factor moves prompts because of
// random variation alone (TestSharedPrefixesAreComputedOnce).
const affinityLoadFactor = 3

// Names under which services are registered in the kernel.
const (
	nameConfigs    lacekernel.Name = "configs"
	nameServers    lacekernel.Name = "servers"
	nameMembers    lacekernel.Name = "members"
	nameReplicator lacekernel.Name = "exchange"
	nameRegistrar  lacekernel.Name = "registrar"
	nameQuota      lacekernel.Name = "quota"
	nameLimits     lacekernel.Name = "limits"
	nameQuarantine lacekernel.Name = "quarantine"
	nameStreams    lacekernel.Name = "streams"
	namePicker     lacekernel.Name = "placer"
	nameExpiry     lacekernel.Name = "clock"
	nameBackends   lacekernel.Name = "backends"
	nameListeners  lacekernel.Name = "listeners"
	nameRole       lacekernel.Name = "role"
	nameReach      lacekernel.Name = "reach"
	namePeers      lacekernel.Name = "peers"
)

// Node is a router instance.
type Node struct {
	settings Settings
	adapter  Adapter
	log      *lacelog.Logger
	registry *prometheus.Registry
	kernel   *lacekernel.Kernel

	routes    *laceroute.Current
	directory *lacedirectory.Directory
	registrar *lacedirectory.Registrar
	quota     *lacequota.Service
	shares    *laceshare.Service
	// quarantine keeps requests with prompt parts that crash servers away from the servers.
	quarantine *lacequarantine.Service
	// streams knows the software versions of streams.
	streams  *lacestream.Service
	picker   *lacerelay.Picker
	backends *lacerelay.Backends
	relay    *lacerelay.Relay
	// reach observes whether servers are reachable, peers are the instances that get requests while none is.
	reach *lacerelay.Reach
	peers *lacerelay.Peers
	link  *link
	// clientGuard bounds what callers hold of the machine, peerGuard what other instances do.
	clientGuard *lacelistener.Guard
	peerGuard   *lacelistener.Guard
	followers   []*lacemirror.Follower
	// tracker records when the store was last reachable.
	tracker *laceplatform.ConnectivityTracker
	// monitor measures what may explain the loss of a dependency.
	monitor        resourceMonitor
	rejectedInputs prometheus.Counter

	// bootClock is the machine's boot clock, nil if it is not available.
	bootClock func() lacequota.Instant
	draining  atomic.Bool
	// standby is true while other instances serve the callers and this one has no requests of its own, replicating
	// while this instance does not watch the store but replicates changes from peers. Callers that keep using an
	// instance keep it out of standby.
	standby     atomic.Bool
	replicating atomic.Bool
	// serversChangedAt is the uptime at which the backend servers last changed here.
	serversChangedAt atomic.Int64
}

// New creates an instance; Run starts it.
func New(settings Settings, adapter Adapter, log *lacelog.Logger) (*Node, error) {
	n := &Node{
		settings:  settings,
		adapter:   adapter,
		log:       log,
		registry:  prometheus.NewRegistry(),
		kernel:    lacekernel.New(),
		routes:    &laceroute.Current{},
		bootClock: newBootClock(log),
	}
	n.tracker = laceplatform.NewConnectivityTracker(uptimeClock(n.bootClock))
	n.tracker.OnCallDuration(n.monitor.recordStoreCall)
	store, err := adapter.NewStore(settings, n.tracker, &n.monitor.controlTraffic)
	if err != nil {
		return nil, errors.Wrap(err, "node: store")
	}
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.rejectedInputs = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lace_node_rejected_total",
		Help: "Entries of the store and messages of other instances that could not be read.",
	})
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lace_log_dropped_total",
		Help: "Log lines that were lost because the buffer was full.",
	}, func() float64 { return float64(log.Dropped()) })
	n.registry.MustRegister(n.rejectedInputs, dropped)
	n.monitor.registerMetrics(n.registry)
	if err := n.assemble(store); err != nil {
		return nil, err
	}
	return n, n.registerServices()
}

// newBalancer returns the load balancer of an instance. All instances prefer the same server for a prompt.
func newBalancer(random lacebalancer.Random) (*lacebalancer.Balancer, error) {
	return lacebalancer.New(
		laceconfig.Routing{LoadFactor: affinityLoadFactor}, random, lacebalancer.WithSharedRendezvousOrder())
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
	n.directory = lacedirectory.NewDirectory(self, n.log)
	n.registrar = lacedirectory.NewRegistrar(memberPrefix, self, store, n.log, n.Ready,
		lacedirectory.WithEra(func() laceplatform.Era { return n.tracker.Connectivity().Era }))
	n.quota = n.newQuota(self.Holder, store)
	balancer, err := newBalancer(rand.IntN)
	if err != nil {
		return errors.Wrap(err, "node: balancer")
	}
	clock := elapsedClock(n.bootClock)
	n.picker = lacerelay.NewPicker(balancer, lacerelay.WithClock(clock))
	n.shares = n.newShareService(self.Holder, store, clock)
	n.quarantine = n.newQuarantine(store)
	n.streams = n.newStreams(self.Holder, store)
	n.backends = lacerelay.NewBackends(n.picker, n.log, n.maxConnections)
	n.backends.CountTraffic(&n.monitor.dataTraffic)
	n.backends.ObserveVersions(n.streams.SetServing)
	n.link = newLink(n.settings.Machine.LinkMbps, n.monitor.linkTraffic, n.registry)
	n.backends.ExtendHandshakes(func() bool { return n.link.Saturated(time.Now()) })
	n.newGuards()
	n.newReach()
	n.relay = lacerelay.New(lacerelay.Options{
		Codec:    n.adapter.Codec(),
		Routes:   n.routes,
		Quota:    n.quota,
		Picker:   n.picker,
		Backends: n.backends,
		Retries: lacerelay.RetryBounds{
			Window: n.settings.RetryBudget.Window,
			Ratio:  n.settings.RetryBudget.Ratio,
			Slack:  n.settings.RetryBudget.Slack,
		},
		Shares:     n.shares,
		Quarantine: n.quarantine,
		Streams:    n.streams,
		Freshness:  n.tableFreshness,

		ServersLate: n.serversLate,
		Link:        n.link,
		Reach:       n.reach,
		Peers:       n.peers,
		Members:     n.directory.ShareCount,
		Log:         n.log,
		Metrics:     lacerelay.NewMetrics(n.registry),
	})
	n.setUpFollowers(store)
	return nil
}

// newQuota returns the service that reserves tokens of client accounts.
func (n *Node) newQuota(self laceunit.Holder, store Store) *lacequota.Service {
	return lacequota.New(lacequota.Options{
		Self:    self,
		Store:   store,
		Prefix:  budgetPrefix,
		Share:   n.settings.Quota.Share,
		Members: n.directory,
		Lender:  newLenderClient(n),
		Contact: n.tracker,
		Clock:   n.bootClock,
		WarmUp:  discoveryTime,
		Log:     n.log,
		Metrics: lacequota.NewMetrics(n.registry),

		Combination: n.newCombination(),
	})
}

// newShareService returns the service that keeps this instance within its shares of the rate limits of servers.
func (n *Node) newShareService(self laceunit.Holder, store Store, clock func() time.Time) *laceshare.Service {
	return laceshare.New(laceshare.Options{
		Self:     self,
		Store:    store,
		Prefix:   limitPrefix,
		Enforcer: n.picker,
		Fleet:    fleet{node: n},
		Clock:    clock,
		Log:      n.log,
		Metrics:  laceshare.NewMetrics(n.registry),
	})
}

// newStreams returns the service that knows the software versions of streams.
func (n *Node) newStreams(self laceunit.Holder, store Store) *lacestream.Service {
	return lacestream.New(lacestream.Options{
		Self:  self,
		Store: store,
		Keys: lacestream.Keys{
			Versions: versionPrefix,
			Streams:  streamPrefix,
		},
		Current: n.versionsCurrent,
		Era:     func() laceplatform.Era { return n.tracker.Connectivity().Era },
		Members: n.directory.Size,
		Log:     n.log,
		Metrics: lacestream.NewMetrics(n.registry),
	})
}

// setUpFollowers creates the followers of the key prefixes in the store.
func (n *Node) setUpFollowers(store Store) {
	keys := n.adapter.Keys()
	n.followers = []*lacemirror.Follower{
		lacemirror.NewFollower(keys.ConfigPrefix, store, n.tracker, n.log, n.applyConfigs),
		lacemirror.NewFollower(keys.ServerPrefix, store, n.tracker, n.log, n.applyServers),
		lacemirror.NewFollower(fleetPrefix, store, n.tracker, n.log, n.applyFleet),
	}
	for _, f := range n.followers {
		f.AddLogFields(n.monitor.logFields)
	}
	n.followers[serversFollower].SetNormalizer(n.normalizeServer)
	for _, i := range []int{configsFollower, serversFollower} {
		n.followers[i].SetSequencer(n.adapter.Sequence)
	}
	for _, f := range n.followers[1:] {
		f.StartAfter(n.followers[0])
	}
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lace_store_era",
		Help: "How often the store was restored from a backup, as far as this instance has heard; 0 if it does not tell.",
	}, func() float64 { return float64(n.tracker.Connectivity().Era) }))
	for _, f := range n.followers {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "lace_mirror_age_seconds",
			Help:        "Time since a copy of the store was known to be current.",
			ConstLabels: prometheus.Labels{"prefix": string(f.Prefix())},
		}, func() float64 { return roundedUpAge(n.tracker.Now(), f.Status().SyncedAt).Seconds() }))
	}
}

func (n *Node) registerServices() error {
	services := []struct {
		name    lacekernel.Name
		service any
	}{
		{name: nameConfigs, service: n.followers[0]},
		{name: nameServers, service: n.followers[1]},
		{name: nameMembers, service: n.followers[2]},
		{name: nameBackends, service: n.backends},
		{name: namePicker, service: n.picker},
		{name: nameQuota, service: n.quota},
		{name: nameLimits, service: n.shares},
		{name: nameQuarantine, service: n.quarantine},
		{name: nameStreams, service: n.streams},
		{name: nameRegistrar, service: n.registrar},
		{name: nameReplicator, service: newReplicator(n)},
		{name: nameExpiry, service: expiryTicker{n}},
		{name: nameRole, service: &role{node: n}},
		{name: nameReach, service: n.reach},
		{name: namePeers, service: n.peers},
	}
	for _, s := range services {
		if err := n.kernel.Register(s.name, s.service); err != nil {
			return errors.Wrap(err, "node")
		}
	}
	return nil
}

// Ready reports whether the instance accepts requests: it has the configuration, the list of backend servers and what
// the other instances have written, such as which prompts crash servers, and it is not stopping.
func (n *Node) Ready() bool {
	return n.routes.Load() != nil && n.followers[serversFollower].Status().Revision > 0 &&
		n.followers[fleetFollower].Status().Revision > 0 && !n.draining.Load()
}

// Indices of the followers of the configuration, of the backend servers and of what instances write.
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
	return n.directory.Addresses(place), n.settings.DirectoryTTL
}

// maxConnections returns how many connections this instance may open to each server of a service: its share of the
// server's limit, but at least minConnections, since not all instances use a server at the same time.
func (n *Node) maxConnections(id laceunit.ServiceID) int {
	table := n.routes.Load()
	if table == nil {
		return 0
	}
	s, ok := table.Service(id)
	if !ok || s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/n.directory.Size(), minConnections)
}

// discoveryTime is how long instances that start at the same time take to discover each other.
const discoveryTime = 2 * time.Second

// minConnections is the minimum connection limit of an instance for one server.
const minConnections = 8

// applyConfigs applies new versions of the configuration.
func (n *Node) applyConfigs(changes []lacemirror.Change, source lacemirror.Source) {
	for _, c := range changes {
		if c.Removed || c.Entry.Key != n.adapter.Keys().ConfigKey {
			continue
		}
		document, err := n.adapter.DecodeDocument(c.Entry.Value)
		if err != nil {
			n.rejectEntry(c.Entry, err)
			continue
		}
		t := laceroute.NewTable(document)
		if current := n.routes.Load(); current != nil && t.Version() <= current.Version() {
			continue
		}
		// The budgets are configured first, so that no request is admitted under a table whose accounts are not known
		// yet.
		n.quota.Configure(t)
		n.routes.Advance(t)
		n.log.Write(lacelog.Config, lacelog.P(lacelog.Version, t.Version()), lacelog.P(lacelog.Revision, c.Entry.Revision),
			lacelog.P("routes", len(document.Routes)), lacelog.P("accounts", len(document.Accounts)),
			lacelog.P("peer", source.FromPeer))
	}
}

// applyServers applies changes of backend servers.
func (n *Node) applyServers(changes []lacemirror.Change, source lacemirror.Source) {
	var registered []lacerelay.Backend
	var removed []laceunit.ServerID
	for _, c := range changes {
		id := n.adapter.ServerID(c.Entry.Key)
		if c.Removed {
			removed = append(removed, id)
			continue
		}
		b, err := n.adapter.DecodeBackend(c.Entry)
		if err != nil {
			n.rejectEntry(c.Entry, err)
			removed = append(removed, id)
			continue
		}
		registered = append(registered, b)
	}
	n.serversChangedAt.Store(int64(n.tracker.Now()))
	n.backends.Apply(time.Now(), registered, removed, source.RemovalsFinalAt)
}

// applyFleet applies changes of members, of the division of server limits, of crashes and of verdicts on prompt parts.
func (n *Node) applyFleet(changes []lacemirror.Change, source lacemirror.Source) {
	for _, c := range changes {
		switch {
		case strings.HasPrefix(string(c.Entry.Key), string(memberPrefix)):
			n.applyMember(c, source)
		case strings.HasPrefix(string(c.Entry.Key), string(limitPrefix)):
			if c.Removed {
				c.Entry.Revision = source.Revision
			}
			if err := n.shares.ApplyEntry(c.Entry, c.Removed); err != nil {
				n.rejectEntry(c.Entry, err)
			}
		case strings.HasPrefix(string(c.Entry.Key), string(versionPrefix)):
			if err := n.streams.ApplyEntry(c.Entry, c.Removed); err != nil {
				n.rejectEntry(c.Entry, err)
			}
		case QuarantineKeys().Contains(c.Entry.Key):
			if c.Removed {
				c.Entry.Revision = source.Revision
			}
			if err := n.quarantine.ApplyEntry(c.Entry, c.Removed); err != nil {
				n.rejectEntry(c.Entry, err)
			}
		default:
			n.rejectEntry(c.Entry, errors.New("node: unknown key"))
		}
	}
}

// applyMember applies a change of a member.
func (n *Node) applyMember(c lacemirror.Change, source lacemirror.Source) {
	m, err := lacedirectory.Decode(c.Entry.Value)
	switch {
	case err != nil:
		n.rejectEntry(c.Entry, err)
	case c.Removed:
		n.directory.Remove(time.Now(), m.Holder.Instance, source.RemovalsFinalAt)
	default:
		n.directory.Put(m)
	}
}

func (n *Node) rejectEntry(e laceplatform.Entry, err error) {
	n.rejectedInputs.Inc()
	n.log.Write(lacelog.InputRejected, lacelog.P("key", e.Key), lacelog.P(lacelog.Revision, e.Revision),
		lacelog.P(lacelog.Reason, err.Error()))
}

// rejectMessage counts and logs a malformed message of another instance.
func (n *Node) rejectMessage(kind, source string) {
	n.rejectedInputs.Inc()
	n.log.Write(lacelog.InputRejected, lacelog.P("message", kind), lacelog.P("from", source))
}
