package lacerouter

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/lacepeer"
	"lacewingcove/lib/lacesetting"
	"lacewingcove/lib/lacetls"
)

// The names of the services in the kernel.
const (
	nameMetrics        lacekernel.Name = "metrics"
	nameCertificates   lacekernel.Name = "certificates-"
	namePlatform       lacekernel.Name = "platform"
	nameTransport      lacekernel.Name = "transport"
	namePeer           lacekernel.Name = "peer"
	nameFleet          lacekernel.Name = "fleet"
	nameLedger         lacekernel.Name = "ledger"
	nameWallet         lacekernel.Name = "wallet"
	nameJournal        lacekernel.Name = "journal"
	nameSelector       lacekernel.Name = "selector"
	nameAdmitter       lacekernel.Name = "admitter"
	nameFeed           lacekernel.Name = "feed"
	nameConfiguration  lacekernel.Name = "configuration"
	nameReplica        lacekernel.Name = "replica"
	nameBackend        lacekernel.Name = "backend"
	nameRecovery       lacekernel.Name = "recovery"
	nameOrders         lacekernel.Name = "orders"
	nameAdmin          lacekernel.Name = "admin"
	nameResolver       lacekernel.Name = "resolver"
	nameCaller         lacekernel.Name = "caller"
	nameGateway        lacekernel.Name = "gateway"
	nameTrace          lacekernel.Name = "trace"
	nameLimits         lacekernel.Name = "limits"
	nameLimitRefresher lacekernel.Name = "limits-copy"
)

// Instance is one router instance.
type Instance struct {
	settings       lacesetting.Settings
	logger         logr.Logger
	kernel         *lacekernel.Kernel
	registry       *prometheus.Registry
	fleet          *lacefleet.Service
	journal        *lacejournal.Service
	journalAdapter *journalAdapter
	peer           *lacepeer.Client
	transferServer *transferServer
	limitReplica   *limitReplica
	ledger         *deferredLedger
	gateway        *lacegateway.Gateway
	stopRequested  chan struct{}
	// clientGuard bounds what callers and operators hold of the machine, peerGuard what other instances do.
	clientGuard *lacelistener.Guard
	peerGuard   *lacelistener.Guard
	// certificateSources and reloaders don't change after Start has returned.
	certificateSources map[lacesetting.TLS]*lacetls.Source
	reloaders          []reloader
}

// New returns an instance that is not started yet.
func New(settings lacesetting.Settings, logger logr.Logger) *Instance {
	i := &Instance{
		settings:           settings,
		logger:             logger,
		kernel:             lacekernel.New(),
		registry:           prometheus.NewRegistry(),
		ledger:             &deferredLedger{},
		transferServer:     &transferServer{},
		stopRequested:      make(chan struct{}, 1),
		certificateSources: map[lacesetting.TLS]*lacetls.Source{},
	}
	i.newGuards()
	return i
}

// Start joins the fleet and serves callers. It retries to join until the context is done.
func (i *Instance) Start(ctx context.Context) error {
	i.limitMemory()
	steps := []func(context.Context) error{
		i.addPlatform,
		i.addTransport,
		i.addFleet,
		i.addLedger,
		i.addWallet,
		i.addBackends,
		i.addConfiguration,
		i.addLimits,
		i.addRecovery,
		i.addOrders,
		i.addAdmin,
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

// StopRequested receives a value when an operator requests a graceful shutdown.
func (i *Instance) StopRequested() <-chan struct{} {
	return i.stopRequested
}

// Expelled is closed when this incarnation was removed from the membership.
func (i *Instance) Expelled() <-chan struct{} {
	return i.fleet.Expelled()
}

// Stop shuts the instance down gracefully: it removes the instance from the address list, waits for running requests,
// returns the grants and leaves the membership.
func (i *Instance) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.settings.DrainTimeout)
	defer cancel()
	i.logger.Info("draining")
	i.gateway.StartDraining()
	if err := i.fleet.Drain(ctx); err != nil {
		i.logger.Error(err, "failed to mark the instance as draining in the membership")
	}
	if err := i.gateway.Drain(ctx); err != nil {
		i.logger.Error(err, "requests still running at the end of the drain timeout")
	}
	i.limitReplica.Release(ctx)
	i.flushAndLeave(ctx)
	err := i.kernel.Close()
	i.logger.Info("stopped")
	return err
}

// stopRetryInterval is the delay between attempts of a shutdown step while the platform fails.
const stopRetryInterval = 500 * time.Millisecond

// flushAndLeave writes the records that only this process holds to the ledger, returns the grants and leaves the
// membership before the services needed for this are closed. If the platform is slow or fails, it retries until the
// drain timeout.
func (i *Instance) flushAndLeave(ctx context.Context) {
	if err := i.gateway.Resolver().Drain(ctx); err != nil {
		i.logger.Error(err, "ledger records still unresolved", "count", i.gateway.Resolver().Len())
	}
	if err := retryUntilDone(ctx, i.journal.Flush); err != nil {
		i.logger.Error(err, "journal not flushed")
	}
	if err := i.journalAdapter.wallet.Close(); err != nil {
		i.logger.Error(err, "grants not returned")
	}
	if err := retryUntilDone(ctx, i.fleet.Leave); err != nil {
		i.logger.Error(err,
			"failed to leave the membership; the other instances remove this instance when its lease expires")
	}
}

// retryUntilDone retries a step until it succeeds or the context is done. It returns the last error of the step.
func retryUntilDone(ctx context.Context, step func(context.Context) error) error {
	for {
		err := step(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(stopRetryInterval):
		}
	}
}

// fleetService is the membership as a kernel service: closing it stops the membership's background work, after the
// services that depend on it.
type fleetService struct {
	*lacefleet.Service
}
