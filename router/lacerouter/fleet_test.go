package lacerouter

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// testToken is the operators' token of the tests.
const testToken = "sample-operator-token"

// writeOperators writes a file with one operator who may do everything.
func writeOperators(t *testing.T) string {
	t.Helper()
	var may []string
	for _, r := range laceadmin.Permissions() {
		may = append(may, string(r))
	}
	file := filepath.Join(t.TempDir(), "operators.yaml")
	text := fmt.Sprintf("operators:\n  test:\n    token: %s\n    may: [%s]\n", laceadmin.Hash(testToken), strings.Join(may, ", "))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// operator returns a client of the administration API of some routers.
func (w *world) operator(routers ...*router) *laceadmin.Client {
	c := &laceadmin.Client{
		Token: testToken,
		HTTP: &http.Client{
			Transport: w.http.Transport,
			Timeout:   10 * time.Second,
		},
	}
	for _, r := range routers {
		c.Addresses = append(c.Addresses, r.admin)
	}
	return c
}

// serverNames are the backend servers of the document in the order of their addresses.
func serverNames() []string { return []string{"engine-1", "engine-2", "order-1"} }

// listServers opens an instance list on which every backend server is live.
func (w *world) listServers(addresses []any) {
	var entries []laceemulator.ListEntry
	for i, name := range serverNames() {
		entries = append(entries, laceemulator.ListEntry{
			Name:    name,
			Kind:    strings.TrimRight(name, "-12"),
			State:   laceemulator.StateLive,
			Address: laceunit.Address(fmt.Sprint(addresses[i])),
		})
	}
	w.list = laceemulator.NewInstanceList(time.Now, 0, 1, entries)
	s := httptest.NewServer(w.list.Handler())
	w.listURL = s.URL
	w.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
}

// arrivals counts the generate calls that reach an engine.
type arrivals struct {
	mu    sync.Mutex
	last  time.Time
	count int
	all   []time.Time
}

func (a *arrivals) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/generate" {
			a.mu.Lock()
			a.last = time.Now()
			a.count++
			a.all = append(a.all, a.last)
			a.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// most returns the largest number of calls within a window, of those after a moment.
func (a *arrivals) most(window time.Duration, after time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, first := range a.all {
		if first.Before(after) {
			continue
		}
		n := 0
		for _, at := range a.all[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (a *arrivals) since() (time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last, a.count
}

// fleet starts n routers whose peer ports stand behind relays and waits until all may run orders: a router that has
// just joined may not before a former member has acknowledged it.
func (w *world) fleet(n int, flags ...string) ([]*router, []*relay) {
	w.t.Helper()
	var routers []*router
	var relays []*relay
	for i := range n {
		peer := freePort(w.t)
		hop := newRelay(w.t, peer)
		relays = append(relays, hop)
		routers = append(routers, w.start("router-"+strconv.Itoa(i+1), append([]string{"-peer.listen", peer, "-peer.public", hop.address}, flags...)...))
	}
	for _, r := range routers {
		w.until(r.name+" enabled", func() bool {
			status, _ := r.order("enabled-" + r.name)
			return status == http.StatusOK
		})
	}
	return routers, relays
}

// router is one router process.
type router struct {
	world   *world
	name    string
	address string
	admin   string
	flags   []string
	process *exec.Cmd
	log     *bytes.Buffer
	ended   chan struct{}
}

// The ports for processes lie below those that the system gives to outgoing connections, because such a connection can
// take a port between its choice and the start of the process. Another run on the machine begins at another port.
const (
	firstPort = 12000
	lastPort  = 32000
)

var nextPort atomic.Int64 //nolint:gochecknoglobals // parallel tests share the ports of the machine

// freePort returns an address that no test of this run uses and nobody listens on.
func freePort(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	for range lastPort - firstPort {
		n := (int64(os.Getpid())*97 + nextPort.Add(1)) % (lastPort - firstPort)
		address := fmt.Sprint("127.0.0.1:", firstPort+n)
		if l, err := config.Listen(context.Background(), "tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// start starts a router process and waits until it takes work.
func (w *world) start(name string, flags ...string) *router {
	w.t.Helper()
	return w.launch(&router{
		world:   w,
		name:    name,
		address: freePort(w.t),
		admin:   freePort(w.t),
		flags:   append([]string{"-peer.listen", freePort(w.t)}, flags...),
	})
}

// restart starts a router that was killed again, at the same addresses.
func (w *world) restart(r *router) *router {
	w.t.Helper()
	<-r.ended
	return w.launch(&router{
		world:   w,
		name:    r.name,
		address: r.address,
		admin:   r.admin,
		flags:   r.flags,
	})
}

func (w *world) launch(r *router) *router {
	w.t.Helper()
	r.log, r.ended = &bytes.Buffer{}, make(chan struct{})
	args := append([]string{
		"-instance", r.name,
		"-platform.endpoints", w.url,
		"-caller.listen", r.address,
		"-admin.listen", r.admin,
		"-admin.operators", w.operators,
		"-list", w.listURL,
		"-ledger.shards", fmt.Sprint(testShards),
	}, r.flags...)
	r.process = exec.CommandContext(context.Background(), w.program, args...)
	r.process.Stderr = r.log
	if err := r.process.Start(); err != nil {
		w.t.Fatal(err)
	}
	go func() {
		_ = r.process.Wait()
		close(r.ended)
	}()
	w.t.Cleanup(func() {
		_ = r.process.Process.Kill()
		<-r.ended
		if w.t.Failed() {
			w.t.Logf("%s:\n%s", r.name, r.log)
		}
	})
	w.until(r.name+" ready", func() bool {
		select {
		case <-r.ended:
			w.t.Fatalf("%s ended at its start", r.name)
		default:
		}
		status, _ := w.get(w.scheme + "://" + r.address + "/readyz")
		return status == http.StatusOK
	})
	return r
}

func (r *router) signal(s syscall.Signal) {
	r.world.t.Helper()
	if err := r.process.Process.Signal(s); err != nil {
		r.world.t.Fatal(err)
	}
}
