package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// reuseAfter is reuse_after_s of the deployment, after which the address of a server that has ended is used again.
	reuseAfter = 2 * time.Second
	// pauseLength is how long the new server asks for no requests, in Retry-After.
	pauseLength = 8 * time.Second
	// pauseSlack is the time after the answer from which requests count, and pauseMargin what is left of the pause at
	// its end, since the answer is a moment older than its arrival.
	pauseSlack  = 500
	pauseMargin = 50
	// allowedInPause is how many requests may reach a server from a machine in that time.
	allowedInPause = 2
)

// configurePlain writes a configuration with two services, each with a route of safe requests.
func (f *fleet) configurePlain() {
	var routes, services []map[string]any
	for _, name := range []string{"stock", "price"} {
		routes = append(routes, map[string]any{
			"name": name, "hostname": "shop.example", "path_prefix": plainPath + name + "/", "route_type": "safe",
			"timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": name, "max_attempts": 2,
		})
		services = append(services, map[string]any{"name": name, "max_connections": 100, "health_path": "/healthz"})
	}
	f.store.put("op/config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
		"tenants": tenants(unlimited),
	})
}

// runReused: a server crashes for good, and a server of another service, which starts at its address, asks for a pause
// while the entry of the former one is still there.
func runReused(f *fleet, trouble bool) (int, error) {
	f.configurePlain()
	var servers []*serverProcess
	for i, service := range []string{"stock", "stock", "price", "price"} {
		p, err := f.startServer(service, serverOptions{
			id: fmt.Sprintf("i-%d", i+1), slots: 6, first: 30 * time.Millisecond, errorEvery: 7,
		})
		if err != nil {
			return exitNotRun, err
		}
		servers = append(servers, p)
	}
	if err := f.startInstances(2); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	if trouble {
		go f.reuse(begin, servers[0])
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	f.send(10*time.Millisecond, begin.Add(18*time.Second), func(n int) (call, bool) {
		path := plainPath + "stock/x"
		if n/2%4 == 0 {
			path = plainPath + "price/x"
		}
		return call{
			id: fmt.Sprintf("c%05d-%s", n, f.instances[n%len(f.instances)].name), path: path,
			timeout: 1500 * time.Millisecond,
		}, true
	}, func(c call, x result) {
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%s %d", strings.Split(c.path, "/")[2], x.status)]++
	})
	return f.checkPauses(statuses)
}

// reuse plays the disruptions.
func (f *fleet) reuse(begin time.Time, old *serverProcess) {
	time.Sleep(time.Until(begin.Add(6 * time.Second)))
	old.beat()
	old.kill()
	time.Sleep(reuseAfter + 50*time.Millisecond)
	o := old.options
	o.id, o.pause = "i-5", pauseLength
	if _, err := f.startServer("price", o); err != nil {
		f.record.line("%v", err)
	}
}

// checkPauses counts the requests that reach a server from an instance between pauseSlack after it has asked that
// instance for a pause and the end of the pause.
func (f *fleet) checkPauses(statuses map[string]int) (int, error) {
	type pair struct{ server, instance string }
	asked, ends, reached := map[pair]int64{}, map[pair]int64{}, map[pair]int{}
	for _, l := range f.logLines() {
		var at int64
		var id, what, attempt string
		words := strings.Fields(l)
		if _, err := fmt.Sscan(l, &at, &id, &what); err != nil || len(words) < 5 {
			continue
		}
		switch what {
		case "reached":
			attempt = words[4]
		case "pauses":
			attempt = words[3]
		default:
			continue
		}
		_, instance, _ := strings.Cut(attempt, "-")
		p := pair{id, instance}
		if what == "reached" {
			if asked[p] > 0 && at > asked[p]+pauseSlack && at < ends[p]-pauseMargin {
				reached[p]++
			}
			continue
		}
		if asked[p] == 0 {
			var left int64
			_, _ = fmt.Sscan(words[5], &left)
			asked[p], ends[p] = at, at+left
		}
	}
	worst := 0
	for p, n := range reached {
		worst = max(worst, n)
		f.record.line("%d requests of %s reached %s in its pause", n, p.instance, p.server)
	}
	text := fmt.Sprintf("asked for a pause %d times, at most %d requests of an instance reached the server in it; answers %v",
		len(asked), worst, statuses)
	f.record.line("%s", text)
	fmt.Println(text)
	if worst > allowedInPause {
		return exitBroken, nil
	}
	return exitHeld, nil
}
