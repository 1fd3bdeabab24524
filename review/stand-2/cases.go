package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
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
		k := &client{address: s.machines[0].front}
		o := k.do(generation(fmt.Sprintf("1000,%d", int64(1<<63-1)), "c0ffee01:1000"))
		k.close()
		s.record.printf("request with the largest number as its most output tokens: %v", o)
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
	const figure = "9223372036854775807"
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
		x, err := newServer(s.store, fmt.Sprintf("i-order-%d", i), "wuno96b", 6, plain(200*time.Millisecond))
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
		time.Sleep(5 * time.Second)
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

// endlessBody: some model servers send bytes without end in place of their events.
func endlessBody(s *stage) int {
	return endless(s, func(s *server, c net.Conn, r *run) bool {
		if _, err := io.WriteString(c, head(r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+"\r\n"); err != nil {
			return false
		}
		for sent := 0; ; sent += 64 << 10 {
			size := 64 << 10
			if sent > 900<<10 {
				size = 1 << 10
			}
			if writeChunk(c, strings.Repeat("x", size)) != nil {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// endlessHead: some model servers send header lines without end.
func endlessHead(s *stage) int {
	return endless(s, func(s *server, c net.Conn, r *run) bool {
		if _, err := io.WriteString(c, head(r, "")); err != nil {
			return false
		}
		for line := 0; ; time.Sleep(100 * time.Millisecond) {
			var b strings.Builder
			for range 70 {
				line++
				fmt.Fprintf(&b, "%x:\r\n", line)
			}
			if _, err := io.WriteString(c, b.String()); err != nil {
				return false
			}
		}
	})
}

func endless(s *stage, faulty behaviour) int {
	for i := range 9 {
		f := stream(64, 30*time.Millisecond, nil)
		if s.trouble && i < 5 {
			f = faulty
		}
		if _, err := newServer(s.store, "i-model-"+strconv.Itoa(i), "huvo11a", 64, f); err != nil {
			s.record.printf("%v", err)
			return failed
		}
	}
	s.configure(1, []document{streamingRoute(false, 1)}, []document{modelService()}, 100_000_000)
	if err := s.addMachines(1); err != nil {
		s.record.printf("%v", err)
		return failed
	}
	m := s.machines[0]
	time.Sleep(3 * time.Second)
	began := time.Now()
	var workers sync.WaitGroup
	peak := 0.0
	killed := false
	stop := make(chan struct{})
	workers.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			mb := m.residentMB()
			peak = max(peak, mb)
			if mb > memoryMB && !killed {
				killed = true
				s.record.printf("%s %s holds %.0f MB of %d: the platform kills it", time.Now().Format("15:04:05.000"), m.name, mb, memoryMB)
				m.kill()
			}
		}
	})
	var clients sync.WaitGroup
	rate := 53
	if t, err := strconv.Atoi(os.Getenv("RATE")); err == nil {
		rate = t
	}
	for i := 0; time.Since(began) < 25*time.Second; i++ {
		clients.Go(func() {
			k := &client{address: m.front}
			defer k.close()
			c := generation("1000,384", fmt.Sprintf("%08x:1000", i+1))
			// The kinds of request of the sheet with their time limits: 13.1, 21.1 and 19.4 a second.
			c.timeout = [...]time.Duration{15, 12, 3, 12, 3, 15, 12, 3}[i%8] * time.Second
			o := k.do(c)
			s.record.printf("%v", o)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	clients.Wait()
	close(stop)
	workers.Wait()
	s.record.printf("peak memory by the process's own metrics: %.0f MB of %d", peak, memoryMB)
	if killed || !m.running() {
		return broken
	}
	return held
}
