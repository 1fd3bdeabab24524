package lacesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

const (
	// serviceBrittle is a service whose servers become brittle after brittleDelay. No other event affects them.
	serviceBrittle = "brittle"
	brittleServers = 3
	brittleDelay   = 1500 * time.Millisecond
	// brittleWork is how long the servers need for a request. They are down for brittleDowntime after a fall.
	brittleWork     = 50 * time.Millisecond
	brittleDowntime = 1500 * time.Millisecond
	// brittleCallers is the number of callers per instance, which together ask for more than the servers take.
	brittleCallers = 10
	// freeFalls and serversPerFall set how many falls are permitted.
	freeFalls      = 2
	serversPerFall = 10
)

// brittleness returns how the servers behave once they are brittle.
func brittleness() *lacestage.Brittleness {
	return &lacestage.Brittleness{
		MaxRejections: 5,
		Settle:        3 * time.Second,
		QueueCapacity: serverQueue / 4,
	}
}

// brittleRoute is the route to serviceBrittle. It is not among routeKinds, from which the callers draw.
func brittleRoute() routeKind {
	return routeKind{
		name:      serviceBrittle,
		service:   serviceBrittle,
		retryMode: laceroute.Idempotent,
	}
}

// brittleService runs the servers of serviceBrittle and their callers.
type brittleService struct {
	testbed *testbed
	workers sync.WaitGroup

	mu    sync.Mutex
	falls int
	err   error
}

// start starts the servers and the callers; they run until the context ends.
func (b *brittleService) start(ctx context.Context, c *callers) {
	since := time.Now().Add(brittleDelay)
	for i := range brittleServers {
		b.workers.Go(func() { b.runServer(ctx, i, since) })
	}
	for i := range brittleCallers * b.testbed.options.Instances {
		x := c.newCaller()
		x.random = rand.New(rand.NewPCG(b.testbed.seed, uint64(i)<<2|1))
		x.instance = i % b.testbed.options.Instances
		b.workers.Go(func() {
			defer x.close()
			b.runCaller(ctx, x)
		})
	}
}

// wait waits until everything has stopped and returns the number of falls.
func (b *brittleService) wait() (int, error) {
	b.workers.Wait()
	return b.falls, b.err
}

// runServer runs a server and restarts it after each fall.
func (b *brittleService) runServer(ctx context.Context, index int, since time.Time) {
	t := b.testbed
	o := lacestage.ServerOptions{
		ID:            laceunit.ServerID(fmt.Sprintf("brittle-%d", index)),
		Service:       serviceBrittle,
		Zone:          zoneID(index),
		Slots:         serverSlots,
		QueueCapacity: serverQueue,
		Address:       t.freeAddress(),
		Shape:         responseShape(),
		Seed:          t.seed,
	}
	err := restartingServer{
		testbed: t,
		options: func(int) lacestage.ServerOptions { return o },
		prepare: func(s *lacestage.Server) {
			s.SetFault(lacestage.ServerFault{Delay: brittleWork})
			sleep(ctx, time.Until(since))
			s.SetBrittle(brittleness())
		},
		crashed: func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.falls++
		},
		downtime: brittleDowntime,
	}.run(ctx)
	if err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.err = err
	}
}

// runCaller sends requests without a pause, unless it honors Retry-After.
func (b *brittleService) runCaller(ctx context.Context, c *caller) {
	for ctx.Err() == nil {
		q, a := c.newRequest(brittleRoute())
		a.account, q.APIKey = accountID(accountFunded), accountKey(accountFunded, 0)
		pause := minThinkTime
		if a = c.send(q, a); c.honorsRetryAfter {
			pause = max(pause, a.RetryAfter)
		}
		sleep(ctx, pause)
	}
}

// checkFalls looks for brittle servers that fell over since they had to reject too many requests, and for a service that
// served nobody while its servers were brittle.
func (c *checker) checkFalls() {
	if !c.brittle {
		return
	}
	if most := freeFalls + brittleServers/serversPerFall; c.falls > most {
		c.addViolation(guaranteeBrittle, nil, "%d brittle servers fell over %d times; allowed %d", brittleServers, c.falls, most)
	}
	settled, served := c.started.Add(brittleDelay+brittleness().Settle), 0
	for i := range c.responses {
		if a := &c.responses[i]; a.route == serviceBrittle && a.Sent.After(settled) && a.succeeded() {
			served++
		}
	}
	// The servers could serve a request in a fraction of a second even with one slot each.
	if least := int(time.Duration(brittleServers) * c.faultsEnded.Sub(settled) / time.Second); served < least {
		c.addViolation(guaranteeBrittle, nil, "brittle servers served %d requests, at least %d expected", served, least)
	}
}
