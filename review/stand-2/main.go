// Command stand-2 plays the scripts of the second review: stand-ins for store, servers and clients in this process, and
// the project's own program as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes: the rule held, was broken, or the case couldn't run.
const (
	held = iota
	broken
	failed
)

// stage is what a case runs on.
type stage struct {
	dir      string
	store    *store
	machines []*machine
	record   *record
	trouble  bool
	// control replaces the value that a claim blames by another one of the same disruption.
	control bool
}

type document map[string]any

// configure writes a configuration of the operator.
func (s *stage) configure(version int, routes, services []document, prepaid int64) {
	s.store.Put("op/config", document{
		"version": version, "routes": routes, "services": services,
		"limits":  document{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []document{{"name": "hule930", "api_keys": []string{key}, "priority": 1, "prepaid": prepaid}},
	})
}

// addMachines starts machines and waits until they are ready.
func (s *stage) addMachines(n int) error {
	controls := make([]string, n)
	for i := range controls {
		controls[i] = freePort()
	}
	for i := range n {
		m, err := newMachine(s.dir, fmt.Sprintf("edge-%d", i+1), s.store.address, controls[:min(n, 3)], controls[i])
		if err != nil {
			return err
		}
		s.machines = append(s.machines, m)
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (s *stage) close() {
	for _, m := range s.machines {
		m.kill()
	}
	os.RemoveAll(s.dir)
}

func streamingRoute(resumable bool, attempts int) document {
	return document{
		"name": "r-6y7z5k6", "hostname": "ficu95.example", "path_prefix": "/pufi791/", "route_type": "streaming",
		"timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1, "service": "huvo11a", "max_attempts": attempts,
		"allow_anonymous": false, "sticky": true, "resumable": resumable, "gap_aim_ms": 600,
	}
}

func plainRoute(kind string, attempts int) document {
	return document{
		"name": "r-puxa403", "hostname": "ficu95.example", "path_prefix": "/puxa403/", "route_type": kind,
		"timeout_ms": 1500, "target_latency_ms": 150, "priority": 0, "service": "wuno96b", "max_attempts": attempts,
		"allow_anonymous": false, "sticky": false, "resumable": false,
	}
}

func modelService() document {
	return document{
		"name": "huvo11a", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": document{"slots": 64, "kv_cache_tokens": 500078, "kv_token_bytes": 18432, "link_mbps": 280000.0, "stride": 6, "most": 12, "models": []document{{"name": "m"}}},
	}
}

func plainService() document {
	return document{"name": "wuno96b", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}
}

func main() {
	cases := map[string]func(*stage) int{
		"usage": usage,
		"limit": limit,
		"load":  load,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*stage) int, path string) (code int) {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s := &stage{dir: dir, record: &record{w: out}, trouble: os.Getenv("TROUBLE") != "0", control: os.Getenv("CONTROL") == "1"}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		s.close()
		os.Exit(failed)
	}()
	go func() {
		time.Sleep(110 * time.Second)
		s.record.printf("the case took too long")
		s.close()
		os.Exit(failed)
	}()
	if s.store, err = newStore(); err != nil {
		s.record.printf("%v", err)
		return failed
	}
	code = f(s)
	for _, m := range s.machines {
		m.kill()
		name := filepath.Base(m.settings)
		text := m.output.String()
		if d := os.Getenv("KEEP_OUTPUT"); d != "" {
			os.WriteFile(filepath.Join(d, m.name+".log"), []byte(text), 0o600)
		}
		s.record.printf("\n%s ended: %s, peak memory %.0f MB, output %d bytes", name, m.state, m.peakMB(), len(text))
		for _, line := range strings.Split(text, "\n") {
			// The functions of a crash, without the paths of files.
			if name, _, ok := strings.Cut(line, "("); strings.HasPrefix(line, "panic: ") || ok && strings.HasPrefix(name, "lacewingcove/") {
				s.record.printf("  %.200s", line)
			}
		}
	}
	verdict := [...]string{"the rule held", "the rule was broken", "the case couldn't run"}[code]
	s.record.printf("%s (trouble: %v)", verdict, s.trouble)
	fmt.Println(verdict)
	return code
}
