package lacesoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewingcove/lib/lacenode"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

const (
	// narrowKind is the kind of the event.
	narrowKind = "narrow-link"
	// narrowEvery is how many seeds there are for each one with a narrow link, narrowSeed which of them that is. CI's seeds
	// have none.
	narrowEvery, narrowSeed = 4, 3
	// leastMbits and mostMbits bound the rate that a seed draws: one request of pressBody a caller fills such a link.
	leastMbits, mostMbits = 2, 4
	// pressLeast is long enough for all changes and for requests later than forceWithin after the last of them.
	pressLeast = 7 * time.Second
	pressMost  = 10 * time.Second
	// pressRest is how long before the quiet tail the callers stop, so that their last requests are over then, and how long
	// other events keep away from the instance before and after.
	pressRest = routeLimit + patience
	// pressers is how many callers stay with the instance and pass the link, onMachine how many are on its machine.
	pressers  = 44
	onMachine = 4
	// pressBody is the body of a request that presses, in bytes; one in smallEvery has none.
	pressBody  = 20_000
	smallEvery = 4
	// grownRoutes is by how many routes the configuration grows; the routes of a site with several hundred teams.
	grownRoutes = 800
	// changeAfter is the time before each change while the callers press.
	changeAfter = 700 * time.Millisecond
	// pressKeys is how many keys the account of the callers has.
	pressKeys = 4
	// pressName is the account of the callers.
	pressName laceunit.AccountID = "account-press"
)

// narrow adds a narrow link that callers press for a time. It is drawn apart from the other events, which leave the instance
// alone in that time: whether it is up and reads answers is their matter.
func (p *planner) narrow(seed uint64) {
	o := p.options
	latest := o.Duration - QuietPeriod - pressRest - pressLeast
	if o.LinkMbits == 0 || o.LinkMbits < 0 && seed%narrowEvery != narrowSeed || latest < 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, 3))
	e := event{
		rule: rule{
			kind:   narrowKind,
			target: theLink,
		},
		at:     time.Duration(random.Int64N(int64(latest) + 1)),
		number: random.IntN(o.Instances),
		rate:   float64(leastMbits + random.IntN(mostMbits-leastMbits+1)),
	}
	e.length = min(pressMost, o.Duration-QuietPeriod-pressRest-e.at)
	if o.LinkMbits > 0 {
		e.rate = o.LinkMbits
	}
	if o.LinkInstance >= 0 {
		e.number = o.LinkInstance
	}
	p.all = slices.DeleteFunc(p.all, func(x event) bool {
		return x.target == anInstance && x.number == e.number && x.at < e.at+e.length+pressRest && x.at+x.length+x.busy > e.at-pressRest
	})
	p.all = append(p.all, e)
}

// narrowLink returns the event of a plan's narrow link, nil for none.
func narrowLink(plan []event) *event {
	if i := slices.IndexFunc(plan, func(e event) bool { return e.target == theLink }); i >= 0 {
		return &plan[i]
	}
	return nil
}

// frontPeer lets the connections between an instance and the one behind the link pass it.
func (s *site) frontPeer(i int, own laceunit.Address) error {
	if s.narrow == nil {
		return nil
	}
	w := s.link.mixed
	if i == s.narrow.number {
		w = s.link.inward
	}
	return s.link.front(s.fronts.add(own, s.free()), own, w)
}

// frontNarrow puts callers and the store of the instance behind the link.
func (s *site) frontNarrow(i int, x *lacenode.Settings) error {
	if s.narrow == nil || i != s.narrow.number {
		return nil
	}
	if err := s.link.front(s.fronts.add(x.CallerAddress, s.free()), x.CallerAddress, s.link.inward); err != nil {
		return err
	}
	store := x.Store.Address
	x.Store.Address = s.free()
	return s.link.front(x.Store.Address, store, s.link.outward)
}

// fronts are the addresses by which others reach those of instances. The zero value is ready to use.
type fronts struct {
	mu sync.Mutex
	of map[laceunit.Address]laceunit.Address
}

// add notes the address by which others reach an instance's own one, and returns it.
func (f *fronts) add(own, front laceunit.Address) laceunit.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.of == nil {
		f.of = map[laceunit.Address]laceunit.Address{}
	}
	f.of[own] = front
	return front
}

// reached returns the address by which others reach one of an instance.
func (f *fronts) reached(own laceunit.Address) laceunit.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	if front, ok := f.of[own]; ok {
		return front
	}
	return own
}

