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
	// callersPerInstance is the number of callers per instance; a burst doubles it. maxCallers bounds the total, so
	// that the test machine does not become the bottleneck with large fleets.
	callersPerInstance = 6
	maxCallers         = 120
	// minThinkTime and maxThinkTime bound the time between a response and the caller's next request.
	minThinkTime = 10 * time.Millisecond
	maxThinkTime = 120 * time.Millisecond
	// callerSlack is how long callers wait beyond the timeout that they send with a request.
	callerSlack = 500 * time.Millisecond
	// maxPromptTokens is the size of the largest prompt.
	maxPromptTokens = 40
	// requestsPerSwitch is the mean number of requests that a caller sends to one instance before it switches to
	// another.
	requestsPerSwitch = 20
	// One of requestsPerCancel requests is canceled by its caller within maxCancelDelay.
	requestsPerCancel = 20
	maxCancelDelay    = 300 * time.Millisecond
	// maxTakeUps is how often a caller takes up a stream that was broken off.
	maxTakeUps = 3
	// probeInterval is the time between two probes of an instance after the last fault.
	probeInterval = 100 * time.Millisecond
)

// routeKind describes a route and the requests that callers send to it.
type routeKind struct {
	name      string
	service   laceunit.ServiceID
	retryMode laceroute.RetryMode
	stream    bool
	anonymous bool
	// addedLater is true for a route that a configuration change adds during the run.
	addedLater bool
}

// probeKind is the index in routeKinds of the requests that probe instances.
const probeKind = 1

func routeKinds() []routeKind {
	return []routeKind{
		{name: "orders", service: servicePlain, retryMode: laceroute.AtMostOnce},
		{name: "stock", service: servicePlain, retryMode: laceroute.Idempotent},
		{name: "plans", service: serviceModel, retryMode: laceroute.Resumable, stream: true},
		{name: "chat", service: serviceModel, retryMode: laceroute.AtMostOnce, stream: true},
		{name: "open", service: servicePlain, retryMode: laceroute.Idempotent, anonymous: true},
		{name: "added", service: servicePlain, retryMode: laceroute.Idempotent, addedLater: true},
	}
}

func (k routeKind) route() laceroute.Route {
	return laceroute.Route{
		Name:             k.name,
		Host:             host,
		Prefix:           "/" + k.name + "/",
		RetryMode:        k.retryMode,
		Stream:           k.stream,
		Timeout:          defaultTimeout,
		LatencyObjective: defaultTimeout / 5,
		Targets:          []laceroute.Target{{Service: k.service, Weight: 1}},
		MaxAttempts:      2,
		Anonymous:        k.anonymous,
		PrefixAffinity:   k.stream,
	}
}

// callers runs the callers and collects their responses.
type callers struct {
	testbed   *testbed
	instances []lacestage.Instance
	done      chan struct{}
	running   sync.WaitGroup

	mu        sync.Mutex
	created   int
	responses []response
}

// start adds the regular number of callers. They run for the given time, or until close if it is 0.
func (c *callers) start(length time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	if length > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), length)
	}
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-c.done:
		}
	}()
	for range min(callersPerInstance*c.testbed.options.Instances, maxCallers) {
		x := c.newCaller()
		c.running.Go(func() { x.run(ctx) })
	}
}

// close stops the callers after their current requests and waits for them.
func (c *callers) close() {
	close(c.done)
	c.running.Wait()
}

func (c *callers) newCaller() *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.created++
	return &caller{
		callers:          c,
		number:           c.created,
		random:           rand.New(rand.NewPCG(c.testbed.seed, uint64(c.created)<<1)),
		client:           lacestage.NewCaller(c.testbed.recorder, c.instances...),
		honorsRetryAfter: c.created%2 == 0,
	}
}

// probe sends requests to each instance until one succeeds, for at most recoveryLimit.
func (c *callers) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	var probes sync.WaitGroup
	for i := range c.testbed.options.Instances {
		x := c.newCaller()
		x.instance = i
		probes.Go(func() {
			defer x.close()
			for {
				if a := x.call(routeKinds()[probeKind]); a.succeeded() || !sleep(ctx, probeInterval) {
					return
				}
			}
		})
	}
	probes.Wait()
}

// caller sends requests sequentially on connections that it reuses until the instance closes them.
type caller struct {
	*callers
	number int
	random *rand.Rand
	client *lacestage.Caller
	// honorsRetryAfter is true for a caller that waits for the time in Retry-After before its next request.
	honorsRetryAfter bool
	sent             int
	// instance is the index in callers.instances to which it sends requests.
	instance int
	// pause is the time between two requests of a caller that uses only one instance.
	pause time.Duration
}

