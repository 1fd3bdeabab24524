package lacerouter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacesetting"
	"lacewingcove/lib/lacewriter"
)

// The names under which the services find each other in the kernel.
const (
	nameMetrics       lacekernel.Name = "metrics"
	namePlatform      lacekernel.Name = "platform"
	nameFleet         lacekernel.Name = "fleet"
	namePeer          lacekernel.Name = "peer"
	nameLedger        lacekernel.Name = "ledger"
	nameWallet        lacekernel.Name = "wallet"
	nameSelector      lacekernel.Name = "selector"
	nameAdmitter      lacekernel.Name = "admitter"
	nameConfiguration lacekernel.Name = "configuration"
	nameBackend       lacekernel.Name = "backend"
	nameRecovery      lacekernel.Name = "recovery"
	nameResolver      lacekernel.Name = "resolver"
	nameCaller        lacekernel.Name = "caller"
	nameGateway       lacekernel.Name = "gateway"
)

// Instance is one router instance.
type Instance struct {
	settings lacesetting.Settings
	logger   logr.Logger
	kernel   *lacekernel.Kernel
	registry *prometheus.Registry
	fleet    *lacefleet.Service
	gateway  *lacegateway.Gateway
}

// New returns an instance that has not started.
func New(settings lacesetting.Settings, logger logr.Logger) *Instance {
	return &Instance{
		settings: settings,
		logger:   logger,
		kernel:   lacekernel.New(),
		registry: prometheus.NewRegistry(),
	}
}

// Start joins the fleet and serves callers; it retries to join until the context ends.
func (i *Instance) Start(ctx context.Context) error {
	steps := []func(context.Context) error{
		i.addPlatform,
		i.addFleet,
		i.addLedger,
		i.addWallet,
		i.addBackends,
		i.addConfiguration,
		i.addRecovery,
		i.addGateway,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			_ = i.kernel.Close()
			return err
		}
	}
	i.kernel.Start(context.WithoutCancel(ctx))
	i.logger.Info("serving", "callers", i.settings.Caller.Listen, "holder", i.fleet.Self().String())
	return nil
}

// Stop ends the instance gracefully: it leaves the address list, lets requests end, gives grants back and leaves.
func (i *Instance) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.settings.Drain)
	defer cancel()
	i.logger.Info("draining")
	if err := i.fleet.Drain(ctx); err != nil {
		i.logger.Error(err, "not marked as draining in the membership")
	}
	if err := i.gateway.Drain(ctx); err != nil {
		i.logger.Error(err, "requests still running at the end of the drain time")
	}
	err := i.kernel.Close()
	i.logger.Info("stopped")
	return err
}

func (i *Instance) addPlatform(context.Context) error {
	if err := i.kernel.Register(nameMetrics, i.registry); err != nil {
		return err
	}
	client, err := laceplatform.NewClient(i.settings.Platform.Endpoints,
		laceplatform.WithTimeout(i.settings.Platform.Timeout),
		laceplatform.WithName(string(i.settings.Instance)))
	if err != nil {
		return err
	}
	return i.kernel.Register(namePlatform, client)
}

// member keeps the membership until the services that need it have ended.
type member struct {
	*lacefleet.Service
}

// Close leaves the membership and ends its background work.
func (m member) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	left := m.Leave(ctx)
	if err := m.Service.Close(); err != nil {
		return err
	}
	return left
}

func (i *Instance) addFleet(ctx context.Context) error {
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	i.fleet = lacefleet.New(store, lacefleet.Settings{
		Instance: i.settings.Instance,
		Address:  i.settings.Peer.Public,
		Caller:   i.settings.Caller.Public,
		Place:    i.settings.Place,
		Lean:     i.settings.Lean,
		Fence:    i.settings.Member.Fence,
		Retain:   i.settings.Ledger.Retain,
	}, lacefleet.WithLogger(i.logger), lacefleet.WithRegisterer(i.registry))
	if err := i.fleet.Join(ctx); err != nil {
		return errors.Wrap(err, "join")
	}
	return i.kernel.Register(nameFleet, member{Service: i.fleet})
}

func (i *Instance) addLedger(ctx context.Context) error {
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	metrics, err := lacewriter.NewMetrics(i.registry)
	if err != nil {
		return err
	}
	self := lacewriter.Peer{
		Holder:  i.fleet.Self(),
		Address: i.settings.Peer.Public,
	}
	ledger := lacewriter.New(store, self, i.settings.Ledger.Shards, members{fleet: i.fleet}, &http.Client{},
		lacewriter.WithObserver(metrics),
		lacewriter.WithWrites(i.settings.Platform.Writes),
		lacewriter.WithRetain(laceledger.Retain{
			Idempotent: i.settings.Ledger.Idempotent,
			Other:      i.settings.Ledger.Retain,
		}))
	mux := http.NewServeMux()
	mux.Handle(ledger.Handler())
	server, err := listen(ctx, i.settings.Peer.Listen, mux)
	if err != nil {
		return err
	}
	if err := i.kernel.Register(namePeer, server); err != nil {
		return err
	}
	return i.kernel.Register(nameLedger, ledger)
}

