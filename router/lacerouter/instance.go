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
	"lacewingcove/lib/lacepeer"
	"lacewingcove/lib/lacesetting"
	"lacewingcove/lib/lacetls"
)

// The names under which the services find each other in the kernel.
const (
	nameMetrics       lacekernel.Name = "metrics"
	nameCertificates  lacekernel.Name = "certificates-"
	namePlatform      lacekernel.Name = "platform"
	nameTransport     lacekernel.Name = "transport"
	namePeer          lacekernel.Name = "peer"
	nameFleet         lacekernel.Name = "fleet"
	nameLedger        lacekernel.Name = "ledger"
	nameWallet        lacekernel.Name = "wallet"
	nameJournal       lacekernel.Name = "journal"
	nameSelector      lacekernel.Name = "selector"
	nameAdmitter      lacekernel.Name = "admitter"
	nameFeed          lacekernel.Name = "feed"
	nameConfiguration lacekernel.Name = "configuration"
	nameReplica       lacekernel.Name = "replica"
	nameBackend       lacekernel.Name = "backend"
	nameRecovery      lacekernel.Name = "recovery"
	nameOrders        lacekernel.Name = "orders"
	nameAdmin         lacekernel.Name = "admin"
	nameResolver      lacekernel.Name = "resolver"
	nameCaller        lacekernel.Name = "caller"
	nameGateway       lacekernel.Name = "gateway"
	nameTrace         lacekernel.Name = "trace"
	nameLimits        lacekernel.Name = "limits"
	nameLimitCopy     lacekernel.Name = "limits-copy"
)

// Instance is one router instance.
type Instance struct {
	settings lacesetting.Settings
	logger   logr.Logger
	kernel   *lacekernel.Kernel
	registry *prometheus.Registry
	fleet    *lacefleet.Service
	book     *lacejournal.Service
	journal  *journal
	peer     *lacepeer.Client
	giver    *giver
	limits   *limits
	ledger   *lateLedger
	gateway  *lacegateway.Gateway
	stop     chan struct{}
	// sources and reloaders are complete when Start returns.
	sources   map[lacesetting.TLS]*lacetls.Source
	reloaders []reloader
}

// New returns an instance that has not started.
func New(settings lacesetting.Settings, logger logr.Logger) *Instance {
	return &Instance{
		settings: settings,
		logger:   logger,
		kernel:   lacekernel.New(),
		registry: prometheus.NewRegistry(),
		ledger:   &lateLedger{},
		giver:    &giver{},
		stop:     make(chan struct{}, 1),
		sources:  map[lacesetting.TLS]*lacetls.Source{},
	}
}

// Start joins the fleet and serves callers; it retries to join until the context ends.
func (i *Instance) Start(ctx context.Context) error {
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

// Stopping is sent to when an operator asks for the planned stop.
func (i *Instance) StopRequested() <-chan struct{} {
	return i.stop
}

// Expelled is closed when the membership has removed this incarnation.
func (i *Instance) Expelled() <-chan struct{} {
	return i.fleet.Expelled()
}

// Stop ends the instance gracefully: it leaves the address list, lets requests end, gives grants back and leaves.
func (i *Instance) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.settings.DrainTimeout)
	defer cancel()
	i.logger.Info("draining")
	i.gateway.StartDraining()
	if err := i.fleet.Drain(ctx); err != nil {
		i.logger.Error(err, "not marked as draining in the membership")
	}
	if err := i.gateway.Drain(ctx); err != nil {
		i.logger.Error(err, "requests still running at the end of the drain time")
	}
	i.limits.Release(ctx)
	i.handBack(ctx)
	err := i.kernel.Close()
	i.logger.Info("stopped")
	return err
}

// leaveInterval is how long a step of the planned stop waits before it is tried again on a failing platform.
const leaveInterval = 500 * time.Millisecond

// handBack brings to the ledger what only this process knows and leaves the membership, while the services that this
// takes are still there. A slow or failing platform is tried again until the drain time is over.
func (i *Instance) handBack(ctx context.Context) {
	if err := i.gateway.Resolver().Drain(ctx); err != nil {
		i.logger.Error(err, "records left open", "count", i.gateway.Resolver().Len())
	}
	if err := persist(ctx, i.book.Flush); err != nil {
		i.logger.Error(err, "journal not flushed")
	}
	if err := i.journal.wallet.Close(); err != nil {
		i.logger.Error(err, "grants not returned")
	}
	if err := persist(ctx, i.fleet.Leave); err != nil {
		i.logger.Error(err, "membership not left; the others remove this instance when its lease has ended")
	}
}

// persist repeats a step until it succeeds or the context ends.
func persist(ctx context.Context, step func(context.Context) error) error {
	for {
		err := step(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaveInterval):
		}
	}
}

// member ends the membership's background work after the services that need it.
type member struct {
	*lacefleet.Service
}
