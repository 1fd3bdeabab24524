package lacesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

const (
	// tokensPerEvent and maxEvents bound the tokens that a stream may be billed for.
	tokensPerEvent = 4
	maxEvents      = 12
	// serverSlots and serverQueue are the concurrency and the queue capacity of one backend server.
	serverSlots = 8
	serverQueue = 8
	// defaultTimeout is the timeout of the routes, shortTimeout the one that a configuration change sets. The sum of
	// lameDuckPeriod and defaultTimeout must not exceed stopGracePeriod.
	defaultTimeout = 2 * time.Second
	shortTimeout   = time.Second
	// ampleTokens is more than an account can spend in a run, scarceTokens less.
	ampleTokens  = 100_000_000
	scarceTokens = 4_000
	// host is the host name of all requests.
	host = "soak.example"
	// minPort and maxPort bound a range below the system's ephemeral ports and the ports that lacestage uses, so that
	// no other process takes an address while the process that it belongs to is down.
	minPort = 12_000
	maxPort = 20_000
	// zoneCount is the number of availability zones.
	zoneCount = 3
)

// Client accounts of a run.
const (
	accountFunded = iota
	accountScarce
	accountToppedUp
	accountRevoked
	accountCount
)

// Services of a run.
const (
	serviceModel = "model"
	servicePlain = "plain"
)

// testbed is the environment of the instances: the store, the backend servers and the configuration.
type testbed struct {
	seed     uint64
	options  Options
	store    *lacestage.Store
	recorder *lacestage.Recorder
	// slowLink is the event of the slow link and link the link itself; both are nil in runs without one.
	slowLink   *event
	link       *link
	advertised advertisedAddresses
	// ports is a counter from which freeAddress derives the next port; it starts at a random value.
	ports atomic.Uint32

	mu       sync.Mutex
	document laceroute.Document
	servers  []*lacestage.Server
	// generations is the number of server ids that each server has used.
	generations []int
	// leaving are the servers of the events of the kind eventObservedLeave.
	leaving []*lacestage.Server
	// begunChanges is the number of changes that the operator has begun to write for observers.
	begunChanges atomic.Int64
}

// newTestbed starts the store with a configuration and the backend servers.
func newTestbed(seed uint64, o Options) (*testbed, error) {
	plan := newPlan(seed, o)
	t := &testbed{
		seed:        seed,
		options:     o,
		slowLink:    findSlowLink(plan),
		recorder:    &lacestage.Recorder{},
		document:    initialDocument(),
		servers:     make([]*lacestage.Server, o.engineCount()+o.serviceCount()),
		generations: make([]int, o.engineCount()+o.serviceCount()),
	}
	t.store = lacestage.NewStore(lacestage.WithStoreSeed(seed), lacestage.WithRewrite(t.advertised.rewriteEntry))
	if t.slowLink != nil {
		t.link = newLink(t.slowLink.mbits)
		t.document.Accounts = append(t.document.Accounts, overloadAccount())
	}
	addObserved(&t.document, countOf(plan, eventObservedChange))
	t.ports.Store(rand.Uint32N(maxPort))
	err := t.apply(func(*laceroute.Document) {})
	for i := range t.servers {
		if err == nil {
			err = t.startServer(i, true, "")
		}
	}
	if err == nil {
		err = t.startLeaving(plan)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "soak: set-up failed (close: %v)", t.close())
	}
	return t, nil
}

