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
	// callersEach is how many callers there are for each instance; a burst doubles them. In large fleets mostCallers keeps
	// the machine from being the limit.
	callersEach = 6
	mostCallers = 120
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
	repeat    laceroute.RetryMode
	stream    bool
	anonymous bool
	// later means that a change of the configuration adds the route.
	later bool
}

// probed is the kind of request by which instances are probed.
const probed = 1

func kinds() []kind {
	return []kind{
		{name: "orders", service: servicePlain, repeat: laceroute.AtMostOnce},
		{name: "stock", service: servicePlain, repeat: laceroute.Idempotent},
		{name: "plans", service: serviceModel, repeat: laceroute.Resumable, stream: true},
		{name: "chat", service: serviceModel, repeat: laceroute.AtMostOnce, stream: true},
		{name: "open", service: servicePlain, repeat: laceroute.Idempotent, anonymous: true},
		{name: "added", service: servicePlain, repeat: laceroute.Idempotent, later: true},
	}
}

func (k kind) route() laceroute.Route {
	return laceroute.Route{
		Name:             k.name,
		Host:             host,
		Prefix:           "/" + k.name + "/",
		RetryMode:        k.repeat,
		Stream:           k.stream,
		Timeout:          routeLimit,
		LatencyObjective: routeLimit / 5,
		Targets:          []laceroute.Target{{Service: k.service, Weight: 1}},
		MaxAttempts:      2,
		Anonymous:        k.anonymous,
		PrefixAffinity:   k.stream,
	}
}

// callers send requests and keep their answers.
type callers struct {
	site      *site
	instances []lacestage.Instance
	stop      chan struct{}
	all       sync.WaitGroup

	mu      sync.Mutex
	number  int
	answers []answer
}

// add starts the usual number of callers, which go on for a time, or until the end when it is 0.
func (c *callers) add(length time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	if length > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), length)
	}
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-c.stop:
		}
	}()
	for range min(callersEach*c.site.options.Instances, mostCallers) {
		x := c.caller()
		c.all.Go(func() { x.loop(ctx) })
	}
}

// close ends the callers, behind their last answers.
func (c *callers) close() {
	close(c.stop)
	c.all.Wait()
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
func (c *callers) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serveWithin)
	defer cancel()
	var all sync.WaitGroup
	for i := range c.site.options.Instances {
		x := c.caller()
		x.at = i
		all.Go(func() {
			defer x.close()
			for {
				if a := x.call(kinds()[probed]); a.served() || !sleep(ctx, probeEvery) {
					return
				}
			}
		})
	}
	all.Wait()
}

// caller sends one request after the other, on connections that it keeps until the instance closes them.
type caller struct {
	*callers
	number int
	random *rand.Rand
	client *lacestage.Caller
	// obeys is true for a caller that waits as it is told.
	obeys bool
	sent  int
	at    int
	// most is the pause of a caller that stays with an instance.
	most time.Duration
}

func (c *caller) loop(ctx context.Context) {
	defer c.close()
	all := kinds()
	served := false
	for {
		if !served || c.random.IntN(moveEvery) == 0 {
			c.at = c.random.IntN(c.site.options.Instances)
		}
		a := c.call(all[c.random.IntN(len(all))])
		served = a.served()
		pause := thinkLeast + time.Duration(c.random.Int64N(int64(thinkMost-thinkLeast)))
		if c.obeys {
			pause = max(pause, a.RetryAfter)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// close closes the caller's connections.
func (c *caller) close() { _ = c.client.Close() } // No connection is in use.

// call sends one attempt with an id of its own.
func (c *caller) call(k kind) answer { return c.send(c.ask(k)) }

// ask returns an attempt and what its answer has to be.
func (c *caller) ask(k kind) (lacestage.Request, answer) {
	c.sent++
	q := lacestage.Request{
		Attempt: laceunit.AttemptID(fmt.Sprintf("s%d-%d-%d", c.site.seed, c.number, c.sent)),
		Method:  http.MethodPost,
		Host:    host,
		Target:  fmt.Sprintf("/%s/%d", k.name, c.sent),
		Body:    fmt.Sprintf("request %d", c.sent),
		Timeout: routeLimit,
	}
	a := answer{
		route: k.name,
		once:  k.repeat == laceroute.AtMostOnce,
		want:  []byte(shape().PlainBody(q.Attempt)),
	}
	if k.stream {
		q.InputTokens, q.MaxOutputTokens, q.Metered = laceunit.Tokens(1+c.random.IntN(promptMost)), stride*mostEvents, true
		a.want = []byte(shape().StreamBody(q.Attempt, 0))
	}
	if !k.anonymous {
		account := c.random.IntN(accounts)
		a.account, q.APIKey = accountID(account), key(account, c.random.IntN(2))
	}
	return q, a
}

// send sends an attempt and keeps its answer.
func (c *caller) send(q lacestage.Request, a answer) answer {
	a.key, a.local = q.APIKey, c.at == c.site.options.Instances
	wait := routeLimit + patience
	if c.random.IntN(leaveEvery) == 0 {
		wait = time.Duration(c.random.Int64N(int64(leaveMost)))
		a.left = true
	}
	// A caller does not end with the run, so that each of its answers ends by itself.
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	limited := c.site.limit(a.route)
	a.Response = c.client.Call(ctx, c.instances[c.at].CallerAddress, q)
	a.limit = min(limited, c.site.limit(a.route))
	a.left = a.left && errors.Is(a.Err, context.DeadlineExceeded)
	a.refused = errors.Is(a.Err, syscall.ECONNREFUSED)
	if events := bytes.Count(a.Body, []byte("\n\n")); q.Metered && a.Status == http.StatusOK && events > 0 {
		a.given = q.InputTokens + min(q.MaxOutputTokens, laceunit.Tokens(events*stride))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}