func (i *Instance) addWallet(context.Context) error {
	ledger, err := lacekernel.Lookup[laceledger.Ledger](i.kernel, nameLedger)
	if err != nil {
		return err
	}
	policy := lacegrant.DefaultPolicy(i.settings.Lean)
	wallet := lacegrant.NewWallet(i.fleet.Self(), policy)
	return i.kernel.Register(nameWallet, lacegrant.NewService(wallet, ledger))
}

func (i *Instance) addBackends(context.Context) error {
	document := laceconfig.Default()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	balancer, err := lacebalancer.New(document.Routing, random.IntN)
	if err != nil {
		return err
	}
	if err := i.kernel.Register(nameBackend, lacebackend.New()); err != nil {
		return err
	}
	if err := i.kernel.Register(nameSelector, lacegateway.NewSelector(balancer, time.Now)); err != nil {
		return err
	}
	return i.kernel.Register(nameAdmitter, lacegateway.NewAdmitter(document.Limits, time.Now))
}

func (i *Instance) addConfiguration(context.Context) error {
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	selector, err := lacekernel.Lookup[*lacegateway.Selector](i.kernel, nameSelector)
	if err != nil {
		return err
	}
	admitter, err := lacekernel.Lookup[*lacegateway.Admitter](i.kernel, nameAdmitter)
	if err != nil {
		return err
	}
	return i.kernel.Register(nameConfiguration, &configuration{
		store:  laceconfig.NewStore(store),
		fresh:  i.settings.Config.Fresh,
		logger: i.logger,
		changed: func(d *laceconfig.Document) {
			admitter.Configure(d.Limits)
			selector.Configure(d)
		},
	})
}

func (i *Instance) addRecovery(context.Context) error {
	ledger, err := lacekernel.Lookup[*lacewriter.Ledger](i.kernel, nameLedger)
	if err != nil {
		return err
	}
	backend, err := lacekernel.Lookup[lacebackend.Client](i.kernel, nameBackend)
	if err != nil {
		return err
	}
	configuration, err := lacekernel.Lookup[lacegateway.Configuration](i.kernel, nameConfiguration)
	if err != nil {
		return err
	}
	return i.kernel.Register(nameRecovery, &recovery{
		ledger:        ledger,
		fleet:         i.fleet,
		backend:       backend,
		configuration: configuration,
		abandon:       i.settings.Ledger.Abandon,
		logger:        i.logger,
	})
}

func (i *Instance) addGateway(ctx context.Context) error {
	deps, err := i.gatewayDeps()
	if err != nil {
		return err
	}
	i.gateway = lacegateway.New(deps,
		lacegateway.WithHolder(i.fleet.Self()),
		lacegateway.WithLogger(i.logger),
		lacegateway.WithMetrics(lacegateway.NewMetrics(i.registry)))
	if err = i.kernel.Register(nameResolver, i.gateway.Resolver()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", i.gateway.Handler())
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	server, err := listen(ctx, i.settings.Caller.Listen, mux)
	if err != nil {
		return err
	}
	if err := i.kernel.Register(nameCaller, server); err != nil {
		return err
	}
	return i.kernel.Register(nameGateway, i.gateway)
}

func (i *Instance) gatewayDeps() (lacegateway.Deps, error) {
	deps := lacegateway.Deps{
		Members: members{fleet: i.fleet},
		Journal: noJournal{},
	}
	var err error
	if deps.Configuration, err = lacekernel.Lookup[lacegateway.Configuration](i.kernel, nameConfiguration); err != nil {
		return deps, err
	}
	if deps.Wallet, err = lacekernel.Lookup[lacegateway.Wallet](i.kernel, nameWallet); err != nil {
		return deps, err
	}
	if deps.Ledger, err = lacekernel.Lookup[laceledger.Ledger](i.kernel, nameLedger); err != nil {
		return deps, err
	}
	if deps.Picker, err = lacekernel.Lookup[lacegateway.Picker](i.kernel, nameSelector); err != nil {
		return deps, err
	}
	if deps.Backend, err = lacekernel.Lookup[lacebackend.Client](i.kernel, nameBackend); err != nil {
		return deps, err
	}
	deps.Limiter, err = lacekernel.Lookup[lacegateway.Limiter](i.kernel, nameAdmitter)
	return deps, err
}