func (c *caller) run(ctx context.Context) {
	defer c.close()
	kinds := routeKinds()
	succeeded := false
	for {
		if !succeeded || c.random.IntN(requestsPerSwitch) == 0 {
			c.instance = c.random.IntN(c.testbed.options.Instances)
		}
		k := kinds[c.random.IntN(len(kinds))]
		a := c.call(k)
		succeeded = a.succeeded()
		if k.stream && k.retryMode == laceroute.Resumable {
			c.takeUp(k, a)
		}
		pause := minThinkTime + time.Duration(c.random.Int64N(int64(maxThinkTime-minThinkTime)))
		if c.honorsRetryAfter {
			pause = max(pause, a.RetryAfter)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// close closes the caller's connections.
func (c *caller) close() { _ = c.client.Close() } // No connection is in use.

// call sends a request of a kind with a new attempt id.
func (c *caller) call(k routeKind) response { return c.send(c.newRequest(k)) }

// takeUp takes a stream up that was broken off, at most maxTakeUps times, at any instance.
func (c *caller) takeUp(k routeKind, broken response) {
	stream, received := broken.Attempt, eventCount(broken.Body)
	for range maxTakeUps {
		if broken.succeeded() || broken.canceled || received == 0 {
			return
		}
		c.instance = c.random.IntN(c.testbed.options.Instances)
		q, a := c.newRequest(k)
		q.LastEventID, q.Resumes = received, stream
		q.APIKey, a.account = broken.apiKey, broken.account
		a.want = []byte(responseShape().StreamBody(stream, received))
		a = c.send(q, a)
		if a.Status == http.StatusOK {
			received += eventCount(a.Body)
		}
		broken = a
		if !sleep(context.Background(), maxThinkTime) {
			return
		}
	}
}

// eventCount returns the number of complete events in a body.
func eventCount(body []byte) int { return bytes.Count(body, []byte("\n\n")) }

// newRequest returns a request with a new attempt id and its expected response.
func (c *caller) newRequest(k routeKind) (lacestage.Request, response) {
	c.sent++
	q := lacestage.Request{
		Attempt: laceunit.AttemptID(fmt.Sprintf("s%d-%d-%d", c.testbed.seed, c.number, c.sent)),
		Method:  http.MethodPost,
		Host:    host,
		Target:  fmt.Sprintf("/%s/%d", k.name, c.sent),
		Body:    fmt.Sprintf("request %d", c.sent),
		Timeout: defaultTimeout,
	}
	a := response{
		route:         k.name,
		nonIdempotent: k.retryMode == laceroute.AtMostOnce,
		want:          []byte(responseShape().PlainBody(q.Attempt)),
	}
	if k.stream {
		q.InputTokens, q.MaxOutputTokens, q.Metered = laceunit.Tokens(1+c.random.IntN(maxPromptTokens)),
			tokensPerEvent*maxEvents, true
		a.want = []byte(responseShape().StreamBody(q.Attempt, 0))
	}
	if !k.anonymous {
		account := c.random.IntN(accountCount)
		a.account, q.APIKey = accountID(account), accountKey(account, c.random.IntN(2))
	}
	return q, a
}

// send sends a request and records its response.
func (c *caller) send(q lacestage.Request, a response) response {
	a.apiKey, a.local = q.APIKey, c.instance == c.testbed.options.Instances
	wait := defaultTimeout + callerSlack
	if c.random.IntN(requestsPerCancel) == 0 {
		wait = time.Duration(c.random.Int64N(int64(maxCancelDelay)))
		a.canceled = true
	}
	// The context is independent of the run, so that the end of the run does not cancel a request.
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	timeoutBefore := c.testbed.routeTimeout(a.route)
	a.Response = c.client.Call(ctx, c.instances[c.instance].CallerAddress, q)
	a.timeout = min(timeoutBefore, c.testbed.routeTimeout(a.route))
	a.canceled = a.canceled && errors.Is(a.Err, context.DeadlineExceeded)
	a.connRefused = errors.Is(a.Err, syscall.ECONNREFUSED)
	if events := eventCount(a.Body); q.Metered && a.Status == http.StatusOK && events > 0 {
		a.deliveredTokens = min(q.MaxOutputTokens, laceunit.Tokens(events*tokensPerEvent))
		if q.LastEventID == 0 {
			a.deliveredTokens += q.InputTokens
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, a)
	return a
}
