package lacerouter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacepeer"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacewire"
	"lacewingcove/lib/lacewriter"
)

// peerMux is the handler of the peer listener. Services register their paths during assembly.
type peerMux struct {
	*http.ServeMux
}

func (i *Instance) addPlatform(context.Context) error {
	if err := i.kernel.Register(nameMetrics, i.registry); err != nil {
		return err
	}
	source, err := i.certificateSource(i.settings.Platform.TLS)
	if err != nil {
		return err
	}
	options := []laceplatform.Option{
		laceplatform.WithTimeout(i.settings.Platform.Timeout),
		laceplatform.WithName(string(i.settings.Instance)),
		laceplatform.WithObserver(newPlatformMetrics(i.registry)),
	}
	if source != nil {
		options = append(options, laceplatform.WithTLS(source.Dialer(i.settings.Platform.Timeout)))
	}
	client, err := laceplatform.NewClient(i.settings.Platform.Endpoints, options...)
	if err != nil {
		return err
	}
	return i.kernel.Register(namePlatform, client)
}

func (i *Instance) addTransport(ctx context.Context) error {
	source, err := i.certificateSource(i.settings.Peer.TLS)
	if err != nil {
		return err
	}
	transport := newPeerTransport(source)
	if err = i.kernel.Register(nameTransport, transport); err != nil {
		return err
	}
	mux := peerMux{ServeMux: http.NewServeMux()}
	server, err := listen(ctx, i.settings.Peer.Listen, mux, transport.serverTLS, i.peerGuard, i.logger)
	if err != nil {
		return err
	}
	if err = i.kernel.Register(namePeer+"-mux", mux); err != nil {
		return err
	}
	return i.kernel.Register(namePeer, server)
}

// peerServices returns the mux and the transport for calls between instances.
func (i *Instance) peerServices() (peerMux, peerTransport, error) {
	mux, err := lacekernel.Lookup[peerMux](i.kernel, namePeer+"-mux")
	if err != nil {
		return mux, peerTransport{}, err
	}
	transport, err := lacekernel.Lookup[peerTransport](i.kernel, nameTransport)
	return mux, transport, err
}

func (i *Instance) addFleet(ctx context.Context) error {
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	mux, transport, err := i.peerServices()
	if err != nil {
		return err
	}
	i.peer = lacepeer.NewClient(i.settings.Instance,
		lacepeer.WithHTTP(transport.client),
		lacepeer.WithScheme(transport.scheme))
	ledgerHistory := &history{
		ledger: i.ledger,
		store:  store,
	}
	i.fleet = lacefleet.New(store, lacefleet.Settings{
		Instance:      i.settings.Instance,
		PeerAddress:   i.settings.Peer.Advertise,
		CallerAddress: i.settings.Caller.Advertise,
		Place:         i.settings.Place,
		Consistency:   i.settings.Consistency,
		FenceTimeout:  i.settings.Member.FenceTimeout,
		Retention:     i.settings.Ledger.Retention,
	},
		lacefleet.WithLogger(i.logger),
		lacefleet.WithRegisterer(i.registry),
		lacefleet.WithTransport(i.peer),
		lacefleet.WithHistory(ledgerHistory))
	ledgerHistory.fleet = i.fleet
	i.journalAdapter = &journalAdapter{
		Service:   i.fleet,
		unflushed: map[laceledger.Request]laceledger.Offline{},
	}
	i.journal = lacejournal.New(i.journalAdapter, i.peer, i.ledger, lacejournal.Limits{}, i.registry)
	i.journalAdapter.journal = i.journal
	i.fleet.AttachJournal(i.journal)
	mux.Handle("/", lacepeer.NewHandler(i.fleet, i.journal, i.transferServer))
	if err = i.fleet.Join(ctx); err != nil {
		return errors.Wrap(err, "join")
	}
	if err = i.kernel.Register(nameJournal, i.journal); err != nil {
		return err
	}
	return i.kernel.Register(nameFleet, fleetService{Service: i.fleet})
}

func (i *Instance) addLedger(context.Context) error {
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	mux, transport, err := i.peerServices()
	if err != nil {
		return err
	}
	metrics, err := lacewriter.NewMetrics(i.registry)
	if err != nil {
		return err
	}
	peers := membershipAdapter{
		fleet:  i.fleet,
		scheme: transport.scheme,
	}
	self := lacewriter.Peer{
		Holder:  i.fleet.Self(),
		Address: i.settings.Peer.Advertise,
	}
	self.Address = peers.peerURL(self.Address)
	ledger := lacewriter.New(store, self, i.settings.Ledger.Shards, peers, transport.client,
		lacewriter.WithObserver(metrics),
		lacewriter.WithWriteRate(i.settings.Platform.WriteRate),
		lacewriter.WithRetention(laceledger.Retention{
			Idempotent:    i.settings.Ledger.IdempotentRetention,
			NonIdempotent: i.settings.Ledger.Retention,
		}))
	mux.Handle(ledger.Handler())
	i.ledger.ledger.Store(ledger)
	return i.kernel.Register(nameLedger, ledger)
}

func (i *Instance) addWallet(context.Context) error {
	ledger, err := lacekernel.Lookup[laceledger.Ledger](i.kernel, nameLedger)
	if err != nil {
		return err
	}
	mux, transport, err := i.peerServices()
	if err != nil {
		return err
	}
	policy := lacegrant.DefaultPolicy(i.settings.Consistency)
	if g := i.settings.Grant; g.Coverage > 0 {
		policy.Coverage = g.Coverage
	}
	if g := i.settings.Grant; g.IdleTimeout > 0 {
		policy.IdleTimeout = g.IdleTimeout
	}
	if g := i.settings.Grant; g.OfflineFraction > 0 {
		policy.OfflineFraction = g.OfflineFraction
	}
	wallet := lacegrant.NewService(lacegrant.NewWallet(i.fleet.Self(), policy), ledger,
		lacegrant.WithWitnesses(witnesses(i.fleet)),
		lacegrant.WithInstances(func() int { return len(i.fleet.Record().Members) }),
		lacegrant.WithTransferSource(transferSource{
			fleet: i.fleet,
			peer:  i.peer,
		}),
		lacegrant.WithRecaller(&recaller{
			ledger: ledger,
			fleet:  i.fleet,
			client: transport.client,
			scheme: transport.scheme,
		}))
	i.journalAdapter.wallet = wallet
	i.transferServer.wallet.Store(wallet)
	server := lacewire.NewGrantServer(recallServer{wallet: wallet})
	mux.Handle(server.PathPrefix(), server)
	return i.kernel.Register(nameWallet, wallet)
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
