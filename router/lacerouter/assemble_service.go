package lacerouter

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefeed"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceorder"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacereplica"
	"lacewingcove/lib/lacetrace"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
)

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
	backend, err := lacekernel.Lookup[lacebackend.Client](i.kernel, nameBackend)
	if err != nil {
		return err
	}
	mux, transport, err := i.peerServices()
	if err != nil {
		return err
	}
	var feed *lacefeed.Feed
	replica := lacereplica.New(laceconfig.NewStore(store), replicaFleet{fleet: i.fleet}, transport.client, laceconfig.ReplicaSettings{
		Self:         i.fleet.Self(),
		Consistency:  i.settings.Consistency,
		MaxStaleness: i.settings.Config.MaxStaleness,
	},
		lacereplica.WithScheme(transport.scheme),
		lacereplica.WithInstall(func(d laceconfig.Document) {
			i.logger.Info("configuration in force", "version", d.Version)
			admitter.Configure(d.Limits)
			selector.Configure(&d)
			feed.Refresh()
		}),
		lacereplica.WithReject(func(from laceunit.Holder, err error) {
			i.logger.Error(err, "configuration message rejected", "from", from.String())
		}))
	feed = lacefeed.New(func() map[laceunit.ServerID]laceconfig.Server {
		return replica.Document().Servers
	}, backend, selector, lacefeed.WithSettings(lacefeed.Settings{ListAddress: i.settings.InstanceListURL}))
	newVersionMetric(i.registry, func() laceunit.Version { return replica.Document().Version })
	mux.Handle(replica.Handler())
	if err = i.kernel.Register(nameReplica, replica); err != nil {
		return err
	}
	if err = i.kernel.Register(nameFeed, feed); err != nil {
		return err
	}
	return i.kernel.Register(nameConfiguration, configuration{replica: replica})
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
		journal:       i.journal,
		backend:       backend,
		configuration: configuration,
		abandon:       i.settings.Ledger.AbandonAge,
		logger:        i.logger,
	})
}

func (i *Instance) addOrders(context.Context) error {
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	commander, err := lacekernel.Lookup[laceorder.EngineClient](i.kernel, nameBackend)
	if err != nil {
		return err
	}
	timing := laceorder.DefaultTiming()
	timing.ClockDrift, timing.MaxPause = i.settings.Orders.ClockDrift, i.settings.Orders.MaxPause
	return i.kernel.Register(nameOrders, laceorder.New(store, commander, i.fleet.Self(),
		laceorder.WithTiming(timing),
		laceorder.WithLoadRate(i.settings.Orders.LoadRate, 1)))
}

// addAdmin opens the admin listener, unless no operators file is configured.
func (i *Instance) addAdmin(ctx context.Context) error {
	if i.settings.Admin.OperatorsFile == "" {
		return nil
	}
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	ledger, err := lacekernel.Lookup[laceledger.Ledger](i.kernel, nameLedger)
	if err != nil {
		return err
	}
	replica, err := lacekernel.Lookup[*lacereplica.Service](i.kernel, nameReplica)
	if err != nil {
		return err
	}
	orders, err := lacekernel.Lookup[laceadmin.Orders](i.kernel, nameOrders)
	if err != nil {
		return err
	}
	operators, err := laceadmin.NewOperators(i.settings.Admin.OperatorsFile)
	if err != nil {
		return err
	}
	i.reloaders = append(i.reloaders, reloader{
		name:   "operators",
		reload: operators.Reload,
	})
	config, err := i.serverTLS(i.settings.Admin.TLS)
	if err != nil {
		return err
	}
	handler := laceadmin.NewServer(laceadmin.Deps{
		Configuration: laceconfig.NewStore(store),
		Ledger: adminLedger{
			ledger:    ledger,
			accountOf: func(b laceunit.BudgetID) laceunit.AccountID { return accountOf(replica.Document(), b) },
		},
		Members:   adminMembers{fleet: i.fleet},
		Drainer:   drainer{stopRequested: i.stopRequested},
		Orders:    orders,
		AuditLog:  laceadmin.NewAuditLog(store),
		Operators: operators,
		OnEdit:    replica.Refresh,
		Now:       time.Now,
	})
	server, err := listen(ctx, i.settings.Admin.Listen, handler, config, i.clientGuard, i.logger)
	if err != nil {
		return err
	}
	return i.kernel.Register(nameAdmin, server)
}

// accountOf returns the client account to which a document assigns a budget.
func accountOf(d laceconfig.Document, budget laceunit.BudgetID) laceunit.AccountID {
	for id, a := range d.Accounts {
		for _, b := range a.Budgets {
			if b == budget {
				return id
			}
		}
	}
	return ""
}

func (i *Instance) addGateway(ctx context.Context) error {
	deps, err := i.gatewayDeps()
	if err != nil {
		return err
	}
	recorder, err := i.traceRecorder()
	if err != nil {
		return err
	}
	i.gateway = lacegateway.New(deps,
		lacegateway.WithHolder(i.fleet.Self()),
		lacegateway.WithLogger(i.logger),
		lacegateway.WithRecorder(recorder),
		lacegateway.WithMetrics(lacegateway.NewMetrics(i.registry)))
	if err = i.kernel.Register(nameResolver, i.gateway.Resolver()); err != nil {
		return err
	}
	config, err := i.serverTLS(i.settings.Caller.TLS)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", i.gateway.Handler())
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	server, err := listen(ctx, i.settings.Caller.Listen, mux, config, i.clientGuard, i.logger)
	if err != nil {
		return err
	}
	if err := i.kernel.Register(nameCaller, server); err != nil {
		return err
	}
	return i.kernel.Register(nameGateway, i.gateway)
}

// traceRecorder returns the recorder of request traces, or nil if tracing is disabled.
func (i *Instance) traceRecorder() (*lacetrace.Recorder, error) {
	if i.settings.TraceFile == "" {
		return nil, nil //nolint:nilnil // a nil recorder records nothing
	}
	file, err := newTraceFile(i.settings.TraceFile)
	if err != nil {
		return nil, err
	}
	i.reloaders = append(i.reloaders, reloader{
		name:   "trace",
		reload: file.reopen,
	})
	return lacetrace.NewRecorder(file), i.kernel.Register(nameTrace, file)
}

func (i *Instance) gatewayDeps() (lacegateway.Deps, error) {
	deps := lacegateway.Deps{
		Membership: membershipAdapter{fleet: i.fleet},
		Journal:    i.journalAdapter,
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