// published returns what the store keeps of an entry: that of an instance names the address by which others reach it. They
// learn it from the store and from each other, so that it has to be the same for all.
func (f *fronts) published(key string, value []byte) []byte {
	if !strings.Contains(key, "/member/") {
		return value
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for own, front := range f.of {
		value = bytes.ReplaceAll(value, fmt.Appendf(nil, `"peer":"%s"`, own), fmt.Appendf(nil, `"peer":"%s"`, front))
	}
	return value
}

// follow tells the link which process is behind it.
func (s *site) follow(f *fleet) {
	if s.narrow == nil {
		return
	}
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	s.link.process = func() int {
		if p := f.process(s.narrow.number, false); p != nil {
			return p.PID()
		}
		return 0
	}
}

func pressKey(n int) string { return fmt.Sprintf("key-press-%d", n) }

func pressAccount() laceroute.Account {
	a := laceroute.Account{
		ID:      pressName,
		Paid:    plenty,
		Prepaid: true,
	}
	for n := range pressKeys {
		a.Keys = append(a.Keys, pressKey(n))
	}
	return a
}

// grownRoute returns one of the routes by which the configuration grows.
func grownRoute(n int) kind {
	return kind{
		name:    fmt.Sprintf("grown-%d", n),
		service: servicePlain,
		repeat:  laceroute.Idempotent,
	}
}

// change is a change of the configuration, with when the store acknowledged it.
type change struct {
	what string
	// key was revoked, gone is a route that was removed; added are routes that were added.
	key   string
	gone  string
	added []string
	at    time.Time
}

// press lets callers stay with an instance and changes the configuration meanwhile.
func (d *driver) press(ctx context.Context, e event) error {
	d.callers.press(e.length, time.Until(d.began.Add(d.options.Duration-QuietPeriod)))
	var grown []laceroute.Route
	grows := change{what: "routes added"}
	for n := range grownRoutes {
		grown = append(grown, grownRoute(n).route())
		grows.added = append(grows.added, grownRoute(n).name)
	}
	for _, x := range []change{
		grows,
		{what: "key revoked", key: pressKey(1)},
		{what: "route removed", gone: grownRoute(0).name},
		{what: "key revoked", key: pressKey(2)},
	} {
		if !sleep(ctx, changeAfter) {
			return nil
		}
		err := d.apply(func(c *laceroute.Document) {
			if len(x.added) > 0 {
				c.Routes = append(c.Routes, grown...)
			}
			c.Routes = slices.DeleteFunc(c.Routes, func(r laceroute.Route) bool { return r.Name == x.gone })
			for i := range c.Accounts {
				a := &c.Accounts[i]
				a.Keys = slices.DeleteFunc(slices.Clone(a.Keys), func(k string) bool { return k == x.key })
			}
		})
		if err != nil {
			return err
		}
		x.at = time.Now()
		d.mu.Lock()
		d.changes = append(d.changes, x)
		d.mu.Unlock()
	}
	return nil
}

// press starts callers that stay with the instance behind the narrow link: those that pass it for a time, the others, who
// only look, up to the quiet tail.
func (c *callers) press(length, quiet time.Duration) {
	for n := range pressers + onMachine {
		x := c.caller()
		x.at, x.most = c.site.narrow.number, thinkLeast
		until := length
		if n >= pressers {
			x.at, x.most = len(c.instances)-1, thinkMost
			until = quiet
		}
		c.all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), until)
			defer cancel()
			x.stay(ctx)
		})
	}
}

// stay sends requests to one instance, with keys and for routes that change and with others that don't.
func (c *caller) stay(ctx context.Context) {
	defer c.close()
	body := strings.Repeat("x", pressBody)
	steady := kinds()[probed]
	steady.anonymous = true
	for {
		k := steady
		if c.random.IntN(2) == 0 {
			// The first route is the one that is removed.
			k = grownRoute(c.random.IntN(3))
			k.anonymous = true
		}
		q, a := c.ask(k)
		a.account, q.APIKey = pressName, pressKey(c.random.IntN(pressKeys))
		if c.at < c.site.options.Instances && c.random.IntN(smallEvery) > 0 {
			q.Body = body
		}
		a = c.send(q, a)
		pause := c.most
		if c.obeys {
			pause = max(pause, a.RetryAfter)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// decided returns a time before which an instance can't have decided to send a request to a server. A narrow link delays it on
// its way there, so that its arrival tells nothing.
func (c *checker) decided(instance laceunit.InstanceID, x arrival) time.Time {
	if c.narrow != nil && instance == instanceID(c.narrow.number) {
		return x.caller.Sent
	}
	return x.Arrived
}
