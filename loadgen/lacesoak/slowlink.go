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
	// eventSlowLink is the kind of the event that overloads the slow link.
	eventSlowLink = "narrow-link"
	// One of seedsPerSlowLink seeds has a slow link: those with the remainder slowLinkSeed. CI's seeds have none.
	seedsPerSlowLink, slowLinkSeed = 4, 3
	// minMbits and maxMbits bound the bandwidth that a seed draws. One request with overloadBodyBytes per caller
	// saturates such a link.
	minMbits, maxMbits = 2, 4
	// minOverload and maxOverload bound the length of the overload. The minimum is long enough for all configuration
	// changes and for requests later than propagationLimit after the last one.
	minOverload = 7 * time.Second
	maxOverload = 10 * time.Second
	// overloadMargin is how long before the quiet period the callers stop, so that their last requests have ended by
	// then. It is also the time before and after the overload without other events at the instance.
	overloadMargin = defaultTimeout + callerSlack
	// linkCallers is the number of callers that send requests to the instance over the link, localCallers the number of
	// those on its machine.
	linkCallers  = 44
	localCallers = 4
	// overloadBodyBytes is the size of the request bodies that overload the link. One of requestsPerEmptyBody requests
	// keeps its small body.
	overloadBodyBytes    = 20_000
	requestsPerEmptyBody = 4
	// addedRouteCount is how many routes a configuration change adds; a site with several hundred teams has as many.
	addedRouteCount = 800
	// changeInterval is the time before each configuration change during the overload.
	changeInterval = 700 * time.Millisecond
	// overloadKeyCount is the number of API keys of the callers' account.
	overloadKeyCount = 4
	// overloadAccountID is the client account of the callers.
	overloadAccountID laceunit.AccountID = "account-press"
)

// addSlowLink adds an event in which callers overload a slow link. It uses a random source of its own. Other events of
// the instance in that time are removed, because they would stop the instance or keep it from reading responses.
func (p *planner) addSlowLink(seed uint64) {
	o := p.options
	latest := o.Duration - QuietPeriod - overloadMargin - minOverload
	if o.LinkMbits == 0 || o.LinkMbits < 0 && seed%seedsPerSlowLink != slowLinkSeed || latest < 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, 3))
	e := event{
		eventType: eventType{
			kind:   eventSlowLink,
			target: targetLink,
		},
		at:    time.Duration(random.Int64N(int64(latest) + 1)),
		index: random.IntN(o.Instances),
		mbits: float64(minMbits + random.IntN(maxMbits-minMbits+1)),
	}
	e.length = min(maxOverload, o.Duration-QuietPeriod-overloadMargin-e.at)
	if o.LinkMbits > 0 {
		e.mbits = o.LinkMbits
	}
	if o.LinkInstance >= 0 {
		e.index = o.LinkInstance
	}
	p.events = slices.DeleteFunc(p.events, func(x event) bool {
		return x.target == targetInstance && x.index == e.index && x.at < e.at+e.length+overloadMargin &&
			x.at+x.length+x.recovery > e.at-overloadMargin
	})
	p.events = append(p.events, e)
}

// findSlowLink returns the slow-link event of a plan, nil if there is none.
func findSlowLink(plan []event) *event {
	if i := slices.IndexFunc(plan, func(e event) bool { return e.target == targetLink }); i >= 0 {
		return &plan[i]
	}
	return nil
}

// proxyPeer routes the peer connections between an instance and the one behind the slow link through the link.
func (t *testbed) proxyPeer(i int, listen laceunit.Address) error {
	if t.slowLink == nil {
		return nil
	}
	directions := t.link.outboundIfOwned
	if i == t.slowLink.index {
		directions = t.link.inbound
	}
	return t.link.proxy(t.advertised.add(listen, t.freeAddress()), listen, directions)
}

// proxyCallersAndStore routes the caller and store connections of the instance behind the slow link through the link.
func (t *testbed) proxyCallersAndStore(i int, x *lacenode.Settings) error {
	if t.slowLink == nil || i != t.slowLink.index {
		return nil
	}
	if err := t.link.proxy(
		t.advertised.add(x.CallerAddress, t.freeAddress()), x.CallerAddress, t.link.inbound,
	); err != nil {
		return err
	}
	store := x.Store.Address
	x.Store.Address = t.freeAddress()
	return t.link.proxy(x.Store.Address, store, t.link.outbound)
}

// advertisedAddresses maps the listen addresses of instances to the addresses at which other processes reach them. The
// zero value is ready to use.
type advertisedAddresses struct {
	mu       sync.Mutex
	byListen map[laceunit.Address]laceunit.Address
}

// add sets the advertised address of a listen address and returns it.
func (a *advertisedAddresses) add(listen, advertised laceunit.Address) laceunit.Address {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byListen == nil {
		a.byListen = map[laceunit.Address]laceunit.Address{}
	}
	a.byListen[listen] = advertised
	return advertised
}

// lookup returns the advertised address of a listen address, which is the listen address itself unless another one was
// added.
func (a *advertisedAddresses) lookup(listen laceunit.Address) laceunit.Address {
	a.mu.Lock()
	defer a.mu.Unlock()
	if advertised, ok := a.byListen[listen]; ok {
		return advertised
	}
	return listen
}

