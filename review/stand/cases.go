package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// configure writes the configuration: one service of model servers and one route to it.
func (f *fleet) configure(timeout, objective time.Duration, prepaid int) {
	f.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "plan", "hostname": "shop.example", "path_prefix": "/plan/", "route_type": "streaming",
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": objective.Milliseconds(), "priority": 0,
			"service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 600,
		}},
		"services": []map[string]any{{
			"name": "llm", "max_connections": 360, "health_path": "/healthz", "engine": map[string]any{"stride": tokensPerEvent},
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
		"tenants": tenants(prepaid),
	})
}

// tenantCount is the number of tenants, as on the sheet of the deployment.
const tenantCount = 10

// tenants returns the tenants, each with an equal part of the prepaid tokens.
func tenants(prepaid int) []map[string]any {
	list := []map[string]any{}
	for i := range tenantCount {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{keyOf(i)}, "prepaid": prepaid / tenantCount,
		})
	}
	return list
}

// keyOf returns the key of the tenant that sends the n-th request.
func keyOf(n int) string { return fmt.Sprintf("key-of-tenant-%d", n%tenantCount) }

// unlimited is a budget that no case uses up.
const unlimited = 1 << 40

// send sends calls at a steady rate, in turn to the instances, until stop, and waits for their answers.
func (f *fleet) send(every time.Duration, stop time.Time, next func(n int) (call, bool), got func(call, result)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; time.Now().Before(stop); n++ {
		<-ticker.C
		c, ok := next(n)
		if !ok {
			continue
		}
		c.instance = f.instances[n%len(f.instances)]
		if c.path == "" {
			c.path = "/plan/x"
		}
		c.key = keyOf(0)
		calls.Go(func() { got(c, f.do(c)) })
	}
}

// runUnframed: servers leave as announced, two seconds after the notice, while some of their answers have no length.
func runUnframed(f *fleet, trouble bool) (int, error) {
	f.configure(15*time.Second, time.Second, unlimited)
	var servers []*serverProcess
	for i := range 4 {
		o := serverOptions{
			id: fmt.Sprintf("i-%d", i+1), slots: 64, first: 30 * time.Millisecond, gap: 60 * time.Millisecond,
		}
		if i < 2 {
			// Half of the servers, and one in twenty of their answers.
			o.unframedEvery = 20
		}
		p, err := f.startServer("llm", o)
		if err != nil {
			return exitNotRun, err
		}
		servers = append(servers, p)
	}
	if err := f.startInstances(3); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		go func() {
			time.Sleep(8 * time.Second)
			for i, p := range servers[:2] {
				p.drain()
				time.Sleep(2 * time.Second)
				p.kill()
				// Another one comes four seconds later.
				time.Sleep(4 * time.Second)
				o := p.options
				o.id, o.address = fmt.Sprintf("i-%d", i+5), ""
				if _, err := f.startServer("llm", o); err != nil {
					f.record.line("%v", err)
				}
				time.Sleep(6 * time.Second)
			}
		}()
	}
	const events = 70
	var mu sync.Mutex
	sent, cut, early := 0, 0, 0
	f.send(25*time.Millisecond, time.Now().Add(36*time.Second), func(n int) (call, bool) {
		return call{
			id: fmt.Sprintf("a%05d", n), input: 628, output: events * tokensPerEvent, timeout: 15 * time.Second,
			parts: []string{"5c1e07a2:400", fmt.Sprintf("91bd%04x:128", n%200), fmt.Sprintf("e4%06x:100", n)},
		}, true
	}, func(c call, x result) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		switch {
		case x.status == 200 && x.complete && x.lastID < events:
			early++
			f.record.line("BROKEN %s ends as complete after event %d of %d, receipt %s", c.id, x.lastID, events, x.receipt)
		case x.status == 200 && !x.complete:
			cut++
		}
	})
	f.record.line("sent %d, broken off %d, complete before the last event %d", sent, cut, early)
	fmt.Printf("sent %d, broken off %d, complete before the last event %d\n", sent, cut, early)
	if early > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// deadlyPart is the part that crashes servers.
const deadlyPart = "dead0001"

// poison describes a case with a part of a prompt that crashes servers.
type poison struct {
	instances, servers int
	server             serverOptions
	// sameID keeps the id of a server over its restarts.
	sameID bool
	events int
	// length is how long requests with the deadly part are sent, from deadlyFrom on.
	length time.Duration
	// parts returns the parts of the n-th request, apart from the last one, with or without the deadly part.
	parts func(n int, deadly bool) []string
}

const (
	// deadlyEvery makes one in twenty requests hold the deadly part.
	deadlyEvery = 20
	// deadlyFrom is the time of sound requests only, before the first one.
	deadlyFrom = 6 * time.Second
	// poisonLength is how long such requests come.
	poisonLength = 22 * time.Second
)

