package lacesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

const (
	// observedAccountID is the client account of the observers.
	observedAccountID laceunit.AccountID = "account-observed"
	// observerInterval is the time between two requests of an observer, which looks for the effects of the last
	// observedChanges changes.
	observerInterval = 50 * time.Millisecond
	observedChanges  = 3
	// addedObservedPrefix and removedObservedPrefix begin the names of the routes that changes add and remove.
	addedObservedPrefix   = "later-"
	removedObservedPrefix = "former-"
)

// observedChange is a change that adds a route, removes another one and revokes an API key, each with the number of the
// change in its name.
type observedChange struct {
	number int
	// began is when the operator wrote it, acknowledged when the store had acknowledged it.
	began        time.Time
	acknowledged time.Time
}

func observedKey(n int) string { return fmt.Sprintf("key-observed-%d", n) }

func addedObserved(n int) string { return fmt.Sprintf("%s%d", addedObservedPrefix, n) }

func removedObserved(n int) string { return fmt.Sprintf("%s%d", removedObservedPrefix, n) }

func observedKind(name string) routeKind {
	return routeKind{
		name:      name,
		service:   servicePlain,
		retryMode: laceroute.Idempotent,
		// The observer sets account and key itself.
		anonymous: true,
	}
}

// addObserved adds the account and the routes of observers for a number of changes to a configuration.
func addObserved(d *laceroute.Document, changes int) {
	if changes == 0 {
		return
	}
	a := laceroute.Account{
		ID:      observedAccountID,
		Paid:    ampleTokens,
		Prepaid: true,
	}
	for n := range changes + 1 {
		// The last key is never revoked.
		a.Keys = append(a.Keys, observedKey(n))
	}
	d.Accounts = append(d.Accounts, a)
	for n := range changes {
		d.Routes = append(d.Routes, observedRoute(removedObserved(n)))
	}
}

func observedRoute(name string) laceroute.Route {
	r := observedKind(name).route()
	r.Anonymous = false
	return r
}

// variableRoute returns the route whose timeout an event changes. The first routes are those of serviceFragile and
// serviceBrittle, which no event affects; those of observers do not change which route an event selects.
func variableRoute(d *laceroute.Document, variant int) *laceroute.Route {
	var candidates []int
	for i, r := range d.Routes {
		if i >= 2 && !strings.HasPrefix(r.Name, addedObservedPrefix) && !strings.HasPrefix(r.Name, removedObservedPrefix) {
			candidates = append(candidates, i)
		}
	}
	return &d.Routes[candidates[variant%len(candidates)]]
}

// changeObserved applies the next change that observers look for.
func (j *injector) changeObserved() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.observed)
	x := observedChange{
		number: n,
		began:  time.Now(),
	}
	j.begunChanges.Store(int64(n + 1))
	err := j.apply(func(d *laceroute.Document) {
		d.Routes = slices.DeleteFunc(d.Routes, func(r laceroute.Route) bool { return r.Name == removedObserved(n) })
		d.Routes = append(d.Routes, observedRoute(addedObserved(n)))
		for i := range d.Accounts {
			a := &d.Accounts[i]
			a.Keys = slices.DeleteFunc(slices.Clone(a.Keys), func(k string) bool { return k == observedKey(n) })
		}
	})
	x.acknowledged = time.Now()
	j.observed = append(j.observed, x)
	return err
}

// startObservers starts a caller for each instance that looks for the effects of changes, until the context ends.
func (c *callers) startObservers(ctx context.Context, changes int) {
	if changes == 0 {
		return
	}
	for i := range c.testbed.options.Instances {
		x := c.newCaller()
		x.random = rand.New(rand.NewPCG(c.testbed.seed, uint64(i)<<2|3))
		x.instance = i
		c.running.Go(func() {
			defer x.close()
			for sleep(ctx, observerInterval) {
				x.observe(changes)
			}
		})
	}
}

// observe sends a request whose handling tells whether one of the latest changes is in effect.
func (c *caller) observe(changes int) {
	begun := int(c.testbed.begunChanges.Load())
	n := max(begun-1-c.random.IntN(observedChanges), 0)
	name, key := routeKinds()[probeKind].name, observedKey(changes)
	switch c.random.IntN(3) {
	case 0:
		name = addedObserved(n)
	case 1:
		name = removedObserved(n)
	default:
		key = observedKey(n)
	}
	q, a := c.newRequest(observedKind(name))
	a.account, q.APIKey = observedAccountID, key
	c.send(q, a)
}
