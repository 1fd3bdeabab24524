package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const prepaid = 6000

// usage: a client names an absurd usage once; afterwards its tenant's ordinary requests are counted.
func usage(s *stage) int {
	model, err := newServer(s.store, "i-7f3a91c2", "huvo11a", 64, stream(10, 5*time.Millisecond, nil))
	if err != nil {
		s.record.printf("%v", err)
		return failed
	}
	s.configure(1, []document{streamingRoute(false, 1)}, []document{modelService()}, prepaid)
	if err := s.addMachines(2); err != nil {
		s.record.printf("%v", err)
		return failed
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		most := int64(1<<63 - 1)
		if s.control {
			// Larger than the balance, without an overflow.
			most = 1_000_000
		}
		k := &client{address: s.machines[0].front}
		o := k.do(generation(fmt.Sprintf("1000,%d", most), "c0ffee01:1000"))
		k.close()
		s.record.printf("request with at most %d output tokens: %v", most, o)
	}
	var served, tokens int64
	for i := range 60 {
		k := &client{address: s.machines[i%2].front}
		o := k.do(generation("460,60", fmt.Sprintf("%08x:460", i+1)))
		k.close()
		s.record.printf("%v", o)
		if o.status == 200 {
			served++
			tokens += 460 + int64(o.events)*6
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.record.printf("runs at the server: %d", len(model.runs))
	for _, name := range []string{"lace/budget/hule930"} {
		s.record.printf("the project's own entry %s: %s", name, s.store.Get(name))
	}
	s.record.printf("prepaid %d, the ordinary requests alone got %d tokens in %d requests", int64(prepaid), tokens, served)
	if tokens > prepaid {
		return broken
	}
	return held
}

func generation(usage, parts string) call {
	return call{
		method: "POST", path: "/pufi791/2f", body: `{"prompt":"stock"}`, timeout: 12 * time.Second,
		header: map[string]string{
			"Lacewingcove-Model": "m", "Lacewingcove-Token-Usage": usage, "Lacewingcove-Prompt-Prefix": parts,
		},
	}
}

// limit: the store is down for some seconds, and the model servers are in need at that time: they name a Server-Limit.
// Orders to the other service go on meanwhile.
func limit(s *stage) int {
	figure := "9223372036854775807"
	if s.control {
		figure = "1000"
	}
	var inNeed atomic.Bool
	said := func() string {
		if inNeed.Load() {
			return "Server-Limit: " + figure + "\r\n"
		}
		return ""
	}
	for i := range 4 {
		if _, err := newServer(s.store, fmt.Sprintf("i-model-%d", i), "huvo11a", 64, stream(10, 20*time.Millisecond, said)); err != nil {
			s.record.printf("%v", err)
			return failed
		}
	}
	var orders []*server
	for i := range 4 {
		x, err := newServer(s.store, fmt.Sprintf("i-order-%d", i), "wuno96b", 6, plain(200*time.Millisecond, ""))
		if err != nil {
			s.record.printf("%v", err)
			return failed
		}
		orders = append(orders, x)
	}
	s.configure(1, []document{streamingRoute(false, 1), plainRoute("unsafe", 2)}, []document{modelService(), plainService()}, 100_000_000)
	if err := s.addMachines(2); err != nil {
		s.record.printf("%v", err)
		return failed
	}
	time.Sleep(8 * time.Second)
	began := time.Now()
	var mu sync.Mutex
	var sent, served, lost int
	var workers sync.WaitGroup
	for i := range 8 {
		workers.Go(func() {
			k := &client{address: s.machines[i%2].front}
			defer k.close()
			for i := 0; time.Since(began) < 14*time.Second; i++ {
				o := k.do(generation("300,60", fmt.Sprintf("%08x:300", i+1)))
				s.record.printf("stream: %v", o)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for i := range 16 {
		workers.Go(func() {
			k := &client{address: s.machines[i%2].front}
			defer k.close()
			for time.Since(began) < 14*time.Second {
				kept := k.conn != nil
				o := k.do(call{method: "POST", path: "/puxa403/2f", body: `{"article":17}`, timeout: 1500 * time.Millisecond})
				ran := 0
				for _, x := range orders {
					ran += x.runCount(o.id)
				}
				s.record.printf("order: %v, on a kept connection %v, ran %d", o, kept, ran)
				mu.Lock()
				sent++
				if o.whole && o.status == 200 {
					served++
				}
				if kept && ran > 0 && o.status == 0 && o.took < 1400*time.Millisecond {
					lost++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	note := func(format string, args ...any) {
		s.record.printf(time.Now().Format("15:04:05.000 ")+format, args...)
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.store.setSilent(true)
		note("the store is down, silent")
		time.Sleep(time.Second)
		inNeed.Store(true)
		note("the model servers name Server-Limit: %s", figure)
		time.Sleep(4500 * time.Millisecond)
		s.store.setSilent(false)
		note("the store answers")
	}
	workers.Wait()
	s.record.printf("%d orders: %d served; %d on kept connections run by a sound server and ended without an answer; processes running: %v, %v", sent, served, lost, s.machines[0].running(), s.machines[1].running())
	if lost > 3 {
		return broken
	}
	return held
}

// tally counts the requests of one kind and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served map[string]int
}

func (t *tally) add(kind string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[kind]++
	if served {
		t.served[kind]++
	}
}

// share returns the part of a kind of request that was served; the empty kind stands for all.
func (t *tally) share(kind string) float64 {
	sent, served := 0, 0
	for k, n := range t.sent {
		if kind == "" || k == kind {
			sent += n
			served += t.served[k]
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// request sends a client's request: one attempt, and after a refusal one more at the other machine, as the pages say.
func (s *stage) request(i int, c call) (outcome, bool) {
	deadline := time.Now().Add(c.timeout)
	k := &client{address: s.machines[i%len(s.machines)].front}
	o := k.do(c)
	k.close()
	s.record.printf("%s %v", c.path, o)
	if o.status != 503 {
		return o, o.whole && o.status == 200
	}
	after, _ := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
	left := time.Until(deadline)
	time.Sleep(min(time.Duration(after*float64(time.Second)), left/3))
	c.timeout = time.Until(deadline)
	k = &client{address: s.machines[(i+1)%len(s.machines)].front}
	o = k.do(c)
	k.close()
	s.record.printf("%s again: %v", c.path, o)
	return o, o.whole && o.status == 200
}

// load: two of four servers spoil a few of their answers for some seconds, twice: the figure of running requests in
// Lacewingcove-Server-Load has digits too many.
func load(s *stage) int {
	var spoil atomic.Bool
	var spoiled, running [4]atomic.Int64
	for i := range 4 {
		n := int64(0)
		var mu sync.Mutex
		x, err := newServer(s.store, fmt.Sprintf("i-order-%d", i), "wuno96b", 6, func(sv *server, c net.Conn, r *run) bool {
			now := running[i].Add(1)
			defer running[i].Add(-1)
			time.Sleep(30 * time.Millisecond)
			figures := fmt.Sprintf("%d,%d,6", min(now, 6), max(now-6, 0))
			mu.Lock()
			if s.trouble && i < 2 && spoil.Load() {
				// One in twenty.
				if n%20 == 0 {
					figures = fmt.Sprintf("%d00000,0,6", min(now, 6))
					if s.control {
						// Wrong bytes that can't be taken for figures.
						figures = "?" + figures
					}
					spoiled[i].Add(1)
					s.record.printf("%s i-order-%d spoils its answer to %s: Lacewingcove-Server-Load: %s", time.Now().Format("15:04:05.000"), i, r.id, figures)
				}
				n++
			}
			mu.Unlock()
			return plain(0, "Lacewingcove-Server-Load: "+figures+"\r\n")(sv, c, r)
		})
		if err != nil || x == nil {
			s.record.printf("%v", err)
			return failed
		}
	}
	for i := range 9 {
		if _, err := newServer(s.store, fmt.Sprintf("i-model-%d", i), "huvo11a", 64, stream(10, 20*time.Millisecond, nil)); err != nil {
			s.record.printf("%v", err)
			return failed
		}
	}
	lookup := plainRoute("safe", 2)
	lookup["name"], lookup["path_prefix"] = "r-lohu930", "/lohu930/"
	s.configure(1, []document{streamingRoute(false, 1), plainRoute("unsafe", 2), lookup}, []document{modelService(), plainService()}, 1_000_000_000)
	if err := s.addMachines(2); err != nil {
		s.record.printf("%v", err)
		return failed
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	go func() {
		for _, at := range []time.Duration{5 * time.Second, 16 * time.Second} {
			time.Sleep(time.Until(began.Add(at)))
			spoil.Store(true)
			time.Sleep(6 * time.Second)
			spoil.Store(false)
		}
	}()
	t := &tally{sent: map[string]int{}, served: map[string]int{}}
	late := &tally{sent: map[string]int{}, served: map[string]int{}}
	var clients sync.WaitGroup
	send := func(kind string, perSecond float64, c call) {
		clients.Go(func() {
			for i := 0; time.Since(began) < 80*time.Second; i++ {
				clients.Go(func() {
					sentAt := time.Since(began)
					_, ok := s.request(i, c)
					t.add(kind, ok)
					if sentAt > 30*time.Second {
						late.add(kind, ok)
					}
				})
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
		})
	}
	send("restock-order", 13.4, call{method: "POST", path: "/puxa403/2f", body: `{"article":17}`, timeout: 1500 * time.Millisecond})
	send("stock-check", 8, call{method: "GET", path: "/lohu930/2f", timeout: 1500 * time.Millisecond})
	send("generation", 53.6, generation("300,60", "0000001f:300,91bd3f06:10"))
	clients.Wait()
	all, verdict := t.share(""), held
	for _, kind := range []string{"restock-order", "stock-check", "generation"} {
		s.record.printf("%s: %d of %d served (%.3f; all kinds %.3f), from 8 s after the last spoiled answers on %d of %d", kind, t.served[kind],
			t.sent[kind], t.share(kind), all, late.served[kind], late.sent[kind])
		if t.share(kind) < all/4 {
			verdict = broken
		}
	}
	s.record.printf("spoiled answers: %d", spoiled[0].Load()+spoiled[1].Load())
	return verdict
}
