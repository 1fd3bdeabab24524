package lacesoak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
	"lacewingcove/platform/lacestage"
)

const (
	// callersEach is how many callers there are for each instance, burstEach how many a burst adds.
	callersEach = 6
	burstEach   = 6
	// thinkLeast and thinkMost bound a caller's pause between two requests.
	thinkLeast = 10 * time.Millisecond
	thinkMost  = 120 * time.Millisecond
	// patience is how long callers wait beyond the limit that they tell.
	patience = 500 * time.Millisecond
	// promptMost is the largest prompt.
	promptMost = 40
	// moveEvery is how many requests a caller sends to one instance on average before it takes another.
	moveEvery = 20
	// leaveEvery is how many requests there are to one whose caller gives up early, within leaveMost.
	leaveEvery = 20
	leaveMost  = 300 * time.Millisecond
	// probeEvery is how often an instance is asked to serve after the last fault.
	probeEvery = 100 * time.Millisecond
)

// kind is what callers ask for.
type kind struct {
	name      string
	service   laceunit.ServiceID
	repeat    laceroute.Repeat
	stream    bool
	anonymous bool
	// later means that a change of the configuration adds the route.
	later bool
}

// probed is the kind of request by which instances are probed.
const probed = 1

func kinds() []kind {
	return []kind{
		{name: "orders", service: servicePlain, repeat: laceroute.Once},
		{name: "stock", service: servicePlain, repeat: laceroute.Idempotent},
		{name: "plans", service: serviceModel, repeat: laceroute.Resumable, stream: true},
		{name: "chat", service: serviceModel, repeat: laceroute.Once, stream: true},
		{name: "open", service: servicePlain, repeat: laceroute.Idempotent, anonymous: true},
		{name: "added", service: servicePlain, repeat: laceroute.Idempotent, later: true},
	}
}

func (k kind) route() laceroute.Route {
	r := laceroute.Route{
		Name:      k.name,
		Host:      host,
		Prefix:    "/" + k.name + "/",
		Repeat:    k.repeat,
		Stream:    k.stream,
		Timeout:   routeLimit,
		Goal:      routeLimit / 5,
		Targets:   []laceroute.Target{{Service: k.service, Weight: 1}},
		Attempts:  1,
		Anonymous: k.anonymous,
		Affinity:  k.stream,
	}
	if k.repeat != laceroute.Once {
		r.Attempts = 2
	}
	return r
}

// callers send requests and keep their answers.
type callers struct {
	site      *site
	instances []lacestage.Instance
	stop      chan struct{}
	all       sync.WaitGroup

	mu      sync.Mutex
	number  int
	answers []Answer
}

// add starts callers that go on for a time, or until the end when it is 0.
func (c *callers) add(count int, length time.Duration) {
	var over <-chan time.Time
	if length > 0 {
		over = time.After(length)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-over:
		case <-c.stop:
		}
	}()
	for range count {
		x := c.caller()
		c.all.Go(func() { x.loop(ended) })
	}
}

// close ends the callers and returns their answers.
func (c *callers) close() []Answer {
	close(c.stop)
	c.all.Wait()
	return c.answers
}

func (c *callers) caller() *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return &caller{
		callers: c,
		number:  c.number,
		random:  rand.New(rand.NewPCG(c.site.seed, uint64(c.number)<<1)),
		client:  lacestage.NewCaller(c.site.recorder, c.instances...),
		obeys:   c.number%2 == 0,
	}
}

// probe asks each instance until it serves, for as long as it may take to serve again.
func (c *callers) probe() {
	var all sync.WaitGroup
	for i := range c.instances {
		x := c.caller()
		x.at = i
		all.Go(func() {
			defer x.end()
			ticker := time.NewTicker(probeEvery)
			defer ticker.Stop()
			late := time.After(ServeWithin)
			for {
				if a := x.call(kinds()[probed]); a.served() {
					return
				}
				select {
				case <-ticker.C:
				case <-late:
					return
				}
			}
		})
	}
	all.Wait()
}

// caller sends one request after the other, on connections that it keeps until the instance closes them.
type caller struct {
	callers *callers
	number  int
	random  *rand.Rand
	client  *lacestage.Caller
	// obeys is true for a caller that waits as it is told.
	obeys bool
	sent  int
	at    int
}

func (c *caller) loop(ended <-chan struct{}) {
	defer c.end()
	c.move()
	for {
		all := kinds()
		a := c.call(all[c.random.IntN(len(all))])
		pause := thinkLeast + time.Duration(c.random.Int64N(int64(thinkMost-thinkLeast)))
		if c.obeys {
			pause = max(pause, a.RetryAfter)
		}
		if !a.served() || c.random.IntN(moveEvery) == 0 {
			c.move()
		}
		select {
		case <-ended:
			return
		case <-time.After(pause):
		}
	}
}

// end closes the caller's connections.
func (c *caller) end() { _ = c.client.Close() } // No connection is in use.

func (c *caller) move() { c.at = c.random.IntN(len(c.callers.instances)) }

// call sends one attempt with an id of its own.
func (c *caller) call(k kind) Answer {
	c.sent++
	q := lacestage.Request{
		Attempt: laceunit.AttemptID(fmt.Sprintf("s%d-%d-%d", c.callers.site.seed, c.number, c.sent)),
		Method:  http.MethodPost,
		Host:    host,
		Target:  fmt.Sprintf("/%s/%d", k.name, c.sent),
		Body:    fmt.Sprintf("request %d", c.sent),
		Wait:    routeLimit,
	}
	a := Answer{
		Once:  k.repeat == laceroute.Once,
		Limit: c.limit(k),
		Want:  []byte(shape().Plain(q.Attempt)),
	}
	if k.stream {
		q.Input, q.Output, q.Metered = laceunit.Tokens(1+c.random.IntN(promptMost)), stride*mostEvents, true
		a.Want = []byte(shape().Stream(q.Attempt, 0))
	}
	if !k.anonymous {
		account := c.random.IntN(accounts)
		a.Account, q.Key = accountID(account), key(account, c.random.IntN(2))
	}
	wait := routeLimit + patience
	if c.random.IntN(leaveEvery) == 0 {
		wait = time.Duration(c.random.Int64N(int64(leaveMost)))
		a.Left = true
	}
	ctx, cancel := context.WithTimeout(background(), wait)
	defer cancel()
	a.Answer = c.client.Call(ctx, c.callers.instances[c.at].Caller, q)
	a.Limit = min(a.Limit, c.limit(k))
	a.Left = a.Left && errors.Is(a.Err, context.DeadlineExceeded)
	a.Refused = errors.Is(a.Err, syscall.ECONNREFUSED)
	if q.Metered {
		a.Given = given(q, a.Body, a.Status)
	}
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.answers = append(c.callers.answers, a)
	return a
}

// limit is the time limit of a route as it is configured at this moment.
func (c *caller) limit(k kind) time.Duration {
	if t, ok := c.callers.site.limit(k.name); ok {
		return t
	}
	return routeLimit
}

// given returns the tokens of the events that reached a caller, and of its prompt if any did.
func given(q lacestage.Request, body []byte, status int) laceunit.Tokens {
	events := bytes.Count(body, []byte("\n\n"))
	if status != http.StatusOK || events == 0 {
		return 0
	}
	return q.Input + min(q.Output, laceunit.Tokens(events*stride))
}

// background is the context of what has to end by its own limits, also when the run is interrupted.
func background() context.Context { return context.Background() }