// rewriteEntry returns the value that the store keeps for a key. In the entry of an instance it replaces the listen
// address for peers by the advertised one. Instances learn the address from the store and from each other, so it has to
// be the same for all.
func (a *advertisedAddresses) rewriteEntry(key string, value []byte) []byte {
	if !strings.Contains(key, "/member/") {
		return value
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for listen, advertised := range a.byListen {
		value = bytes.ReplaceAll(value,
			fmt.Appendf(nil, `"peer":"%s"`, listen), fmt.Appendf(nil, `"peer":"%s"`, advertised))
	}
	return value
}

// trackProcess lets the link look up the current process of the instance behind it.
func (t *testbed) trackProcess(f *fleet) {
	if t.slowLink == nil {
		return
	}
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	t.link.pid = func() int {
		if p := f.process(t.slowLink.index, false); p != nil {
			return p.PID()
		}
		return 0
	}
}

func overloadKey(n int) string { return fmt.Sprintf("key-press-%d", n) }

func overloadAccount() laceroute.Account {
	a := laceroute.Account{
		ID:      overloadAccountID,
		Paid:    ampleTokens,
		Prepaid: true,
	}
	for n := range overloadKeyCount {
		a.Keys = append(a.Keys, overloadKey(n))
	}
	return a
}

// addedRoute returns one of the routes that a configuration change adds during the overload.
func addedRoute(n int) routeKind {
	return routeKind{
		name:      fmt.Sprintf("grown-%d", n),
		service:   servicePlain,
		retryMode: laceroute.Idempotent,
	}
}

// change is a configuration change and the time at which the store acknowledged it.
type change struct {
	description  string
	revokedKey   string
	removedRoute string
	addedRoutes  []string
	acknowledged time.Time
}

// overloadLink starts callers that overload the link of an instance and changes the configuration meanwhile.
func (j *injector) overloadLink(ctx context.Context, e event) error {
	j.callers.overload(e.length, time.Until(j.started.Add(j.options.Duration-QuietPeriod)))
	var routes []laceroute.Route
	addition := change{description: "routes added"}
	for n := range addedRouteCount {
		routes = append(routes, addedRoute(n).route())
		addition.addedRoutes = append(addition.addedRoutes, addedRoute(n).name)
	}
	for _, x := range []change{
		addition,
		{description: "key revoked", revokedKey: overloadKey(1)},
		{description: "route removed", removedRoute: addedRoute(0).name},
		{description: "key revoked", revokedKey: overloadKey(2)},
	} {
		if !sleep(ctx, changeInterval) {
			return nil
		}
		err := j.apply(func(c *laceroute.Document) {
			if len(x.addedRoutes) > 0 {
				c.Routes = append(c.Routes, routes...)
			}
			c.Routes = slices.DeleteFunc(c.Routes, func(r laceroute.Route) bool { return r.Name == x.removedRoute })
			for i := range c.Accounts {
				a := &c.Accounts[i]
				a.Keys = slices.DeleteFunc(slices.Clone(a.Keys), func(k string) bool { return k == x.revokedKey })
			}
		})
		if err != nil {
			return err
		}
		x.acknowledged = time.Now()
		j.mu.Lock()
		j.changes = append(j.changes, x)
		j.mu.Unlock()
	}
	return nil
}

// overload starts callers that send requests only to the instance behind the slow link. Those that use the link run for
// a time. Those on the instance's machine only observe it and run until the quiet period.
func (c *callers) overload(length, untilQuiet time.Duration) {
	for n := range linkCallers + localCallers {
		x := c.newCaller()
		x.instance, x.pause = c.testbed.slowLink.index, minThinkTime
		lifetime := length
		if n >= linkCallers {
			x.instance, x.pause = len(c.instances)-1, maxThinkTime
			lifetime = untilQuiet
		}
		c.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), lifetime)
			defer cancel()
			x.runPinned(ctx)
		})
	}
}

// runPinned sends requests to one instance. Some of their keys and routes change during the overload, others don't.
func (c *caller) runPinned(ctx context.Context) {
	defer c.close()
	body := strings.Repeat("x", overloadBodyBytes)
	unchanged := routeKinds()[probeKind]
	unchanged.anonymous = true
	for {
		k := unchanged
		if c.random.IntN(2) == 0 {
			// The first of these routes is removed again.
			k = addedRoute(c.random.IntN(3))
			k.anonymous = true
		}
		q, a := c.newRequest(k)
		a.account, q.APIKey = overloadAccountID, overloadKey(c.random.IntN(overloadKeyCount))
		if c.instance < c.testbed.options.Instances && c.random.IntN(requestsPerEmptyBody) > 0 {
			q.Body = body
		}
		a = c.send(q, a)
		pause := c.pause
		if c.honorsRetryAfter {
			pause = max(pause, a.RetryAfter)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// earliestSend returns a lower bound for the time at which an instance decided to send a request to a server. A slow
// link may delay the request on its way to the server, so its arrival is no such bound.
func (c *checker) earliestSend(instance laceunit.InstanceID, x arrival) time.Time {
	if c.slowLink != nil && instance == instanceID(c.slowLink.index) {
		return x.caller.Sent
	}
	return x.Arrived
}
