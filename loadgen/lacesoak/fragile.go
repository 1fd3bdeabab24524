package lacesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

const (
	// serviceFragile is a service whose servers crash when they begin to respond to a request with crashPart. No other
	// event affects them.
	serviceFragile = "fragile"
	crashPart      = "bad"
	fragileServers = 4
	// restartDelay is how long a server is down after a crash.
	restartDelay = 700 * time.Millisecond
	// crashDelay is the time from the start of the run until callers send requests with crashPart, crashInterval the time
	// between two of them.
	crashDelay    = 1500 * time.Millisecond
	crashInterval = 150 * time.Millisecond
	// soundCallers is the number of callers that send other requests to the service.
	soundCallers = 3
	// quarantineTime is how long after the fifth crash requests with crashPart may reach servers, except for
	// maxLateCrashRequests.
	quarantineTime       = 3 * time.Second
	crashesUntilBound    = 5
	maxLateCrashRequests = 3
)

// fragileRoute is the route to serviceFragile. It is not among routeKinds, from which the callers draw.
func fragileRoute() routeKind {
	return routeKind{
		name:      serviceFragile,
		service:   serviceFragile,
		retryMode: laceroute.Resumable,
		stream:    true,
	}
}

// fragileService runs the servers of serviceFragile and their callers.
type fragileService struct {
	testbed *testbed
	workers sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	err     error
}

// start starts the servers and the callers; they run until the context ends.
func (f *fragileService) start(ctx context.Context, c *callers) {
	for i := range fragileServers {
		f.workers.Go(func() { f.runServer(ctx, i) })
	}
	for i := range soundCallers + 1 {
		x := c.newCaller()
		x.random = rand.New(rand.NewPCG(f.testbed.seed, uint64(i)<<1|1))
		f.workers.Go(func() {
			defer x.close()
			f.runCaller(ctx, x, i == soundCallers)
		})
	}
}

// wait waits until everything has stopped and returns the crashes.
func (f *fragileService) wait() ([]time.Time, error) {
	f.workers.Wait()
	return f.crashes, f.err
}

// runServer runs a server and restarts it after each crash, in turn under its id and under a new one.
func (f *fragileService) runServer(ctx context.Context, index int) {
	t := f.testbed
	o := lacestage.ServerOptions{
		Service: serviceFragile,
		Zone:    zoneID(index),
		Kind:    lacestage.Engine,
		Slots:   serverSlots,
		Address: t.freeAddress(),
		Shape:   responseShape(),
		Seed:    t.seed,
	}
	err := restartingServer{
		testbed: t,
		options: func(starts int) lacestage.ServerOptions {
			o.ID = laceunit.ServerID(fmt.Sprintf("fragile-%d-%d", index, starts/2))
			return o
		},
		prepare:  func(s *lacestage.Server) { s.SetFault(lacestage.ServerFault{CrashPart: crashPart}) },
		crashed:  f.recordCrash,
		downtime: restartDelay,
	}.run(ctx)
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.err = err
	}
}

func (f *fragileService) recordCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
}

// runCaller sends requests that share all parts but crashPart with those of the other callers.
func (f *fragileService) runCaller(ctx context.Context, c *caller, crashing bool) {
	interval, parts := maxThinkTime, []string{"base:3", "shop:5"}
	if crashing {
		interval = crashInterval
		parts = append(parts, crashPart+":2")
		sleep(ctx, crashDelay)
	}
	for sleep(ctx, interval) {
		c.instance = c.random.IntN(f.testbed.options.Instances)
		q, a := c.newRequest(fragileRoute())
		account := accountFunded
		a.account, q.APIKey = accountID(account), accountKey(account, 0)
		q.Model, q.PromptParts = "m", append(slices.Clone(parts), string(q.Attempt)+":4")
		a.crashing = crashing
		c.send(q, a)
	}
}

// checkQuarantine looks for requests with crashPart that reached servers after the time within which all instances have
// to keep them away. An instance that had a fault shortly before, or that could not use the store, is excused.
func (c *checker) checkQuarantine() {
	if len(c.crashes) < crashesUntilBound {
		return
	}
	boundary := c.crashes[crashesUntilBound-1].Add(quarantineTime)
	var late []laceunit.AttemptID
	for i := range c.serverRecords {
		x := &c.serverRecords[i]
		a := c.responseByAttempt[x.Attempt]
		if a == nil || !a.crashing || !x.Arrived.After(boundary) || c.isExcused(x) {
			continue
		}
		late = append(late, x.Attempt)
	}
	if len(late) > maxLateCrashRequests {
		c.addViolation(guaranteeQuarantine, late, "%d servers crashed; %d requests with the part reached servers more than %s "+
			"after the fifth crash", len(c.crashes), len(late), quarantineTime)
	}
}

// isExcused reports whether the instance or the store had a fault within quarantineTime before a request.
func (c *checker) isExcused(x *lacestage.RequestRecord) bool {
	from := x.Arrived.Add(-quarantineTime)
	return c.hadEvent(x.Instance, from, x.Arrived, eventStop, eventKill, eventFreeze) ||
		slices.ContainsFunc(c.injections, func(d injection) bool {
			return d.target == targetStore && d.started.Before(x.Arrived) && d.effectEnd().After(from)
		})
}