// run plays the case. The rule: no more than three requests with a part that crashes servers reach servers later than
// the stable window after the fifth crash.
func (p poison) run(f *fleet, trouble bool) (int, error) {
	f.configure(5*time.Second, 2*time.Second, unlimited)
	var mu sync.Mutex
	last := 0
	newID := func() string {
		mu.Lock()
		defer mu.Unlock()
		last++
		return fmt.Sprintf("i-%d", last)
	}
	p.server.deadly = deadlyPart
	for range p.servers {
		o := p.server
		o.id = newID()
		s, err := f.startServer("llm", o)
		if err != nil {
			return exitNotRun, err
		}
		rename := newID
		if p.sameID {
			rename = nil
		}
		go s.keepRunning(2500*time.Millisecond, rename)
	}
	if err := f.startInstances(p.instances); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	statuses := map[string]int{}
	f.send(50*time.Millisecond, begin.Add(deadlyFrom+p.length+2*time.Second), func(n int) (call, bool) {
		since := time.Since(begin)
		deadly := since > deadlyFrom && since < deadlyFrom+p.length && n%deadlyEvery == deadlyEvery/2
		kind := "s"
		if deadly {
			kind = "d"
		}
		if deadly && !trouble {
			return call{}, false
		}
		return call{
			id: fmt.Sprintf("%s%05d", kind, n), input: 1800, output: p.events * tokensPerEvent, timeout: 5 * time.Second,
			parts: append(p.parts(n, deadly), fmt.Sprintf("e4%06x:100", n)),
		}, true
	}, func(c call, x result) {
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%s %d %t", c.id[:1], x.status, x.complete)]++
	})
	return p.check(f, statuses)
}

// stableWindow is stable_window_ms of the deployment.
const stableWindow = 3000

func (p poison) check(f *fleet, statuses map[string]int) (int, error) {
	crashes, late, arrivals := 0, 0, 0
	var fifth int64
	for _, l := range f.logLines() {
		var at int64
		var id, what string
		if _, err := fmt.Sscan(l, &at, &id, &what); err != nil {
			continue
		}
		if what == "crashes" {
			if crashes++; crashes == 5 {
				fifth = at
			}
		}
		if what == "arrives" && strings.Contains(l, deadlyPart) {
			arrivals++
			if fifth > 0 && at > fifth+stableWindow {
				late++
			}
		}
	}
	text := fmt.Sprintf("crashes %d, arrivals with the part %d, of them later than %d ms after the fifth crash %d; answers %v",
		crashes, arrivals, stableWindow, late, statuses)
	f.record.line("%s", text)
	fmt.Println(text)
	if late > 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// documents returns a number of parts that only this request and one sound request have.
func documents(n, count int) []string {
	parts := []string{"5c1e07a2:400"}
	for i := range count {
		parts = append(parts, fmt.Sprintf("d%05x%02x:100", n, i))
	}
	return parts
}

// runParts: prompts of many parts. Each request with the deadly part is followed by a sound one of the same caller with
// the same other parts.
func runParts(f *fleet, trouble bool) (int, error) {
	return poison{
		instances: 3, servers: 4, events: 40, length: poisonLength,
		server: serverOptions{slots: 64, first: 20 * time.Millisecond, gap: 20 * time.Millisecond},
		parts: func(n int, deadly bool) []string {
			count := partsCount
			if control() {
				count = 4
			}
			switch {
			case deadly:
				return append(documents(n, count), deadlyPart+":100")
			case n%deadlyEvery == deadlyEvery/2+8:
				return documents(n-8, count)
			}
			return documents(n, count)
		},
	}.run(f, trouble)
}

// partsCount is how many parts stand before the deadly one, after the first.
const partsCount = 8

// runShort: all answers are short and have no length.
func runShort(f *fleet, trouble bool) (int, error) {
	p := poison{
		instances: 3, servers: 4, events: 4, length: poisonLength,
		server: serverOptions{slots: 64, first: 20 * time.Millisecond, gap: 20 * time.Millisecond, unframedEvery: 1},
		parts:  fewParts,
	}
	if control() {
		p.server.unframedEvery = 0
	}
	return p.run(f, trouble)
}

// fewParts returns a shared part, a document that many requests have, and the deadly part.
func fewParts(n int, deadly bool) []string {
	parts := []string{"5c1e07a2:400", fmt.Sprintf("d0%06x:200", n%37)}
	if deadly {
		parts = append(parts, deadlyPart+":100")
	}
	return parts
}

// runSingle: the service has one server, which starts again under its id.
func runSingle(f *fleet, trouble bool) (int, error) {
	p := poison{
		instances: 2, servers: 1, events: 4, length: 2 * poisonLength, sameID: true,
		server: serverOptions{slots: 64, first: 20 * time.Millisecond, gap: 20 * time.Millisecond},
		parts:  fewParts,
	}
	if control() {
		p.servers = 2
	}
	return p.run(f, trouble)
}

// control reports whether to leave out what the case claims to be the cause, while the disruption stays: the rule then
// holds.
func control() bool { return os.Getenv("CONTROL") == "1" }
