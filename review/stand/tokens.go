package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// inputTokens and tokenEvents are the size of each request of the case tokens.
	inputTokens = 1800
	tokenEvents = 10
	requestSize = inputTokens + tokenEvents*tokensPerEvent
	// requestInterval is the time between two requests.
	requestInterval = 50 * time.Millisecond
	// finalFault is when all processes are killed, dayLength when the last request is sent.
	finalFault = 34 * time.Second
	dayLength  = 58 * time.Second
	// recoverTime is recover_s of the deployment.
	recoverTime = 12 * time.Second
	// prepaid is 1.3 times what all requests of the case take together, as on the sheet of the deployment.
	prepaid = 13 * requestSize * int(dayLength/requestInterval) / 10
	// killShare is the share of the instances that are killed at the same moment; they are away for killedFor.
	killShare    = 0.6
	killedFor    = 2 * time.Second
	killInterval = 4 * time.Second
	// finalDown is how long all processes are away after the final fault.
	finalDown = 800 * time.Millisecond
)

// outcome is what became of a request.
type outcome struct {
	sent   time.Time
	served bool
	status int
}

// runTokens: most instances are killed at the same moment, several times; at the end, all are. The rule: of the requests
// sent later than recoverTime after the instances are back, a quarter is served, if a quarter was before.
func runTokens(f *fleet, trouble bool) (int, error) {
	f.configure(5*time.Second, 2*time.Second, prepaid)
	for i := range 4 {
		o := serverOptions{
			id: fmt.Sprintf("i-%d", i+1), slots: 64, first: 20 * time.Millisecond, gap: 10 * time.Millisecond,
		}
		if _, err := f.startServer("llm", o); err != nil {
			return exitNotRun, err
		}
	}
	if err := f.startInstances(5); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	if trouble {
		go f.killInTurn(begin)
	}
	outcomes, delivered := f.sendWithRetry(begin)
	return f.checkRecovery(begin, outcomes, delivered)
}

// killInTurn plays the disruptions.
func (f *fleet) killInTurn(begin time.Time) {
	count := int(killShare * float64(len(f.instances)))
	for at := 2 * time.Second; at < finalFault-killInterval && !control(); at += killInterval {
		time.Sleep(time.Until(begin.Add(at)))
		list := append([]*instance(nil), f.instances...)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		f.killInstances(list[:count], killedFor)
	}
	time.Sleep(time.Until(begin.Add(finalFault)))
	f.killInstances(f.instances, finalDown)
}

// sendWithRetry sends the requests, each to an instance that has a process. A client retries once, at another instance
// and as late as it was told, if the request has not run. It returns also the tokens that servers have delivered.
func (f *fleet) sendWithRetry(begin time.Time) ([]outcome, int) {
	var mu sync.Mutex
	var outcomes []outcome
	delivered := 0
	var calls sync.WaitGroup
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for n := 0; time.Since(begin) < dayLength; n++ {
		<-ticker.C
		calls.Go(func() {
			o := outcome{sent: time.Now()}
			for attempt := range 2 {
				x := f.do(call{
					instance: f.pickInstance(), id: fmt.Sprintf("t%05d-%d", n, attempt), path: "/plan/x",
					key: keyOf(n), input: inputTokens, output: tokenEvents * tokensPerEvent, timeout: 5 * time.Second,
					parts: []string{"5c1e07a2:568", fmt.Sprintf("d0%06x:600", n%37), fmt.Sprintf("e4%06x:632", n)},
				})
				o.status, o.served = x.status, x.status == 200 && x.complete && x.lastID == tokenEvents
				mu.Lock()
				if x.events > 0 {
					delivered += inputTokens + x.events*tokensPerEvent
				}
				mu.Unlock()
				if x.status != 503 && x.status != 0 {
					break
				}
				time.Sleep(min(x.retryAfter, 5*time.Second/3))
			}
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		})
	}
	calls.Wait()
	return outcomes, delivered
}

// pickInstance returns a random instance that has a process.
func (f *fleet) pickInstance() *instance {
	for range 100 {
		if x := f.instances[rand.IntN(len(f.instances))]; x.running() {
			return x
		}
		time.Sleep(10 * time.Millisecond)
	}
	return f.instances[0]
}

func (f *fleet) checkRecovery(begin time.Time, outcomes []outcome, delivered int) (int, error) {
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	statuses := map[int]int{}
	for _, o := range outcomes {
		switch at := o.sent.Sub(begin); {
		case at < finalFault:
			before++
			if o.served {
				servedBefore++
			}
		case at > finalFault+finalDown+recoverTime:
			after++
			statuses[o.status]++
			if o.served {
				servedAfter++
			}
		}
	}
	text := fmt.Sprintf("before the final fault %d of %d served, from 12 s after it %d of %d (statuses %v); "+
		"delivered %d of %d prepaid tokens", servedBefore, before, servedAfter, after, statuses, delivered, prepaid)
	f.record.line("%s", text)
	fmt.Println(text)
	if 4*servedBefore >= before && 4*servedAfter < after {
		return exitBroken, nil
	}
	return exitHeld, nil
}
