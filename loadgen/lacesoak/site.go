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
	// stride and mostEvents bound what a stream may cost.
	stride     = 4
	mostEvents = 12
	// slots and queue are those of one backend server.
	slots = 8
	queue = 8
	// routeLimit is the time limit of the routes, shortLimit the one that a change of the configuration sets. With the notice
	// of a planned stop, the longer one has to fit into its grace.
	routeLimit = 2 * time.Second
	shortLimit = time.Second
	// plenty is more than an account can spend in a run, scarce less.
	plenty = 100_000_000
	scarce = 4_000
	// host is the name that callers ask for.
	host = "soak.example"
	// leastPort and mostPort lie below the ports that the system gives to outgoing connections and those that lacestage takes,
	// so that no other process gets an address while its own is away.
	leastPort = 12_000
	mostPort  = 20_000
	// zones is how many availability zones there are.
	zones = 3
)

// The accounts of a run.
const (
	accountRich = iota
	accountDry
	accountToppedUp
	accountRevoked
	accounts
)

// The services of a run.
const (
	serviceModel = "model"
	servicePlain = "plain"
)

// site is what surrounds the instances: the store, the backend servers and the configuration.
type site struct {
	seed     uint64
	options  Options
	store    *lacestage.Store
	recorder *lacestage.Recorder
	// narrow is the event of a narrow link, link that link; nil in runs without one.
	narrow *event
	link   *link
	fronts fronts
	// ports counts through the ports, from a random one on.
	ports atomic.Uint32

	mu       sync.Mutex
	document laceroute.Document
	servers  []*lacestage.Server
	// born counts the processes of each server.
	born []int
}

// newSite starts a store with a configuration and the backend servers.
func newSite(seed uint64, o Options) (*site, error) {
	s := &site{
		seed:     seed,
		options:  o,
		narrow:   narrowLink(newPlan(seed, o)),
		recorder: &lacestage.Recorder{},
		document: document(),
		servers:  make([]*lacestage.Server, o.engines()+o.services()),
		born:     make([]int, o.engines()+o.services()),
	}
	s.store = lacestage.NewStore(lacestage.WithStoreSeed(seed), lacestage.WithRewrite(s.fronts.published))
	if s.narrow != nil {
		s.link = newLink(s.narrow.rate)
		s.document.Accounts = append(s.document.Accounts, pressAccount())
	}
	s.ports.Store(rand.Uint32N(mostPort))
	err := s.apply(func(*laceroute.Document) {})
	for i := range s.servers {
		if err == nil {
			err = s.launch(i, true, "")
		}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "soak: closed with %v", s.close())
	}
	return s, nil
}

func document() laceroute.Document {
	d := laceroute.Document{
		KeyRequired: true,
		Limits:      laceroute.Limits{MaxBodyBytes: 1 << 16},
		Services: []laceroute.Service{
			{ID: serviceModel, MaxConnections: 100, Engine: &laceroute.Engine{MaxTokensPerEvent: stride}},
			{ID: servicePlain, MaxConnections: 100},
		},
	}
	for _, k := range kinds() {
		if !k.later {
			d.Routes = append(d.Routes, k.route())
		}
	}
	for i := range accounts {
		a := laceroute.Account{
			ID:      accountID(i),
			Keys:    []string{key(i, 0), key(i, 1)},
			Paid:    plenty,
			Prepaid: true,
		}
		if i == accountDry || i == accountToppedUp {
			a.Paid = scarce
		}
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

func accountID(i int) laceunit.AccountID { return laceunit.AccountID(fmt.Sprintf("account-%d", i)) }

func key(account, n int) string { return fmt.Sprintf("key-%d-%d", account, n) }

func zone(i int) laceunit.ZoneID { return laceunit.ZoneID(fmt.Sprintf("zone-%d", i%zones)) }

// launch starts a process of a server, at a new address unless one is given; a fresh one gets another id.
func (s *site) launch(i int, fresh bool, at laceunit.Address) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh {
		s.born[i]++
	}
	if at == "" {
		at = s.free()
	}
	o := lacestage.ServerOptions{
		ID:            laceunit.ServerID(fmt.Sprintf("server-%d-%d", i, s.born[i])),
		Service:       serviceModel,
		Zone:          zone(i),
		Kind:          lacestage.Engine,
		Slots:         slots,
		QueueCapacity: queue,
		Address:       at,
		Shape:         shape(),
		Seed:          s.seed,
		WrapConn:      s.link.through,
	}
	if i >= s.options.engines() {
		o.Service, o.Kind = servicePlain, lacestage.Plain
	}
	x, err := lacestage.NewServer(s.store, s.recorder, o)
	if err == nil {
		s.servers[i] = x
	}
	return err
}

func shape() lacestage.ResponseShape {
	return lacestage.ResponseShape{
		MinEvents:    3,
		MaxEvents:    mostEvents,
		MinEventGap:  5 * time.Millisecond,
		MaxEventGap:  60 * time.Millisecond,
		MaxTextBytes: 200,
	}
}

// free returns an address on loopback that nothing listens on, none twice. The choice is not the seed's: it depends on the
// machine.
func (s *site) free() laceunit.Address {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", leastPort+(s.ports.Add(1)%(mostPort-leastPort)))
		if l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address); err == nil {
			_ = l.Close() // Nothing was accepted.
			return laceunit.Address(address)
		}
	}
}

// server returns the present process of a server.
func (s *site) server(i int) *lacestage.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[i]
}

// apply writes a changed configuration.
func (s *site) apply(change func(d *laceroute.Document)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document.Routes, s.document.Accounts = slices.Clone(s.document.Routes), slices.Clone(s.document.Accounts)
	change(&s.document)
	_, err := s.store.Apply(s.document)
	return err
}

// limit returns the time limit of a route in the newest configuration.
func (s *site) limit(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.document.Routes {
		if r.Name == name {
			return r.Timeout
		}
	}
	return routeLimit
}

// close ends the servers and the store.
func (s *site) close() error {
	var first error
	s.link.close()
	for i := range s.servers {
		if x := s.server(i); x != nil {
			if err := x.Close(); !errors.Is(err, lacestage.ErrClosed) && first == nil {
				first = err
			}
		}
	}
	if err := s.store.Close(); first == nil {
		first = err
	}
	return first
}