func initialDocument() laceroute.Document {
	d := laceroute.Document{
		KeyRequired: true,
		Limits:      laceroute.Limits{MaxBodyBytes: 1 << 16},
		Services: []laceroute.Service{
			{ID: serviceModel, MaxConnections: 100, Engine: &laceroute.Engine{MaxTokensPerEvent: tokensPerEvent}},
			{ID: servicePlain, MaxConnections: 100},
			{ID: serviceBrittle, MaxConnections: 100},
			{ID: serviceFragile, MaxConnections: 100, Engine: &laceroute.Engine{MaxTokensPerEvent: tokensPerEvent}},
		},
		Routes: []laceroute.Route{fragileRoute().route(), brittleRoute().route()},
	}
	for _, k := range routeKinds() {
		if !k.addedLater {
			d.Routes = append(d.Routes, k.route())
		}
	}
	for i := range accountCount {
		a := laceroute.Account{
			ID:      accountID(i),
			Keys:    []string{accountKey(i, 0), accountKey(i, 1)},
			Paid:    ampleTokens,
			Prepaid: true,
		}
		if i == accountScarce || i == accountToppedUp {
			a.Paid = scarceTokens
		}
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

func accountID(i int) laceunit.AccountID { return laceunit.AccountID(fmt.Sprintf("account-%d", i)) }

func accountKey(account, n int) string { return fmt.Sprintf("key-%d-%d", account, n) }

func zoneID(i int) laceunit.ZoneID { return laceunit.ZoneID(fmt.Sprintf("zone-%d", i%zoneCount)) }

// startServer starts a backend server at an address, or at a new one if it is empty. If fresh is true, the server gets
// a new id.
func (t *testbed) startServer(i int, fresh bool, at laceunit.Address) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fresh {
		t.generations[i]++
	}
	if at == "" {
		at = t.freeAddress()
	}
	o := lacestage.ServerOptions{
		ID:            laceunit.ServerID(fmt.Sprintf("server-%d-%d", i, t.generations[i])),
		Service:       serviceModel,
		Zone:          zoneID(i),
		Version:       t.softwareVersion(i),
		Kind:          lacestage.Engine,
		Slots:         serverSlots,
		QueueCapacity: serverQueue,
		Address:       at,
		Shape:         responseShape(),
		Seed:          t.seed,
		WrapConn:      t.link.wrap,
	}
	if i >= t.options.engineCount() {
		o.Service, o.Kind = servicePlain, lacestage.Plain
	}
	x, err := lacestage.NewServer(t.store, t.recorder, o)
	if err == nil {
		t.servers[i] = x
	}
	return err
}

// softwareVersion returns the software version of the current generation of a server. In runs with an odd seed two
// versions serve side by side, and each new server has the other version than the one that it replaces.
func (t *testbed) softwareVersion(i int) laceunit.SoftwareVersion {
	if t.seed%2 == 1 && (i+t.generations[i])%2 == 1 {
		return "v2"
	}
	return "v1"
}

func responseShape() lacestage.ResponseShape {
	return lacestage.ResponseShape{
		MinEvents:    3,
		MaxEvents:    maxEvents,
		MinEventGap:  5 * time.Millisecond,
		MaxEventGap:  60 * time.Millisecond,
		MaxTextBytes: 200,
	}
}

// freeAddress returns a loopback address on which nothing listens, and none twice until the range is used up. It does
// not depend on the seed, since the free ports depend on the machine.
func (t *testbed) freeAddress() laceunit.Address {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+(t.ports.Add(1)%(maxPort-minPort)))
		if l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address); err == nil {
			_ = l.Close() // No connection was accepted.
			return laceunit.Address(address)
		}
	}
}

// server returns the current generation of a server.
func (t *testbed) server(i int) *lacestage.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[i]
}

// apply changes the configuration and writes it to the store.
func (t *testbed) apply(change func(d *laceroute.Document)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.document.Routes, t.document.Accounts = slices.Clone(t.document.Routes), slices.Clone(t.document.Accounts)
	change(&t.document)
	_, err := t.store.Apply(t.document)
	return err
}

// paid returns the prepaid budget of each client account.
func (t *testbed) paid() map[laceunit.AccountID]laceunit.Tokens {
	t.mu.Lock()
	defer t.mu.Unlock()
	paid := map[laceunit.AccountID]laceunit.Tokens{}
	for _, a := range t.document.Accounts {
		paid[a.ID] = a.Paid
	}
	return paid
}

// routeTimeout returns the timeout of a route in the latest configuration.
func (t *testbed) routeTimeout(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.document.Routes {
		if r.Name == name {
			return r.Timeout
		}
	}
	return defaultTimeout
}

// close closes the link, the servers and the store, and returns the first error.
func (t *testbed) close() error {
	var first error
	t.link.close()
	for i := range t.servers {
		if x := t.server(i); x != nil {
			if err := x.Close(); !errors.Is(err, lacestage.ErrClosed) && first == nil {
				first = err
			}
		}
	}
	for _, x := range t.leaving {
		if err := x.Close(); first == nil {
			first = err
		}
	}
	if err := t.store.Close(); first == nil {
		first = err
	}
	return first
}
